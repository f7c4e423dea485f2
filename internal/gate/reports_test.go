package gate

import (
	"testing"
	"time"
)

// Guards against counting the gate's own requests in a report that was measured before they began or after they ended,
// which would underestimate the load of other gates.
func TestOwnInFlightIsNeverOverestimated(t *testing.T) {
	h := new(history)
	for _, c := range []change{{1, 1}, {2, 1}, {5, 1}, {7, -1}, {9, -1}} {
		h.add(c.at*time.Second/10, c.delta)
	}
	cases := []struct {
		from, to time.Duration
		want     int
	}{{0, 0, 0}, {1, 1, 1}, {2, 4, 2}, {4, 6, 2}, {6, 8, 2}, {4, 9, 0}, {8, 20, 1}}
	for _, c := range cases {
		if got := h.throughout(c.from*time.Second/10, c.to*time.Second/10); got != c.want {
			t.Errorf("from %d to %d: %d requests, want %d", c.from, c.to, got, c.want)
		}
	}
}
