package backpressure

import "time"

// warmupShare is the part of a warm-up's bound on requests in a second that is used as its rate. A router may send its burst
// and its part in a second, so routers that hear each other send twice the rate at most, and two such groups the bound.
const warmupShare = 0.25

// WarmupRate returns the rate in requests a second, for all routers together, of an instance that warms up. It tolerates
// perSecond requests a second, and may get at most bound requests in any second, whether or not routers hear each other.
// The result is 0, which is no limit, if perSecond is not above 0.
func WarmupRate(perSecond, bound float64) float64 {
	if !(perSecond > 0) {
		return 0
	}
	return max(min(perSecond, warmupShare*bound), minRate)
}

// SetWarmup limits the requests to an instance that warms up: to a rate in requests a second, for all routers together, until
// a time on the clock of now. A later call replaces the rate and the time, also by a later time. A rate that is not above 0,
// or a time that has passed, ends the limit. A smaller rate that the instance has stated applies in its place.
//
// A limit begins with an empty bucket, since an earlier process at this router's address may have sent requests just before.
func (t *Tracker) SetWarmup(now time.Duration, instance uint64, rate float64, until time.Duration) {
	l := t.limits[instance]
	if !(rate > 0) || until <= now {
		if l != nil && l.warmsUp(now) {
			l.warmupUntil = now
			t.follow(now, instance, l)
		}
		return
	}
	if l == nil {
		l = &limit{filledAt: now}
		t.limits[instance] = l
	}
	if !l.warmsUp(now) {
		l.fill(now)
		l.tokens = min(l.tokens, 0)
	}
	l.warmupRate, l.warmupUntil = rate, until
	t.follow(now, instance, l)
}

// WarmsUp reports whether the instance is limited because it warms up.
func (t *Tracker) WarmsUp(now time.Duration, instance uint64) bool {
	l := t.limits[instance]
	return l != nil && l.warmsUp(now)
}

func (l *limit) warmsUp(now time.Duration) bool { return now < l.warmupUntil }
