package router_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Bounds of the platform's contract on a target that asks for a pause: maxPausedRequests of one router may reach it from
// pauseReaction after its response to the end of the pause.
const (
	pauseReaction     = 500 * time.Millisecond
	maxPausedRequests = 2
)

// pauseAll makes targets reject requests and ask for a pause.
func pauseAll(targets []*platformtest.Target, retryAfter string) {
	for _, target := range targets {
		target.SetBehavior(func(*http.Request) platformtest.Behavior {
			return platformtest.Behavior{NotRun: true, RetryAfter: retryAfter}
		})
	}
}

// Guards against requests to a target that has asked this router for a pause, while a burst arrives and with tries after
// rejections by other targets, and against a target that gets nothing after the pause.
func TestPausedTargetGetsNothing(t *testing.T) {
	const pause, load = 2 * time.Second, 6 * time.Second
	for _, service := range []struct{ name, path string }{{"app", "/look/"}, {"llm", "/chat/"}} {
		t.Run(service.name, func(t *testing.T) {
			t.Parallel()
			const burst = 12
			f, targets := statingFleet(t, 1, 3, service.name, platformtest.Behavior{})
			paused := targets[0]
			var mu sync.Mutex
			var rejectedAt time.Time
			paused.SetBehavior(func(*http.Request) platformtest.Behavior {
				mu.Lock()
				defer mu.Unlock()
				if rejectedAt.IsZero() {
					rejectedAt = time.Now()
				}
				if time.Since(rejectedAt) < pause {
					return platformtest.Behavior{NotRun: true, RetryAfter: fmt.Sprint(pause.Seconds())}
				}
				return platformtest.Behavior{}
			})
			for i, start := 0, time.Now(); time.Since(start) < load; i++ {
				// Bursts do not overlap, so that the other targets have room for each of them on a slow machine as well.
				var clients sync.WaitGroup
				for k := range burst {
					clients.Go(func() {
						if got := f.sendTo(i, service.path, fmt.Sprint("subject", k)); got.status != http.StatusOK {
							t.Errorf("status %d, %s, %v", got.status, got.body, got.err)
						}
					})
				}
				clients.Wait()
				time.Sleep(50 * time.Millisecond)
			}
			if rejectedAt.IsZero() {
				t.Fatal("the target was never asked")
			}
			during, after := 0, 0
			for _, arrival := range paused.Arrivals() {
				switch {
				case arrival.At.After(rejectedAt.Add(pause)):
					after++
				case arrival.At.After(rejectedAt.Add(pauseReaction)):
					during++
				}
			}
			if during > maxPausedRequests {
				t.Errorf("%d requests reached the target during its pause, want at most %d", during, maxPausedRequests)
			}
			if after < burst {
				t.Errorf("%d requests reached the target after its pause", after)
			}
		})
	}
}

// Guards against clients that are told to return long before, or all at the same time, although all targets have asked
// for a pause, and against requests that wait.
func TestClientsReturnWhenPausesEnd(t *testing.T) {
	const pause = 2.0
	f, targets := statingFleet(t, 1, 6, "app", platformtest.Behavior{})
	pauseAll(targets, fmt.Sprint(pause))
	begin := time.Now()
	f.sendUntil("/look/", "all targets have asked for a pause", func() bool {
		for _, target := range targets {
			if requestsSince(target, begin) == 0 {
				return false
			}
		}
		return true
	})
	settled := time.Now()
	returns := map[string]bool{}
	for i := range 20 {
		got := f.sendTo(i, "/look/")
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		rest := pause - time.Since(begin).Seconds()
		if err != nil || got.status != http.StatusServiceUnavailable || wait < rest-0.1 || wait > pause+1 || got.took > callWait/4 {
			t.Errorf("status %d after %v, Retry-After %q, want at least %.1f", got.status, got.took, got.header.Get("Retry-After"), rest)
		}
		returns[got.header.Get("Retry-After")] = true
	}
	if len(returns) < 10 {
		t.Errorf("20 clients return at %d different times", len(returns))
	}
	for _, target := range targets {
		if count := requestsSince(target, settled); count > 0 {
			t.Errorf("%d requests reached %s during its pause", count, target.ID)
		}
	}
}

// Guards against a pause that the router takes from a malformed, negative or excessive value.
func TestInvalidPausesAreNotKept(t *testing.T) {
	for _, value := range []string{"-1", "soon", "NaN", "0", ""} {
		t.Run(value, func(t *testing.T) {
			t.Parallel()
			f, targets := statingFleet(t, 1, 1, "app", platformtest.Behavior{})
			pauseAll(targets, value)
			f.sendTo(0, "/look/")
			targets[0].SetBehavior(func(*http.Request) platformtest.Behavior { return platformtest.Behavior{} })
			if got := f.sendTo(1, "/look/"); got.status != http.StatusOK {
				t.Errorf("status %d, %s", got.status, got.body)
			}
		})
	}
}

// Guards against calls that move a stalled stream away from a target that has asked for a pause, and against a stream
// that is cut for it.
func TestStreamOfPausedTargetIsNotMoved(t *testing.T) {
	const count, stall = 30, time.Second
	behavior := platformtest.Behavior{Events: count, Work: 10 * time.Millisecond, StallAfter: 20, Stall: stall, Move: http.StatusOK}
	f, targets := statingFleet(t, 1, 2, "llm", behavior)
	source, done := f.startStream(targets)
	pauseAll([]*platformtest.Target{source}, "10")
	f.sendPrompt(1, "subject")
	if got := <-done; got.err != nil || got.body != events(count) {
		t.Errorf("the stream was cut: %v, %q", got.err, got.body)
	}
	if run := source.Runs()[0]; run.Moved || run.Cut {
		t.Errorf("moved %v, cut %v", run.Moved, run.Cut)
	}
	if !strings.Contains(f.routers[0].output.String(), "target asked for a pause") {
		t.Error("the stream was not considered for a move")
	}
}

// Guards against requests to a target that has asked for a pause in its response to a call that moves a stalled stream.
func TestPauseStatedInCallIsKept(t *testing.T) {
	const count = 30
	f, targets := statingFleet(t, 1, 2, "llm", platformtest.Behavior{})
	for _, target := range targets {
		target.SetBehavior(func(r *http.Request) platformtest.Behavior {
			if platformtest.ContinuesRun(r) {
				return platformtest.Behavior{Events: count, Work: 10 * time.Millisecond}
			}
			return platformtest.Behavior{
				Events: count, Work: 10 * time.Millisecond, StallAfter: 6, Stall: time.Second,
				Move: http.StatusServiceUnavailable, RetryAfter: "10",
			}
		})
	}
	source, done := f.startStream(targets)
	await(t, "the run is stopped", func() bool { return source.Runs()[0].Moved })
	stopped := time.Now()
	for _, target := range targets {
		target.SetBehavior(func(*http.Request) platformtest.Behavior { return platformtest.Behavior{Events: count} })
	}
	if got := <-done; got.err != nil || got.body != events(count) {
		t.Errorf("the stream was cut: %v, %q", got.err, got.body)
	}
	time.Sleep(pauseReaction)
	for i := range 20 {
		if got := f.sendPrompt(1+i, "subject"); got.status != http.StatusOK {
			t.Errorf("status %d, %v", got.status, got.err)
		}
	}
	during := 0
	for _, arrival := range source.Arrivals() {
		if arrival.At.After(stopped.Add(pauseReaction)) {
			during++
		}
	}
	if during > maxPausedRequests {
		t.Errorf("%d requests reached the target during its pause, want at most %d", during, maxPausedRequests)
	}
}
