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
	// unreadyDelay is how long a stopping entry keeps accepting connections, so that the balancer's health check has
	// removed it before its listener closes.
	unreadyDelay = 1500 * time.Millisecond
	// idlePeriod is the time without an active request after which the remaining connections count as idle.
	idlePeriod        = 500 * time.Millisecond
	drainPollInterval = 50 * time.Millisecond
)

// activity tracks the requests in progress and when the last one ended.
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

// idle reports whether no request has been active for idlePeriod.
func (a *activity) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active == 0 && time.Since(a.last) >= idlePeriod
}

// trackActivity is a middleware that counts active requests. While the entry drains, each response asks the caller to
// close the connection; the balancer routes the next one to another entry.
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

// drain marks the entry as not ready and waits for the requests in flight.
//
// A stream that started before the drain leaves a keep-alive connection on which its caller may send another request at
// any moment. Closing such a connection would abort that request, so the server shuts down only after an idle period.
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
