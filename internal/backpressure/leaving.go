package backpressure

import "time"

// Parameters of instances that leave.
const (
	// leavingResendTime is how long routers tell each other that an instance leaves. It has ended by then, or its entry
	// in the store says that it leaves.
	leavingResendTime = time.Minute
	// leavingLifetime is how long the statement is kept. It outlives the entry in the store, which may disappear and come
	// back, and only bounds the memory.
	leavingLifetime = time.Hour
)

// departure is an instance that leaves.
type departure struct {
	statedAt time.Duration
	// sentAt is when other routers were last told; 0 if they were not.
	sentAt time.Duration
}

// StatedLeaving records that a response of the instance states that it leaves. Responses without the statement do not
// revoke it, since they may be older. It reports whether this was not known.
func (t *Tracker) StatedLeaving(now time.Duration, instance uint64) bool {
	return t.leave(now, instance)
}

func (t *Tracker) leave(statedAt time.Duration, instance uint64) bool {
	if t.leaving[instance] != nil {
		return false
	}
	t.leaving[instance] = &departure{statedAt: statedAt}
	return true
}

func (t *Tracker) isLeaving(now time.Duration, instance uint64) bool {
	d := t.leaving[instance]
	return d != nil && now-d.statedAt < leavingLifetime
}
