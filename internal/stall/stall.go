package stall

import "time"

// Parameters of the detection.
const (
	// minRetransmission is the shortest time after which a sender repeats a lost packet.
	minRetransmission = 200 * time.Millisecond
	// reactionMargin is the time before the earliest retransmission at which an event counts as overdue.
	reactionMargin = 10 * time.Millisecond
	// spacingWeight is the weight of one interval in the moving average of the spacing.
	spacingWeight = 0.2
)

// Detector tracks the spacing of the events of one stream. The zero value is ready for use.
type Detector struct {
	last    time.Time
	spacing time.Duration
	started bool
}

// Event records the arrival of one or more events.
func (d *Detector) Event(now time.Time) {
	if d.started {
		interval := min(now.Sub(d.last), minRetransmission)
		if d.spacing == 0 {
			d.spacing = interval
		} else {
			d.spacing += time.Duration(spacingWeight * float64(interval-d.spacing))
		}
	}
	d.last, d.started = now, true
}

// Restart records that the stream goes on on another connection, whose first event is due from now on.
func (d *Detector) Restart(now time.Time) { d.last = now }

// Deadline returns the time at which the stream counts as stalled if no event has arrived until then. It returns false
// before the spacing of the stream is known.
func (d *Detector) Deadline() (time.Time, bool) {
	if d.spacing == 0 {
		return time.Time{}, false
	}
	return d.last.Add(d.spacing + minRetransmission - reactionMargin), true
}
