package backpressure

import (
	"math"
	"testing"
	"time"
)

// Guards against requests during a pause, against a pause that a later response shortens, and against a burst at its end.
func TestPauses(t *testing.T) {
	const s = time.Second
	// A step states a pause, or responds without one if length is 0, or sends a request if length is negative.
	type step struct{ at, length time.Duration }
	const send = -1
	for _, test := range []struct {
		name  string
		steps []step
		at    time.Duration
		want  Admission
		wait  time.Duration
	}{
		{"at once", []step{{1 * s, 2 * s}}, 1 * s, Paused, 2 * s},
		{"before its end", []step{{1 * s, 2 * s}}, 3*s - 1, Paused, 1},
		{"at its end", []step{{1 * s, 2 * s}}, 3 * s, Open, 0},
		{"response to an earlier request", []step{{1 * s, 2 * s}, {2 * s, 0}}, 2 * s, Paused, 1 * s},
		{"extended", []step{{1 * s, 2 * s}, {2 * s, 4 * s}}, 5 * s, Paused, 1 * s},
		{"shorter one later", []step{{1 * s, 4 * s}, {2 * s, 1 * s}}, 4 * s, Paused, 1 * s},
		{"first request after it", []step{{1 * s, 1 * s}, {3 * s, send}}, 3 * s, Paused, probeTimeout},
		{"first request answered", []step{{1 * s, 1 * s}, {3 * s, send}, {3*s + 1, 0}}, 3*s + 1, Open, 0},
		{"first request not answered", []step{{1 * s, 1 * s}, {3 * s, send}}, 3*s + probeTimeout, Open, 0},
		{"first request rejected", []step{{1 * s, 1 * s}, {3 * s, send}, {3*s + 1, 2 * s}}, 5 * s, Paused, 1},
		{"response before the first request", []step{{1 * s, 1 * s}, {3 * s, 0}, {3 * s, send}}, 3 * s, Paused, probeTimeout},
		{"excessive", []step{{1 * s, math.MaxInt64}}, 1*s + MaxPause - 1, Paused, 1},
		{"after an excessive one", []step{{1 * s, math.MaxInt64}}, 1*s + MaxPause, Open, 0},
	} {
		tracker := newTracker(1)
		for _, step := range test.steps {
			switch {
			case step.length > 0:
				tracker.StatedPause(step.at, target, step.length)
			case step.length == send:
				tracker.Took(step.at, target)
			default:
				tracker.Responded(step.at, target)
			}
		}
		got := tracker.Admission(test.at, target)
		wait, may := tracker.Wait(test.at, target)
		if got != test.want || wait != test.wait || !may {
			t.Errorf("%s: admission %v, wait %v, %v, want %v, %v", test.name, got, wait, may, test.want, test.wait)
		}
	}
}

// Guards against a pause that is told to other routers, which the target has not asked for one.
func TestPausesAreNotToldToOthers(t *testing.T) {
	tracker := newTracker(1)
	tracker.StatedPause(time.Second, target, time.Minute)
	if updates := tracker.TakeUpdates(2*time.Second, fleetUpdates); len(updates) > 0 {
		t.Errorf("updates %+v", updates)
	}
}

// Guards against pauses that are kept for targets that are gone.
func TestEndedPausesAreForgotten(t *testing.T) {
	tracker := newTracker(1)
	for i := range uint64(100) {
		tracker.StatedPause(time.Second, i, time.Second)
	}
	tracker.TakeUpdates(2*time.Second+lifetime, fleetUpdates)
	if len(tracker.pauses) > 0 {
		t.Errorf("%d pauses are kept", len(tracker.pauses))
	}
}

// Guards against moved runs that all continue at a target during its pause.
func TestFewRunsContinueDuringAPause(t *testing.T) {
	tracker := newTracker(1)
	for range 5 {
		if !tracker.Continue(time.Second, target) {
			t.Error("a run may not continue although there is no pause")
		}
	}
	tracker.StatedPause(2*time.Second, target, 2*time.Second)
	continued := 0
	for range 5 {
		if tracker.Continue(3*time.Second, target) {
			continued++
		}
	}
	if continued != maxContinuations {
		t.Errorf("%d runs continued during the pause, want %d", continued, maxContinuations)
	}
	if !tracker.Continue(4*time.Second, target) {
		t.Error("a run may not continue after the pause")
	}
}
