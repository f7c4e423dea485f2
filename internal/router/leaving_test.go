package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// drainTime is the platform's bound on requests to a target that leaves.
const drainTime = 2 * time.Second

// statingFleet starts routers and targets whose behavior may be changed.
func statingFleet(t *testing.T, routers, targets int, service string, behavior platformtest.Behavior) (*fleet, []*platformtest.Target) {
	t.Helper()
	f := newFleet(t, routers)
	var all []*platformtest.Target
	for i := range targets {
		all = append(all, f.target(fmt.Sprint("e-", i), service, behavior))
	}
	f.awaitReady()
	for _, inst := range f.routers {
		await(t, "all targets are known", func() bool { return strings.Count(inst.output.String(), "target_listed") >= targets })
	}
	return f, all
}

// sendUntil sends requests through all routers in turn until the condition holds.
func (f *fleet) sendUntil(path, what string, condition func() bool) {
	f.t.Helper()
	for i := 0; !condition(); i++ {
		if i == 1000 {
			f.t.Fatalf("not after %d requests: %s", i, what)
		}
		f.sendTo(i, path)
	}
}

// requestsSince returns the number of requests that reached a target after a time.
func requestsSince(target *platformtest.Target, from time.Time) int {
	count := 0
	for _, arrival := range target.Arrivals() {
		if arrival.At.After(from) {
			count++
		}
	}
	return count
}

// startStream sends a prompt and returns the target that runs it, and the channel that delivers the response.
func (f *fleet) startStream(targets []*platformtest.Target) (*platformtest.Target, <-chan result) {
	f.t.Helper()
	done := make(chan result, 1)
	go func() { done <- f.sendPrompt(0, "subject") }()
	var source *platformtest.Target
	await(f.t, "the stream runs", func() bool {
		for _, target := range targets {
			if len(target.Runs()) > 0 {
				source = target
			}
		}
		return source != nil
	})
	return source, done
}

// Guards against requests to a target that states that it leaves, while the store lists it as ready or says nothing.
func TestTargetThatStatesItLeavesGetsNothing(t *testing.T) {
	for _, test := range []struct {
		name        string
		storeSilent bool
		behavior    platformtest.Behavior
	}{
		{"with the store", false, platformtest.Behavior{Leaving: true}},
		{"without the store", true, platformtest.Behavior{Leaving: true}},
		{"rejecting", false, platformtest.Behavior{Leaving: true, NotRun: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, targets := statingFleet(t, 3, 3, "app", platformtest.Behavior{})
			if test.storeSilent {
				f.store.Refuse(func(string) int { return -1 })
			}
			leaving := targets[0]
			leaving.SetBehavior(func(*http.Request) platformtest.Behavior { return test.behavior })
			before := time.Now()
			f.sendUntil("/look/", "a request reaches the leaving target", func() bool { return requestsSince(leaving, before) > 0 })
			// The store writes the entry again, as for a target that has reported late.
			f.store.Put(platform.TargetPrefix+leaving.ID, leaving.Entry("app", "ready"))
			stated := time.Now()
			time.Sleep(drainTime / 2)
			informed := time.Now()
			for i := range 120 {
				if got := f.sendTo(i, "/look/"); got.status != http.StatusOK {
					t.Errorf("request %d: status %d, %s, %v", i, got.status, got.body, got.err)
				}
			}
			if count := requestsSince(leaving, informed); count > 0 {
				t.Errorf("%d requests reached the target %v after it had stated that it leaves", count, informed.Sub(stated))
			}
		})
	}
}

// Guards against a stream that is cut because its target has stated in the meantime that it leaves.
func TestStreamOfLeavingTargetGoesOn(t *testing.T) {
	const events = 20
	f, targets := statingFleet(t, 1, 2, "llm", platformtest.Behavior{Events: events, Work: 50 * time.Millisecond})
	leaving, done := f.startStream(targets)
	leaving.SetBehavior(func(*http.Request) platformtest.Behavior {
		return platformtest.Behavior{Events: 1, Leaving: true}
	})
	f.sendPrompt(1, "subject")
	stated := time.Now()
	for i := range 5 {
		if got := f.sendPrompt(2+i, "subject"); got.status != http.StatusOK {
			t.Errorf("status %d, %v", got.status, got.err)
		}
	}
	if count := requestsSince(leaving, stated); count > 0 {
		t.Errorf("%d prompts reached the leaving target", count)
	}
	if got := <-done; got.err != nil || strings.Count(got.body, "data:") != events {
		t.Errorf("the stream was cut: %v, %q", got.err, got.body)
	}
}

// Guards against requests that wait, or reach a target, although all targets of the service have stated that they leave.
func TestRequestIsRefusedAtOnceIfAllTargetsLeave(t *testing.T) {
	f, targets := statingFleet(t, 1, 2, "app", platformtest.Behavior{})
	var leaving atomic.Bool
	for _, target := range targets {
		target.SetBehavior(func(*http.Request) platformtest.Behavior { return platformtest.Behavior{Leaving: leaving.Load()} })
	}
	leaving.Store(true)
	before := time.Now()
	f.sendUntil("/order/", "all targets have stated that they leave", func() bool {
		return requestsSince(targets[0], before) > 0 && requestsSince(targets[1], before) > 0
	})
	stated := time.Now()
	got := f.send(post("/order/", "late"))
	if got.status != http.StatusServiceUnavailable || got.took > callWait/4 || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d after %v, Retry-After %q", got.status, got.took, got.header.Get("Retry-After"))
	}
	for _, target := range targets {
		if count := requestsSince(target, stated); count > 0 {
			t.Errorf("%d requests reached %s", count, target.ID)
		}
	}
}
