package router_test

import (
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// troubledFleet has one router, and targets of which the first that is asked is in trouble.
func troubledFleet(t *testing.T, service string, trouble, sound platformtest.Behavior) (*fleet, []*platformtest.Target) {
	t.Helper()
	f := newFleet(t, 1)
	var all []*platformtest.Target
	asked := make(chan struct{}, 1)
	for i := range 2 {
		target := f.target(fmt.Sprint(service, "-", i), service, sound)
		target.SetBehavior(func(*http.Request) platformtest.Behavior {
			select {
			case asked <- struct{}{}:
				return trouble
			default:
				return sound
			}
		})
		all = append(all, target)
	}
	f.awaitReady()
	await(t, "all targets are known", func() bool { return strings.Count(f.routers[0].output.String(), "target_listed") >= len(all) })
	return f, all
}

// Guards against a stalled stream that is kept because its target sends a byte now and then.
func TestStreamWithoutEventsIsResumed(t *testing.T) {
	const limit = 2500 * time.Millisecond
	sound := platformtest.Behavior{Events: 9, Work: time.Millisecond}
	trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, StallAfter: 3, Filler: ":", FillerInterval: 50 * time.Millisecond}
	f, _ := troubledFleet(t, "llm", trouble, sound)
	a := post("/check/", "1")
	a.wait = 6 * time.Second
	got := f.send(a)
	if got.err != nil || got.body != events(9) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
	if got.took > limit {
		t.Errorf("the stream took %v, want at most %v", got.took, limit)
	}
}

// Guards against an event without end that fills the router's memory.
func TestEventWithoutEndIsCutOff(t *testing.T) {
	const memoryLimit, limit = 64 << 20, 2500 * time.Millisecond
	sound := platformtest.Behavior{Events: 9, Work: time.Millisecond}
	trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, StallAfter: 3, Filler: strings.Repeat("x", 64<<10)}
	for _, path := range []string{"/check/", "/chat/"} {
		f, _ := troubledFleet(t, "llm", trouble, sound)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		got := f.send(post(path, "1"))
		runtime.ReadMemStats(&after)
		if resumed := path == "/check/"; (got.err == nil) != resumed || resumed && got.body != events(9) {
			t.Errorf("%s: error %v, %d bytes", path, got.err, len(got.body))
		}
		if got.took > limit {
			t.Errorf("%s: the stream took %v, want at most %v", path, got.took, limit)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > memoryLimit {
			t.Errorf("%s: %d bytes allocated", path, allocated)
		}
	}
}

// Guards against a slow but sound stream that is cut because its target needs longer for an event than the time after
// which another target would be asked, although there is no other.
func TestSlowStreamIsNotCut(t *testing.T) {
	slow := platformtest.Behavior{Events: 3, StallAfter: 1, Stall: 1400 * time.Millisecond, Work: time.Millisecond}
	for _, path := range []string{"/check/", "/chat/"} {
		f := newFleet(t, 1)
		f.configure(map[string]any{})
		f.target("llm-1", "llm", slow)
		f.target("llm-2", "llm", slow)
		f.awaitReady()
		a := post(path, "1")
		a.wait = 8 * time.Second
		if got := f.send(a); got.err != nil || got.body != events(3) {
			t.Errorf("%s: error %v, body %q", path, got.err, got.body)
		}
	}
}

// Guards against a rejected request that waits for the rest of an endless rejection instead of trying another target.
func TestEndlessRejectionIsNotAwaited(t *testing.T) {
	const limit = 500 * time.Millisecond
	for name, interval := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
		trouble := platformtest.Behavior{NotRun: true, Filler: "no", FillerInterval: interval}
		f, _ := troubledFleet(t, "app", trouble, platformtest.Behavior{})
		if got := f.send(post("/order/", "1")); got.status != http.StatusOK || got.took > limit {
			t.Errorf("%s: status %d after %v, %v", name, got.status, got.took, got.err)
		}
	}
}
