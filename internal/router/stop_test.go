package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Guards against requests that a stopping router takes late and cuts at the end of its grace, and against requests that it
// refuses although they would have ended in time.
func TestStopAnswersEachRequest(t *testing.T) {
	const grace, never, holdPath = 6 * time.Second, time.Hour, "/slow/hold"
	for _, test := range []struct {
		name string
		// at is when the request is sent, after the begin of the stop; wait is how long its client waits.
		at, wait time.Duration
		path     string
		work     time.Duration
		status   int
		// runs is the number of targets that the request reaches.
		runs int
	}{
		{"late call that may outlast the grace", 4 * time.Second, 10 * time.Second, "/order/", 2500 * time.Millisecond, http.StatusServiceUnavailable, 0},
		{"late call that ends in time", 4 * time.Second, 1200 * time.Millisecond, "/order/", 10 * time.Millisecond, http.StatusOK, 1},
		{"late call that gets no answer in time", 4 * time.Second, 1200 * time.Millisecond, "/order/", never, http.StatusGatewayTimeout, 1},
		{"early call that outlasts the grace", 2900 * time.Millisecond, 20 * time.Second, "/slow/", never, http.StatusBadGateway, 1},
		{"early call that may be repeated", 2900 * time.Millisecond, 20 * time.Second, "/slow-safe/", never, http.StatusBadGateway, 1},
		{"late stream", 4 * time.Second, 10 * time.Second, "/chat/", 10 * time.Millisecond, http.StatusServiceUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWith(t, 1, func(config *router.Config) { config.StopGrace = grace })
			app := platformtest.StartTarget(t, "app-1", func(request *http.Request) platformtest.Behavior {
				if request.URL.Path == holdPath {
					return platformtest.Behavior{Work: never}
				}
				return platformtest.Behavior{Work: test.work}
			})
			f.store.Put(platform.TargetPrefix+"app-1", app.Entry("app", "ready"))
			engine := f.target("llm-1", "llm", platformtest.Behavior{Work: test.work, Events: 2})
			f.addSlowRoutes()
			f.awaitReady()
			await(t, "the slow routes are in force", func() bool {
				return f.send(get("/slow-safe/", "")).status != http.StatusNotFound
			})
			inst := f.routers[0]
			// A long request keeps the router from ending early.
			streaming, cancel := context.WithCancel(t.Context())
			defer cancel()
			go inst.send(streaming, call{method: http.MethodPost, path: holdPath, id: "holds", wait: 20 * time.Second})
			time.Sleep(100 * time.Millisecond)
			inst.stop()
			time.Sleep(test.at)
			got := inst.send(t.Context(), call{method: http.MethodPost, path: test.path, id: "late", wait: test.wait})
			if got.err != nil || got.status != test.status {
				t.Errorf("status %d after %v, %v, want %d", got.status, got.took, got.err, test.status)
			}
			if test.status == http.StatusServiceUnavailable && !strings.Contains(got.body, `"no"`) {
				t.Errorf("refused without saying that it has not run: %s", got.body)
			}
			runs := 0
			for _, target := range []*platformtest.Target{app, engine} {
				for _, run := range target.Runs() {
					if run.RequestID == "late" {
						runs++
					}
				}
			}
			if runs != test.runs {
				t.Errorf("the request reached %d targets, want %d", runs, test.runs)
			}
		})
	}
}

// addSlowRoutes adds routes whose timeout exceeds the stop grace.
func (f *fleet) addSlowRoutes() {
	route := func(name, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "prefix": fmt.Sprint("/", name, "/"), "kind": kind, "service": service,
			"timeout-ms": timeout, "target-latency-ms": 200, "max-attempts": 2,
		}
	}
	f.configure(map[string]any{"routes": []any{
		route("slow", "unsafe", "app", 20000), route("slow-safe", "safe", "app", 20000),
		route("order", "unsafe", "app", 3000), route("chat", "stream", "llm", 15000),
	}})
}
