package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// RequestRefusalThreshold is the number of target processes that a request must have crashed before routers refuse it.
	// The platform's contract allows three.
	RequestRefusalThreshold = 3
	// maxRequestRefusals bounds the requests that are refused at a time.
	maxRequestRefusals = 256
	// expiryInterval is the time between removals of what has expired, whose cost grows with all that is known.
	expiryInterval = time.Second
)

// RequestRefusal states that the requests with a digest are refused.
type RequestRefusal struct {
	Digest Digest
	// Age is the time since the crash that led to the refusal.
	Age    time.Duration
	Trials TrialState
}

// RequestAnswer states that a target has answered a request with the digest.
type RequestAnswer struct {
	Digest Digest
	Age    time.Duration
}

type requestRefusal struct {
	since  time.Duration
	trials trials
}

// RequestGuard finds requests that crash the targets that run them and that come again, with the same digest.
//
// A request that was running at a target when that crashed is charged, which includes harmless ones. An answer, also one
// shortly before the crash, clears it: requests that come often are running at many crashes, and a request that crashes
// targets is never answered. A request with RequestRefusalThreshold charges is refused, and tried again from time to time.
//
// It is not safe for concurrent use.
type RequestGuard struct {
	charges  *Guard
	refusals map[Digest]*requestRefusal
	// answered is the time of the latest answer to each request that was charged.
	answered map[Digest]time.Duration
	recent   recentAnswers[Digest]
	// trialAt is the start of the latest trial of any request, if hasTrial is set.
	trialAt   time.Duration
	hasTrial  bool
	expiredAt time.Duration
}

// NewRequestGuard returns an empty RequestGuard.
func NewRequestGuard() *RequestGuard {
	return &RequestGuard{
		charges: New(), refusals: make(map[Digest]*requestRefusal), answered: make(map[Digest]time.Duration),
		recent: newRecentAnswers[Digest](),
	}
}

// Charge adds charges and returns the refusals that follow from them.
func (g *RequestGuard) Charge(now time.Duration, charges []Charge) []RequestRefusal {
	g.expire(now)
	charges = slices.DeleteFunc(slices.Clone(charges), func(c Charge) bool {
		at, found := g.lastAnswer(c.Digest)
		return found && at > now+c.Remaining-Lifetime-recentAnswer
	})
	g.charges.Merge(now, charges)
	var added []RequestRefusal
	for _, c := range charges {
		if g.charges.Crashes(now, c.Digest) < RequestRefusalThreshold {
			continue
		}
		latest := g.charges.latestCrash(now, c.Digest)
		if known := g.refusals[c.Digest]; known != nil {
			known.since = max(known.since, latest)
			continue
		}
		g.addRefusal(c.Digest, &requestRefusal{since: latest})
		added = append(added, g.describe(now, c.Digest))
	}
	return added
}

// Refuses reports whether requests with the digest are refused.
func (g *RequestGuard) Refuses(now time.Duration, digest Digest) bool {
	refusal := g.refusals[digest]
	return refusal != nil && now < refusal.since+Lifetime
}

// Refusals returns the refusals in force, the newest first.
func (g *RequestGuard) Refusals(now time.Duration, limit int) []RequestRefusal {
	var list []RequestRefusal
	for digest := range g.refusals {
		if g.Refuses(now, digest) {
			list = append(list, g.describe(now, digest))
		}
	}
	slices.SortFunc(list, func(a, b RequestRefusal) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Digest, b.Digest))
	})
	return list[:min(limit, len(list))]
}

// Refusal returns the refusal of a digest, if there is one.
func (g *RequestGuard) Refusal(now time.Duration, digest Digest) (RequestRefusal, bool) {
	if !g.Refuses(now, digest) {
		return RequestRefusal{}, false
	}
	return g.describe(now, digest), true
}

func (g *RequestGuard) describe(now time.Duration, digest Digest) RequestRefusal {
	refusal := g.refusals[digest]
	return RequestRefusal{Digest: digest, Age: now - refusal.since, Trials: refusal.trials.state(now)}
}

// StartTrial reports whether a refused request may run now to show whether it still crashes targets, and counts the trial
// if so. The delay keeps routers from starting trials at the same moment.
func (g *RequestGuard) StartTrial(now, delay time.Duration, digest Digest) bool {
	refusal := g.refusals[digest]
	if refusal == nil || g.hasTrial && now < g.trialAt+trialSpacing || !refusal.trials.due(now-delay, refusal.since) {
		return false
	}
	refusal.trials.start(now)
	g.trialAt, g.hasTrial = now, true
	return true
}

// CancelTrial takes back a trial that did not reach a target.
func (g *RequestGuard) CancelTrial(digest Digest) {
	g.hasTrial = false
	if refusal := g.refusals[digest]; refusal != nil {
		refusal.trials.cancel()
	}
}

// TrialFailed records that a trial has crashed its target.
func (g *RequestGuard) TrialFailed(now time.Duration, digest Digest) {
	if refusal := g.refusals[digest]; refusal != nil {
		refusal.trials.fail()
		refusal.since = now
	}
}

// Answered records that a target has answered a request. It returns whether that was charged or refused, which other
// routers must learn.
func (g *RequestGuard) Answered(now time.Duration, digest Digest) (charged, refused bool) {
	g.recent.add(now, digest)
	return g.clear(now, digest, now)
}

// AnsweredElsewhere records an answer that another router has seen. It returns whether the request was refused.
func (g *RequestGuard) AnsweredElsewhere(now time.Duration, answer RequestAnswer) bool {
	_, refused := g.clear(now, answer.Digest, now-max(answer.Age, 0))
	return refused
}

func (g *RequestGuard) clear(now time.Duration, digest Digest, at time.Duration) (charged, refused bool) {
	charged = g.charges.Clear(now, digest, at+recentAnswer) > 0
	if refusal := g.refusals[digest]; refusal != nil && at > refusal.since-recentAnswer {
		refused = g.Refuses(now, digest)
		delete(g.refusals, digest)
	}
	if charged || refused {
		g.answered[digest] = max(g.answered[digest], at)
	}
	return charged, refused
}

// Refused records a refusal of another router. It returns the answer that contradicts it, if there is one, and whether the
// refusal was not known.
func (g *RequestGuard) Refused(now time.Duration, refusal RequestRefusal) (answer RequestAnswer, contradicted, added bool) {
	since := now - max(refusal.Age, 0)
	// A refusal gets younger by the time of transmission with each relay, so routers do not relay it until its end.
	if refusal.Age >= Lifetime-tombstoneRetention {
		return RequestAnswer{}, false, false
	}
	if at, found := g.lastAnswer(refusal.Digest); found && at > since-recentAnswer {
		return RequestAnswer{Digest: refusal.Digest, Age: now - at}, true, false
	}
	known := g.refusals[refusal.Digest]
	if known == nil || !g.Refuses(now, refusal.Digest) {
		known, added = &requestRefusal{since: since}, true
		g.addRefusal(refusal.Digest, known)
	}
	if known.trials.merge(now, refusal.Trials) {
		known.since = max(known.since, since)
	}
	if known.trials.started > 0 && (!g.hasTrial || known.trials.startedAt > g.trialAt) {
		g.trialAt, g.hasTrial = known.trials.startedAt, true
	}
	return RequestAnswer{}, false, added
}

func (g *RequestGuard) lastAnswer(digest Digest) (time.Duration, bool) {
	answered, found := g.answered[digest]
	if at, ok := g.recent.latest(digest); ok && (!found || at > answered) {
		return at, true
	}
	return answered, found
}

// addRefusal adds a refusal in place of the oldest one if there are too many.
func (g *RequestGuard) addRefusal(digest Digest, refusal *requestRefusal) {
	if len(g.refusals) >= maxRequestRefusals {
		oldest := slices.MinFunc(slices.Collect(maps.Keys(g.refusals)), func(a, b Digest) int {
			return cmp.Compare(g.refusals[a].since, g.refusals[b].since)
		})
		delete(g.refusals, oldest)
	}
	g.refusals[digest] = refusal
}

// expire removes what no longer counts, at most once in expiryInterval.
func (g *RequestGuard) expire(now time.Duration) {
	if g.expiredAt > 0 && now < g.expiredAt+expiryInterval {
		return
	}
	g.expiredAt = now
	g.charges.Tick(now)
	maps.DeleteFunc(g.refusals, func(digest Digest, _ *requestRefusal) bool { return !g.Refuses(now, digest) })
	maps.DeleteFunc(g.answered, func(_ Digest, at time.Duration) bool { return now >= at+Lifetime+recentAnswer })
}
