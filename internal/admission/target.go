package admission

import (
	"math"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// target is a target that this gate owns, or that it has lost while requests are still in flight there.
type target struct {
	name string
	zone string
	pool *pool
	cap  Cap
	// lost is set if the gate no longer owns the target; detached is set if the target has left its pool.
	lost     bool
	detached bool
	// unloaded is set if the target's model is not loaded, so that the target is excluded from the pool's mean load.
	unloaded bool

	running int
	queue   queue
	service serviceTime
}

// addRunning changes the number of running requests at the target and in the load of its pool.
func (t *target) addRunning(n int) {
	t.running += n
	if !t.detached {
		t.pool.running += n
	}
}

// detach removes the target's load from its pool: a load without its target would raise the pool's mean.
func (t *target) detach() {
	if !t.detached {
		t.pool.running -= t.running
		t.detached = true
	}
}

// attach counts the target and its load in a pool, which may differ from the previous one.
func (t *target) attach(p *pool) {
	if t.pool == p && !t.detached {
		return
	}
	t.detach()
	if t.inMean() {
		t.pool.ownedTargets--
		p.ownedTargets++
	}
	t.pool = p
	t.detached = false
	p.running += t.running
}

// inMean reports whether the target counts in the pool's mean load.
func (t *target) inMean() bool { return !t.lost && !t.unloaded }

// setUnloaded excludes the target from the pool's mean load or includes it again.
func (t *target) setUnloaded(unloaded bool) {
	switch {
	case t.lost || t.unloaded == unloaded:
		return
	case unloaded:
		t.pool.ownedTargets--
	default:
		t.pool.ownedTargets++
	}
	t.unloaded = unloaded
}

// bound returns the number of requests that may be in flight now, and the reason of a refusal when it is reached.
func (t *target) bound(now time.Duration) (int, reason.Reason) {
	limit := t.pool.limit(now)
	capped := limit
	if t.cap.Max >= 0 {
		capped = min(capped, t.cap.Max)
	}
	if t.cap.Reduce != nil {
		capped = min(capped, t.cap.Reduce(limit))
	}
	if capped < limit {
		return capped, t.cap.reason()
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

// estimateWait estimates the wait of a request with the given number of requests ahead of it.
func (t *target) estimateWait(now time.Duration, ahead int) time.Duration {
	bound, _ := t.bound(now)
	slots := float64(max(bound, 1))
	return time.Duration(float64(ahead+1) / slots * float64(t.service.mean(now)))
}

// Gains of the exponentially weighted moving averages, the number of deviations between the mean and lowerBound, and
// the half-life of an estimate without new samples: minHalfLife, or halfLifeRatio times the mean if that is longer.
const (
	meanGain             = 1.0 / 8
	deviationGain        = 1.0 / 4
	lowerBoundDeviations = 2
	minHalfLife          = 30 * time.Second
	halfLifeRatio        = 4
)

// serviceTime estimates the service time from exponentially weighted moving averages of its mean and deviation. Without
// new samples the estimate decays: otherwise a target that refuses every request for its deadline would never correct
// it.
type serviceTime struct {
	average      float64 // nanoseconds
	deviation    float64
	lastSampleAt time.Duration
	known        bool
}

func (s *serviceTime) add(now, sample time.Duration) {
	s.lastSampleAt = now
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

// mean returns the expected service time, or 0 if it is unknown.
func (s *serviceTime) mean(now time.Duration) time.Duration {
	return time.Duration(s.average * s.decay(now))
}

// lowerBound returns a service time that most requests reach or exceed. Deadlines are checked against it rather than
// against the mean, because service times vary and a short request may well meet a short deadline.
func (s *serviceTime) lowerBound(now time.Duration) time.Duration {
	return time.Duration(max(s.average-lowerBoundDeviations*s.deviation, 0) * s.decay(now))
}

func (s *serviceTime) decay(now time.Duration) float64 {
	halfLife := max(float64(minHalfLife), halfLifeRatio*s.average)
	idle := float64(now - s.lastSampleAt)
	if idle < halfLife {
		return 1
	}
	return math.Exp2(1 - idle/halfLife)
}
