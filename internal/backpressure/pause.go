package backpressure

import "time"

// Parameters of pauses that targets ask for.
const (
	// MaxPause bounds a pause, since a faulty value would exclude a target for good.
	MaxPause = 10 * time.Minute
	// probeTimeout is how long the first request after a pause keeps others away while the target has not responded.
	probeTimeout = time.Second
	// maxContinuations is the number of moved runs that may continue at an instance during a pause, since their streams
	// would be cut otherwise. The platform's contract allows two requests.
	maxContinuations = 1
)

// pause is a time in which an instance wants no requests from this router.
type pause struct {
	until time.Duration
	// probedAt is when the first request after the pause was sent; 0 if none was.
	probedAt time.Duration
	// continuations is the number of moved runs that have continued there during the pause.
	continuations int
}

// rest returns the time until the instance may get a request; 0 if it may now.
func (p *pause) rest(now time.Duration) time.Duration {
	switch {
	case p == nil:
		return 0
	case now < p.until:
		return p.until - now
	case p.probedAt > 0:
		return max(p.probedAt+probeTimeout-now, 0)
	}
	return 0
}

// StatedPause records that a rejection by the instance asks for a pause of this router, of at most MaxPause. An earlier
// request for a longer pause still holds. It reports whether a pause has begun.
func (t *Tracker) StatedPause(now time.Duration, instance uint64, length time.Duration) bool {
	length = min(length, MaxPause)
	if length <= 0 {
		return false
	}
	p := t.pauses[instance]
	begun := p == nil || now >= p.until
	if begun {
		p = &pause{}
		t.pauses[instance] = p
	}
	p.until = max(p.until, now+length)
	return begun
}

// Responded records a response of the instance that asks for no pause. After a pause, the response to the first request
// admits others. It reports whether the pause has ended with it.
func (t *Tracker) Responded(now time.Duration, instance uint64) bool {
	p := t.pauses[instance]
	if p == nil || now < p.until || p.probedAt == 0 {
		return false
	}
	delete(t.pauses, instance)
	return true
}

// MayContinue reports whether a moved run may continue at the instance.
func (t *Tracker) MayContinue(now time.Duration, instance uint64) bool {
	p := t.pauses[instance]
	return p == nil || now >= p.until || p.continuations < maxContinuations
}

// Continue records that a moved run continues at the instance, which counts if the instance has asked for a pause. It
// reports whether the run may continue there.
func (t *Tracker) Continue(now time.Duration, instance uint64) bool {
	allowed := t.MayContinue(now, instance)
	if p := t.pauses[instance]; p != nil && now < p.until {
		p.continuations++
	}
	return allowed
}
