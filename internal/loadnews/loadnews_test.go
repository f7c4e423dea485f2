package loadnews

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
)

func load(gate string, load int, age time.Duration) admission.PoolDigest {
	return admission.PoolDigest{Pool: "p", Zone: "z", Gate: gate, Load: load, Targets: 2, Age: age}
}

// Guards against loads that are sent to a gate twice, sent back to their own gate, or sent although they are too old or
// older than what is cached.
func TestRelay(t *testing.T) {
	const now = time.Minute
	cases := []struct {
		name   string
		accept []admission.PoolDigest
		gate   string
		at     time.Duration
		want   string
	}{
		{"to another gate", []admission.PoolDigest{load("a", 3, 0)}, "b", now, "[a 3 0s]"},
		{"not back to its gate", []admission.PoolDigest{load("a", 3, 0)}, "a", now, "[]"},
		{"age grows in transit", []admission.PoolDigest{load("a", 3, time.Millisecond)}, "b", now + 9*time.Millisecond, "[a 3 10ms]"},
		{"older does not replace newer", []admission.PoolDigest{load("a", 3, 0), load("a", 9, time.Millisecond)}, "b", now, "[a 3 0s]"},
		{"too old", []admission.PoolDigest{load("a", 3, 0)}, "b", now + MaxAge, "[]"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRelay()
			r.Accept(now, tc.accept)
			if got := formatDigests(r.UpdatesFor(tc.at, "p", tc.gate, nil)); got != tc.want {
				t.Fatalf("got %s, want %s", got, tc.want)
			}
			if got := r.UpdatesFor(tc.at, "p", tc.gate, nil); len(got) != 0 {
				t.Fatalf("second call repeats %v", got)
			}
		})
	}
}

func formatDigests(digests []admission.PoolDigest) string {
	var parts []string
	for _, d := range digests {
		parts = append(parts, fmt.Sprint(d.Gate, " ", d.Load, " ", d.Age))
	}
	return fmt.Sprint(parts)
}

// Guards against memory or message sizes that grow with the number of gates, and against repeating an unchanged load.
func TestRelayIsBounded(t *testing.T) {
	r := NewRelay()
	for i := range 5000 {
		r.Accept(time.Duration(i), []admission.PoolDigest{load(fmt.Sprint(i), 1, 0)})
		if got := len(r.UpdatesFor(time.Duration(i), "p", fmt.Sprint("g", i), nil)); got > MaxLoadsPerCall {
			t.Fatalf("a request carries %d loads", got)
		}
	}
	p := r.pools["p"]
	if len(p.loads) > maxLoadsPerPool || len(p.sentSequence) > maxTrackedGates {
		t.Fatalf("%d loads cached and %d gates tracked", len(p.loads), len(p.sentSequence))
	}
	r = NewRelay()
	r.Accept(1, []admission.PoolDigest{load("a", 3, 0)})
	r.UpdatesFor(1, "p", "b", nil)
	r.Accept(2, []admission.PoolDigest{load("a", 3, 0)})
	if got := r.UpdatesFor(2, "p", "b", nil); len(got) != 0 {
		t.Fatalf("an unchanged load is sent again: %v", got)
	}
}
