package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Times of the servers and of a stop.
const (
	// headerTimeout bounds the time of a request's head. It is above the limits of the configuration, which change.
	headerTimeout = 10 * time.Second
	// idleTimeout closes callers' idle connections. Callers reuse them for less than the configuration's limit.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's head before the configuration is known.
	maxHeaderBytes = 64 << 10
	// deregistrationTime is the time until the balancer has noticed that the router is not ready: two probes, a second apart,
	// and one that was under way.
	deregistrationTime = 3 * time.Second
	// stopMargin is the part of the stop grace that is left for the end of the process.
	stopMargin = 500 * time.Millisecond
	// streamTime and callTime are the times that most streams and plain calls need. A stopping router takes no request
	// that would be cut at the end of the stop grace; the caller comes back at another router.
	streamTime = 4500 * time.Millisecond
	callTime   = 1200 * time.Millisecond
	// stopPoll is how often a stopping router looks for requests in flight.
	stopPoll = 20 * time.Millisecond
)

// Run serves until the context ends, and then until the requests in flight are done or the stop grace is over.
func (r *Router) Run(ctx context.Context) error {
	link, err := peers.Open(r.config.PeerAddress, r.meters)
	if err != nil {
		return err
	}
	r.link = link
	if err := r.registerGauges(); err != nil {
		return err
	}
	defer func() { _ = link.Close() }()
	servers, failed, err := r.serve()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	r.startControl(background, failed)
	r.log.WithField("front", r.config.FrontAddress).Info("started")
	select {
	case <-ctx.Done():
	case err := <-failed:
		return err
	}
	r.drain(servers)
	return nil
}

func (r *Router) startControl(ctx context.Context, failed chan<- error) {
	for _, of := range directory.All() {
		go r.readStore(ctx, of)
	}
	go r.gossip(ctx)
	go r.discoverCaches(ctx)
	go r.link.Receive(ctx, r.handleDigest, func(err error) {
		r.meters.Event("digest_invalid")
		r.log.WithError(err).Info("datagram from a peer not read")
	})
	go func() {
		if err := r.link.Serve(ctx, r); err != nil {
			failed <- err
		}
	}()
}

// serve starts the servers of callers, of the balancer's probes and of metrics.
func (r *Router) serve() ([]*http.Server, chan error, error) {
	failed := make(chan error, 4)
	front := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	admin := &http.Server{Handler: r.admin(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	listeners := []struct {
		address string
		server  *http.Server
	}{{r.config.FrontAddress, front}, {r.config.ReadyAddress, admin}, {r.config.MetricsAddress, admin}}
	for _, entry := range listeners {
		if entry.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", entry.address)
		if err != nil {
			return nil, nil, trace.Wrap(err, "listening on %s", entry.address)
		}
		go func() {
			if err := entry.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed <- trace.Wrap(err)
			}
		}()
	}
	return []*http.Server{front, admin}, failed, nil
}

// admin serves readiness and metrics.
func (r *Router) admin() http.Handler {
	server := echo.New()
	server.HideBanner = true
	server.GET(r.config.ReadyPath, func(c echo.Context) error {
		if !r.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	})
	server.GET("/metrics", echo.WrapHandler(r.meters.Handler()))
	return server
}

// canFinish reports whether a request of the route is likely to end before the process does.
func (r *Router) canFinish(route *routes.Route) bool {
	stop := r.stopAt.Load()
	if stop == nil {
		return true
	}
	need := callTime
	if route.Kind == routes.Stream {
		need = streamTime
	}
	return time.Until(*stop) >= need
}

// drain takes the router out of rotation and waits for its requests. Callers with kept connections are told to close
// them with each answer; the listener stays open until the balancer has noticed.
func (r *Router) drain(servers []*http.Server) {
	deadline := time.Now().Add(r.config.StopGrace - stopMargin)
	rotated := time.Now().Add(deregistrationTime)
	r.stopAt.Store(&deadline)
	r.draining.Store(true)
	servers[0].SetKeepAlivesEnabled(false)
	r.log.WithField("in_flight", r.inFlight.Load()).Info("stopping")
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if now.After(rotated) && r.inFlight.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	left := r.inFlight.Load()
	for _, server := range servers {
		if err := server.Close(); err != nil {
			r.log.WithError(err).Info("closing a server")
		}
	}
	r.pool.Close()
	r.log.WithField("in_flight", left).Info("stopped")
}

var _ peers.Source = (*Router)(nil)
