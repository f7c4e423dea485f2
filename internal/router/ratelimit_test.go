package router_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Bounds of the platform's contract on a target that states a rate limit.
const (
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// maxInWindow returns the largest number of runs in a window.
func maxInWindow(runs []platformtest.Run, from time.Time, window time.Duration) int {
	var times []time.Time
	for _, run := range runs {
		if !run.StartedAt.Before(from) {
			times = append(times, run.StartedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a target that gets more requests from all routers together than it has stated to take.
func TestStatedRateLimitIsKeptByAllRouters(t *testing.T) {
	const limit, targets, limited, subjects = 2.0, 4, 3, 20
	const interval, load, settling = 25 * time.Millisecond, 10 * time.Second, 1500 * time.Millisecond
	// Requests overlap at the target without a limit, so that idle targets with a limit are the better choice.
	const work = 100 * time.Millisecond
	// Limits begin when each target has cached its part of the prompts.
	const cachingTime = 2 * time.Second
	for _, service := range []struct {
		name, path string
		prompts    bool
	}{{"llm", "/chat/", true}, {"app", "/look/", false}} {
		t.Run(service.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			var stating atomic.Bool
			var all []*platformtest.Target
			for i := range targets {
				target := platformtest.StartTarget(t, fmt.Sprint("e-", i), func(*http.Request) platformtest.Behavior {
					behavior := platformtest.Behavior{Work: work}
					if i < limited && stating.Load() {
						behavior.RateLimit = fmt.Sprint(limit)
					}
					return behavior
				})
				f.store.Put(platform.TargetPrefix+target.ID, target.Entry(service.name, "ready"))
				all = append(all, target)
			}
			f.awaitReady()
			for _, inst := range f.routers {
				await(t, "all targets are known", func() bool { return strings.Count(inst.output.String(), "target_listed") >= targets })
			}
			begin := time.Now()
			limitsFrom := begin.Add(cachingTime)
			var clients sync.WaitGroup
			for i := 0; time.Since(begin) < load; i++ {
				if !stating.Load() && !time.Now().Before(limitsFrom) {
					stating.Store(true)
				}
				var parts []string
				if service.prompts {
					parts = []string{fmt.Sprint("subject", i%subjects)}
				}
				clients.Go(func() {
					if got := f.sendTo(i, service.path, parts...); got.status != http.StatusOK {
						t.Errorf("request %d: status %d, %s, %v", i, got.status, got.body, got.err)
					}
				})
				time.Sleep(interval)
			}
			clients.Wait()
			allowed := int(limitRatio*limit*limitWindow.Seconds()) + limitSlack
			for _, target := range all[:limited] {
				count := maxInWindow(target.Runs(), limitsFrom.Add(settling), limitWindow)
				if count > allowed {
					t.Errorf("%s got %d requests in %v, want at most %d", target.ID, count, limitWindow, allowed)
				}
				if count < int(limit*limitWindow.Seconds())/2 {
					t.Errorf("%s got %d requests in %v although it takes %v a second", target.ID, count, limitWindow, limit)
				}
			}
		})
	}
}
