package stall

import (
	"testing"
	"time"
)

// Guards against a stall that is reported after the retransmission has arrived anyway, against one that is reported
// while a slow target still produces its next event, and against a decision without a known spacing.
func TestDeadline(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		arrivals []time.Duration
		want     time.Duration // after the last event; 0 means no deadline
	}{
		"no event":             {nil, 0},
		"first event":          {[]time.Duration{0}, 0},
		"dense stream":         {[]time.Duration{0, 20 * ms, 40 * ms, 60 * ms}, 210 * ms},
		"sparse stream":        {[]time.Duration{0, 100 * ms, 200 * ms, 300 * ms}, 290 * ms},
		"spacing that changes": {[]time.Duration{0, 20 * ms, 140 * ms}, 230 * ms},
		"an earlier stall counts with a retransmission only": {[]time.Duration{0, 20 * ms, 1020 * ms}, 246 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			start := time.Now()
			last := start
			for _, arrival := range c.arrivals {
				last = start.Add(arrival)
				d.Event(last)
			}
			deadline, known := d.Deadline()
			if known != (c.want > 0) {
				t.Fatalf("known %t", known)
			}
			if known && deadline.Sub(last) != c.want {
				t.Errorf("silence of %v, want %v", deadline.Sub(last), c.want)
			}
		})
	}
}

// Guards against a stream that counts as stalled again at once after it has moved.
func TestRestart(t *testing.T) {
	var d Detector
	start := time.Now()
	d.Event(start)
	d.Event(start.Add(20 * time.Millisecond))
	moved := start.Add(400 * time.Millisecond)
	d.Restart(moved)
	if deadline, known := d.Deadline(); !known || deadline.Sub(moved) != 210*time.Millisecond {
		t.Errorf("stalled %v after the move (%t)", deadline.Sub(moved), known)
	}
	var unknown Detector
	unknown.Restart(moved)
	if _, known := unknown.Deadline(); known {
		t.Error("a stream without events has a deadline")
	}
}
