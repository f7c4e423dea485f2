package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/amaranthlb/amaranthlb/internal/control"
)

const (
	// unreadyDelay is how long a stopping entry goes on accepting, so that the balancer's health check has
	// taken it out before its listener closes.
	unreadyDelay = 1500 * time.Millisecond
	// quietPeriod is the time without a request after which the remaining connections count as idle.
	idlePeriod        = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// activity tells whether callers are still being served.
type activity struct {
	mu     sync.Mutex
	active int
	last   time.Time
}

func (a *activity) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active++
}

func (a *activity) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active--
	a.last = time.Now()
}

// quiet reports whether no request has been active for the quiet period.
func (a *activity) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active == 0 && time.Since(a.last) >= idlePeriod
}

// trackActivity counts requests. While the entry drains, each answer asks the caller to open a new connection, which
// the balancer gives to another entry.
func (e *Entry) trackActivity(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		e.activity.begin()
		defer e.activity.end()
		if e.life.Draining() {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// drain turns the entry unready and finishes the requests in flight.
//
// A stream that began before the drain leaves a connection on which its caller may send the next request at any moment.
// Closing such a connection would cut that request, so the listener closes only after a quiet period.
func (e *Entry) drain(server *http.Server) error {
	e.life.Terminate()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.settings.Timing.DrainLimit))
	defer cancel()
	control.Sleep(ctx, unreadyDelay)
	for !e.activity.idle() && ctx.Err() == nil {
		control.Sleep(ctx, drainPollInterval)
	}
	if err := server.Shutdown(ctx); err != nil {
		e.life.LimitReached()
		return trace.LimitExceeded("requests were still running after the drain limit of %s", time.Duration(e.settings.Timing.DrainLimit))
	}
	e.life.Finished()
	return nil
}
