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
	"github.com/amaranthlb/amaranthlb/internal/ingress"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Limits of the servers and of shutdown.
const (
	// headerTimeout bounds the time to read a request header. It is above the limits in the configuration, which may
	// change.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle client connections. Clients stop reusing them earlier, at the configuration's limit.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request header before the configuration is known.
	maxHeaderBytes = 64 << 10
	// deregistrationTime is the time until the load balancer has noticed that the router is not ready: two probes one
	// second apart, plus one that was already in progress.
	deregistrationTime = 3 * time.Second
	// stopMargin is the part of the stop grace that is reserved for process exit.
	stopMargin = 500 * time.Millisecond
	// cutoffAnswerTime is the part of stopMargin in which requests that are still in progress get their final answers.
	cutoffAnswerTime = 200 * time.Millisecond
	// typicalStreamTime and typicalCallTime are the durations within which most streams and plain calls complete. Before
	// the load balancer has noticed the stop, a router accepts a request if that much is left of the stop grace.
	typicalStreamTime = 4500 * time.Millisecond
	typicalCallTime   = 1200 * time.Millisecond
	// drainPollInterval is how often a stopping router checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
)

// Run serves until the context ends, and then until the requests in flight are done or the stop grace has expired.
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
	servers, serveErrors, err := r.serve()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	r.startControl(background, serveErrors)
	r.log.WithField("front", r.config.FrontAddress).Info("started")
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return err
	}
	r.drain(servers)
	return nil
}

func (r *Router) startControl(ctx context.Context, serveErrors chan<- error) {
	for _, keyRange := range directory.AllRanges() {
		go r.readStore(ctx, keyRange)
	}
	go r.gossip(ctx)
	go r.discoverCaches(ctx)
	go r.link.Receive(ctx, r.handleDigest, r.digestInvalid)
	go func() {
		if err := r.link.Serve(ctx, r, r.isMemberHost); err != nil {
			serveErrors <- err
		}
	}()
}

// serve starts the servers for clients, for load balancer probes and for metrics.
func (r *Router) serve() ([]*http.Server, chan error, error) {
	serveErrors := make(chan error, 4)
	front := &http.Server{
		Handler:           r,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         ingress.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			if limited, ok := conn.(*ingress.Conn); ok {
				conn = limited.TCPConn
			}
			return context.WithValue(ctx, clientConnection{}, conn)
		},
	}
	admin := r.adminServer()
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
		if entry.server == front {
			listener = r.limitClients(listener)
		} else {
			listener = r.limitAdmin(listener)
		}
		go func() {
			if err := entry.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrors <- trace.Wrap(err)
			}
		}()
	}
	return []*http.Server{front, admin}, serveErrors, nil
}

// clientConnection is the context key of the connection of a request's client.
type clientConnection struct{}

// admin returns the handler for readiness and metrics.
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

// stopState is set when the process begins to stop.
type stopState struct {
	// deregistered is when the load balancer has noticed the stop, cutoff when requests in progress are ended.
	deregistered, cutoff time.Time
}

// canFinish reports whether a request of the route with the deadline may be accepted. Once the load balancer has noticed
// a stop, only what has its answer or has missed its deadline before the cutoff may: the client retries at another router.
func (r *Router) canFinish(route *routes.Route, deadline time.Time) bool {
	stop := r.stop.Load()
	if stop == nil || deadline.Before(stop.cutoff) {
		return true
	}
	required := typicalCallTime
	if route.Kind == routes.Stream {
		required = typicalStreamTime
	}
	now := time.Now()
	return now.Before(stop.deregistered) && stop.cutoff.Sub(now) >= required
}

// drain takes the router out of rotation and waits for its requests. Responses ask clients to close their persistent
// connections; the listener stays open until the load balancer has noticed.
func (r *Router) drain(servers []*http.Server) {
	now := time.Now()
	stop := &stopState{deregistered: now.Add(deregistrationTime), cutoff: now.Add(r.config.StopGrace - stopMargin)}
	r.stop.Store(stop)
	r.draining.Store(true)
	servers[0].SetKeepAlivesEnabled(false)
	r.log.WithField("in_flight", r.inFlight.Load()).Info("stopping")
	for ; now.Before(stop.cutoff); now = time.Now() {
		if now.After(stop.deregistered) && r.inFlight.Load() == 0 {
			break
		}
		time.Sleep(drainPollInterval)
	}
	remaining := r.inFlight.Load()
	r.endRequests()
	for end := time.Now().Add(cutoffAnswerTime); r.inFlight.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainPollInterval)
	}
	for _, server := range servers {
		if err := server.Close(); err != nil {
			r.log.WithError(err).Info("failed to close server")
		}
	}
	r.pool.Close()
	r.log.WithField("in_flight", remaining).Info("stopped")
}

var _ peers.Source = (*Router)(nil)
