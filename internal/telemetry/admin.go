package telemetry

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
)

// Admin is the HTTP server for health checks, metrics and the status of a daemon.
type Admin struct {
	server *http.Server
}

// Probe provides what the admin endpoint serves.
type Probe struct {
	// Ready reports whether the daemon accepts new requests and, if not, the reason.
	Ready func() (bool, string)
	// Status returns a value that is encoded as JSON.
	Status func() any
	// Handlers serve additional paths.
	Handlers map[string]http.HandlerFunc
}

// StartAdmin starts the admin endpoint on the address.
func StartAdmin(address string, meters *Meters, probe Probe) (*Admin, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "listening on the admin address")
	}
	admin := &Admin{server: &http.Server{Handler: adminRoutes(meters, probe), ReadHeaderTimeout: 5 * time.Second}}
	go func() { _ = admin.server.Serve(listener) }()
	return admin, nil
}

func adminRoutes(meters *Meters, probe Probe) http.Handler {
	router := echo.New()
	router.GET("/healthz", func(c echo.Context) error {
		return c.String(http.StatusOK, "alive\n")
	})
	router.GET("/readyz", func(c echo.Context) error {
		if ready, notReady := probe.Ready(); !ready {
			return c.String(http.StatusServiceUnavailable, notReady+"\n")
		}
		return c.String(http.StatusOK, "ready\n")
	})
	router.GET("/status", func(c echo.Context) error {
		return c.JSON(http.StatusOK, probe.Status())
	})
	for path, handler := range probe.Handlers {
		router.GET(path, echo.WrapHandler(handler))
	}
	router.GET("/metrics", echo.WrapHandler(meters.Handler()))
	router.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	router.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	return router
}

// Close stops the admin endpoint.
func (a *Admin) Close(ctx context.Context) error {
	return trace.Wrap(a.server.Shutdown(ctx))
}
