package crashguard

import "time"

// recentAnswers holds the latest answers by key, in two generations of recentAnswer each.
type recentAnswers[K comparable] struct {
	recent, older map[K]time.Duration
	rotatedAt     time.Duration
}

func newRecentAnswers[K comparable]() recentAnswers[K] {
	return recentAnswers[K]{recent: make(map[K]time.Duration)}
}

// add records an answer, unless too many are known.
func (a *recentAnswers[K]) add(now time.Duration, key K) {
	if now-a.rotatedAt >= recentAnswer {
		a.older, a.recent, a.rotatedAt = a.recent, make(map[K]time.Duration), now
	}
	if len(a.recent) < maxRecentAnswers {
		a.recent[key] = now
	}
}

// latest returns the time of the latest answer.
func (a *recentAnswers[K]) latest(key K) (time.Duration, bool) {
	if at, found := a.recent[key]; found {
		return at, true
	}
	at, found := a.older[key]
	return at, found
}
