package admission

import (
	"math"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// target is a target that this gate owns, or no longer owns while requests are still in flight.
type target struct {
	name string
	zone string
	pool *pool
	cap  Cap
	// lost says that the gate no longer owns the target, detached that the target has left its pool.
	lost     bool
	detached bool
	// unloaded says that the target can't serve its pool now, so that it is left out of the pool's mean.
	unloaded bool

	running int
	queue   queue
	service serviceTime
}

// addRunning counts requests that this gate admitted, at the target and in the load of its pool.
func (t *target) addRunning(n int) {
	t.running += n
	if !t.detached {
		t.pool.running += n
	}
}

// detach takes the target's load out of its pool. A load without its target would raise the pool's mean.
func (t *target) detach() {
	if !t.detached {
		t.pool.running -= t.running
		t.detached = true
	}
}

// attach counts the target in a pool, which may be another than before.
func (t *target) attach(p *pool) {
	if t.pool == p && !t.detached {
		return
	}
	t.detach()
	if t.inMean() {
		t.pool.owned--
		p.owned++
	}
	t.pool = p
	t.detached = false
	p.running += t.running
}

// inMean reports whether the target is one of those over which the pool's mean is taken.
func (t *target) inMean() bool { return !t.lost && !t.unloaded }

// setUnloaded takes the target out of the pool's mean or puts it back.
func (t *target) setUnloaded(unloaded bool) {
	switch {
	case t.lost || t.unloaded == unloaded:
		return
	case unloaded:
		t.pool.owned--
	default:
		t.pool.owned++
	}
	t.unloaded = unloaded
}

// bound returns the number of requests that may be in flight now, and the reason when they reach it.
func (t *target) bound(now time.Duration) (int, reason.Reason) {
	limit := t.pool.limit(now)
	reduced := limit
	if t.cap.Max >= 0 {
		reduced = min(reduced, t.cap.Max)
	}
	if t.cap.Reduce != nil {
		reduced = min(reduced, t.cap.Reduce(limit))
	}
	if reduced < limit {
		return reduced, t.cap.reason()
	}
	return limit, reason.OverLimit
}

func (t *target) hasRoom(now time.Duration) bool {
	if t.lost {
		return false
	}
	bound, _ := t.bound(now)
	return t.running < bound
}

// estimateWait estimates the wait of a request that starts after the given number of others.
func (t *target) estimateWait(now time.Duration, ahead int) time.Duration {
	bound, _ := t.bound(now)
	slots := float64(max(bound, 1))
	return time.Duration(float64(ahead+1) / slots * float64(t.service.mean(now)))
}

// Gains of the exponentially weighted averages, and the time in which an estimate halves without new samples.
const (
	meanGain             = 1.0 / 8
	deviationGain        = 1.0 / 4
	lowerBoundDeviations = 2
	minHalfLife          = 30 * time.Second
	halfLifeRatio        = 4
)

// serviceTime estimates the service time from decaying averages of its mean and deviation. The estimate halves with
// time without samples: otherwise a target that refuses every request for its deadline would never correct its estimate.
type serviceTime struct {
	average   float64 // nanoseconds
	deviation float64
	last      time.Duration
	known     bool
}

func (s *serviceTime) add(now, sample time.Duration) {
	s.last = now
	if !s.known {
		s.average = float64(sample)
		s.deviation = float64(sample) / 2
		s.known = true
		return
	}
	diff := float64(sample) - s.average
	s.average += meanGain * diff
	s.deviation += deviationGain * (math.Abs(diff) - s.deviation)
}

// mean returns the expected service time, 0 when it is unknown.
func (s *serviceTime) mean(now time.Duration) time.Duration {
	return time.Duration(s.average * s.decay(now))
}

// lowerBound returns a service time that most requests reach or exceed. Deadlines are compared with it rather than with
// the mean, because requests differ and a short one may well meet a short deadline.
func (s *serviceTime) lowerBound(now time.Duration) time.Duration {
	return time.Duration(max(s.average-lowerBoundDeviations*s.deviation, 0) * s.decay(now))
}

func (s *serviceTime) decay(now time.Duration) float64 {
	half := max(float64(minHalfLife), halfLifeRatio*s.average)
	idle := float64(now - s.last)
	if idle < half {
		return 1
	}
	return math.Exp2(1 - idle/half)
}
