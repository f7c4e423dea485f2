package backpressure

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Parameters of rate limits.
const (
	// minShareRate is the number of requests a second for which a router gets a part of a limit. Buckets of smaller parts
	// would hold more requests, all together, than the limit allows at once.
	minShareRate = 1.0
	// minRate replaces smaller limits, so that the end of the limit is noticed.
	minRate = 0.1
	// burstTime is the time in which an unused part accumulates.
	burstTime = 500 * time.Millisecond
	// lifetime is how long a limit is told to other routers that no response confirms, and how long its end is remembered.
	// An older limit does not make other targets preferable any more, so that requests show whether it still holds. They
	// keep to it, since all routers would send some at the same time otherwise.
	lifetime = 20 * time.Second
	// limitRetention is how long a limit is kept that no response confirms. It only bounds the memory.
	limitRetention = time.Hour
	// reportedChange is the relative change of a limit that is reported.
	reportedChange = 0.2
	// recoveryTime is how long after the end of its limit a target counts as recovering. Within it most prompts are asked
	// for again.
	recoveryTime = 15 * time.Second
	// confirmInterval is how old the latest statement of a limit may get before one router sends a request that shows
	// whether it still holds. Otherwise limits outlive their end at targets to which no router has a reason to send.
	confirmInterval = 2 * time.Second
	// resendInterval is how often each router tells others of a limit that has not changed. It informs routers that have
	// restarted or have missed a message.
	resendInterval = 4 * time.Second
)

// Update is what an instance of a target has stated, as routers tell each other.
type Update struct {
	// Instance is the key of the instance.
	Instance uint64
	// Leaving is set if the instance leaves. Rate and Limited have no meaning then.
	Leaving bool
	// Rate is the stated limit in requests a second, if Limited is set. Otherwise an earlier limit has ended.
	Rate    float64
	Limited bool
	// Age is the time since the response that stated it.
	Age time.Duration
}

// limit is what bounds the requests to an instance: the rate that it has stated, the rate while it warms up, or both. They
// share one division and one token bucket, which follow the smaller rate.
type limit struct {
	// stated is set if a response has stated a rate or its end. The fields up to reportedRate have no meaning otherwise.
	stated  bool
	rate    float64
	limited bool
	// statedAt is when the latest response arrived that this or another router has seen.
	statedAt time.Duration
	// changedAt is when the limit last began, ended or changed much.
	changedAt time.Duration
	// reportedRate is the rate when a change was last reported to the caller.
	reportedRate float64
	// warmupRate is the rate in requests a second until warmupUntil.
	warmupRate  float64
	warmupUntil time.Duration
	// divided is the rate of which share is a part, and dividedWarmup is set if it is that of the warm-up.
	divided       float64
	dividedWarmup bool
	// share is this router's part of the limit in requests a second; 0 if it has none.
	share    float64
	tokens   float64
	filledAt time.Duration
	// first is set if this router ranks first among those that share the limit; tookAt is when it last sent a request.
	first  bool
	tookAt time.Duration
	// sentAt is when other routers were last told; 0 if they were not since the latest change.
	sentAt time.Duration
}

// Tracker tracks what instances of targets have stated, and this router's requests to them.
type Tracker struct {
	self    uint64
	routers []uint64
	limits  map[uint64]*limit
	leaving map[uint64]*departure
	pauses  map[uint64]*pause
	rng     *rand.Rand
}

// New returns a Tracker that knows no statements and no other routers.
func New(rng *rand.Rand) *Tracker {
	return &Tracker{
		limits:  make(map[uint64]*limit),
		leaving: make(map[uint64]*departure),
		pauses:  make(map[uint64]*pause),
		rng:     rng,
	}
}

// Key returns the key of an instance of a target. A target that starts again is another instance, even if it has the same
// ID, and is not bound by what the earlier one has stated.
func Key(targetID string, startedAt int64) uint64 {
	return rendezvous.Hash(targetID + "@" + strconv.FormatInt(startedAt, 10))
}

// Admission is whether this router may send a request to a target.
type Admission int

// Admissions, in the order of precedence.
const (
	// Open targets take requests.
	Open Admission = iota
	// Limited targets have a rate limit of which this router may use no more at present.
	Limited
	// Cold targets are warming up, and this router may use no more of the rate that they tolerate at present.
	Cold
	// Paused targets have asked this router for a pause, or have not responded since to its first request.
	Paused
	// Leaving targets have stated that they leave.
	Leaving
)

// Admission reports whether this router may send a request to the instance now. Each choice of a target depends on it.
func (t *Tracker) Admission(now time.Duration, instance uint64) Admission {
	if t.isLeaving(now, instance) {
		return Leaving
	}
	if t.pauses[instance].rest(now) > 0 {
		return Paused
	}
	if wait, mine := t.limitWait(now, instance); !mine || wait > 0 {
		if t.limits[instance].dividedWarmup {
			return Cold
		}
		return Limited
	}
	return Open
}

// SetRouters sets the addresses of this router and of the others that share the limits.
func (t *Tracker) SetRouters(now time.Duration, self string, others []string) {
	routers := make([]uint64, 0, len(others))
	for _, address := range others {
		routers = append(routers, rendezvous.Hash(address))
	}
	slices.Sort(routers)
	own := rendezvous.Hash(self)
	if own == t.self && slices.Equal(routers, t.routers) {
		return
	}
	t.self, t.routers = own, routers
	for instance, l := range t.limits {
		l.fill(now)
		t.divide(now, instance, l)
	}
}

// StatedLimit records whether a response of the instance states a rate limit. It reports whether a limit has begun, ended
// or changed much.
func (t *Tracker) StatedLimit(now time.Duration, instance uint64, rate float64, limited bool) bool {
	return t.apply(now, now, instance, rate, limited)
}

// Merge records what another router has seen. It reports whether the instance has begun to leave, or its limit has begun,
// ended or changed much.
func (t *Tracker) Merge(now time.Duration, update Update) bool {
	switch {
	case update.Leaving:
		return update.Age >= 0 && update.Age < leavingResendTime && t.leave(now-update.Age, update.Instance)
	case update.Age < 0 || update.Age >= lifetime || update.Limited && !(update.Rate >= 0):
		return false
	}
	return t.apply(now, now-update.Age, update.Instance, update.Rate, update.Limited)
}

func (t *Tracker) apply(now, statedAt time.Duration, instance uint64, rate float64, limited bool) bool {
	l := t.limits[instance]
	switch {
	case l == nil || !l.stated:
		if !limited {
			return false
		}
		if l == nil {
			l = &limit{filledAt: now, tokens: t.rng.Float64()}
			t.limits[instance] = l
		}
	case statedAt <= l.statedAt:
		return false
	}
	rate = max(rate, minRate)
	changed := l.limited != limited || limited && math.Abs(rate-l.reportedRate) > reportedChange*l.reportedRate
	if limited {
		l.rate = rate
	}
	l.stated, l.statedAt, l.limited = true, statedAt, limited
	t.follow(now, instance, l)
	if changed {
		l.sentAt, l.changedAt, l.reportedRate = 0, statedAt, rate
	}
	return changed
}

// follow divides the limit again if the rate in force has changed since it was divided.
func (t *Tracker) follow(now time.Duration, instance uint64, l *limit) {
	rate, warmup := l.rate, false
	if l.warmsUp(now) && !(l.holds(now) && l.rate < l.warmupRate) {
		rate, warmup = l.warmupRate, true
	}
	if rate == l.divided && warmup == l.dividedWarmup {
		return
	}
	l.fill(now)
	l.divided, l.dividedWarmup = rate, warmup
	t.divide(now, instance, l)
}

// divide determines this router's part of a limit. Parts of the rate of a target that warms up do not grow if fewer routers
// are known than may have one: a router that has just started, or is cut off, would take the whole rate otherwise.
func (t *Tracker) divide(now time.Duration, instance uint64, l *limit) {
	parts := max(math.Floor(l.divided/minShareRate), 1)
	if !l.dividedWarmup {
		parts = min(parts, float64(len(t.routers)+1))
	}
	ahead := t.RoutersAhead(instance)
	share := 0.0
	if float64(ahead) < parts {
		share = l.divided / parts
	}
	l.share, l.first = share, ahead == 0
	l.tokens = min(l.tokens, l.burst())
}

// RoutersAhead returns the number of known routers that precede this one in the rendezvous order of the instance.
func (t *Tracker) RoutersAhead(instance uint64) int {
	own := rendezvous.Score(instance, t.self)
	ahead := 0
	for _, router := range t.routers {
		if score := rendezvous.Score(instance, router); score > own || score == own && router < t.self {
			ahead++
		}
	}
	return ahead
}

func (l *limit) burst() float64 { return max(1, l.share*burstTime.Seconds()) }

func (l *limit) fill(now time.Duration) {
	// The conversion keeps processors from rounding the sum once only, which would differ between them.
	l.tokens = min(l.tokens+float64(l.share*(now-l.filledAt).Seconds()), l.burst())
	l.filledAt = now
}

// holds reports whether the instance has stated the limit and not its end.
func (l *limit) holds(now time.Duration) bool { return l.limited && now-l.statedAt < limitRetention }

func (l *limit) inForce(now time.Duration) bool { return l.holds(now) || l.warmsUp(now) }

// isOutdated reports whether what the instance has stated has no effect any more and may be forgotten.
func (l *limit) isOutdated(now time.Duration) bool {
	return !l.stated || now-l.statedAt >= limitRetention || !l.limited && (now-l.statedAt >= lifetime || now-l.changedAt >= lifetime)
}

func (l *limit) isConfirmed(now time.Duration) bool { return l.limited && now-l.statedAt < lifetime }

// inForce returns the limit of a target, or nil if it has none.
func (t *Tracker) inForce(now time.Duration, instance uint64) *limit {
	if l := t.limits[instance]; l != nil && l.inForce(now) {
		t.follow(now, instance, l)
		return l
	}
	return nil
}

// Wait returns the time until this router may send a request to the instance; 0 if it may now. It returns false if the
// instance leaves, or if other routers have its whole rate limit. A warm-up ends by itself, so that there is always a time.
func (t *Tracker) Wait(now time.Duration, instance uint64) (time.Duration, bool) {
	if t.isLeaving(now, instance) {
		return 0, false
	}
	wait, mine := t.limitWait(now, instance)
	return max(wait, t.pauses[instance].rest(now)), mine
}

// limitWait returns the time until the rate limit of the instance leaves room for a request of this router, or until its
// warm-up ends, or false if other routers have the whole limit.
func (t *Tracker) limitWait(now time.Duration, instance uint64) (time.Duration, bool) {
	l := t.inForce(now, instance)
	if l == nil {
		return 0, true
	}
	ends := l.dividedWarmup && !l.holds(now)
	if l.share == 0 {
		if ends {
			return l.warmupUntil - now, true
		}
		return 0, false
	}
	l.fill(now)
	wait := max(time.Duration((1-l.tokens)/l.share*float64(time.Second)), 0)
	if ends {
		wait = min(wait, l.warmupUntil-now)
	}
	return wait, true
}

// Took records a request to the target.
func (t *Tracker) Took(now time.Duration, instance uint64) {
	if l := t.inForce(now, instance); l != nil {
		l.fill(now)
		l.tokens = max(l.tokens-1, -l.burst())
		l.tookAt = now
	}
	if p := t.pauses[instance]; p != nil && now >= p.until {
		p.probedAt = now
	}
}

// ConfirmationDue reports whether this router is the one that ought to send the instance a request now, so that its response
// shows whether the limit still holds.
func (t *Tracker) ConfirmationDue(now time.Duration, instance uint64) bool {
	l := t.inForce(now, instance)
	return l != nil && l.holds(now) && l.first && now-max(l.statedAt, l.tookAt) >= confirmInterval
}

// Limit returns the limit that the target has stated within its lifetime, and this router's part of it.
func (t *Tracker) Limit(now time.Duration, instance uint64) (rate, share float64, limited bool) {
	if l := t.limits[instance]; l != nil && l.isConfirmed(now) {
		return l.rate, l.share, true
	}
	return 0, 0, false
}

// Recovering reports whether the target stated a limit until recently, and how long ago that has ended.
func (t *Tracker) Recovering(now time.Duration, instance uint64) (since time.Duration, recovering bool) {
	l := t.limits[instance]
	if l == nil || !l.stated || l.limited || now-l.changedAt >= recoveryTime {
		return 0, false
	}
	return now - l.changedAt, true
}

// Count returns the number of targets that have stated a limit within its lifetime.
func (t *Tracker) Count(now time.Duration) int {
	count := 0
	for _, l := range t.limits {
		if l.isConfirmed(now) {
			count++
		}
	}
	return count
}

// TakeUpdates returns what other routers are to be told, those first that were told longest ago.
func (t *Tracker) TakeUpdates(now time.Duration, most int) []Update {
	type dueUpdate struct {
		Update
		sentAt *time.Duration
	}
	var due []dueUpdate
	for instance, l := range t.limits {
		switch {
		case !l.warmsUp(now) && l.isOutdated(now):
			delete(t.limits, instance)
		case l.isOutdated(now):
		case now-l.statedAt >= lifetime:
		case l.sentAt == 0 || now-l.sentAt >= resendInterval:
			update := Update{Instance: instance, Rate: l.rate, Limited: l.limited, Age: now - l.statedAt}
			due = append(due, dueUpdate{update, &l.sentAt})
		}
	}
	for instance, p := range t.pauses {
		if now-p.until >= lifetime {
			delete(t.pauses, instance)
		}
	}
	for instance, d := range t.leaving {
		switch {
		case now-d.statedAt >= leavingLifetime:
			delete(t.leaving, instance)
		case now-d.statedAt < leavingResendTime && (d.sentAt == 0 || now-d.sentAt >= resendInterval):
			due = append(due, dueUpdate{Update{Instance: instance, Leaving: true, Age: now - d.statedAt}, &d.sentAt})
		}
	}
	slices.SortFunc(due, func(a, b dueUpdate) int {
		return cmp.Or(cmp.Compare(*a.sentAt, *b.sentAt), cmp.Compare(a.Instance, b.Instance))
	})
	updates := make([]Update, 0, min(len(due), most))
	for _, d := range due[:min(len(due), most)] {
		*d.sentAt = now
		updates = append(updates, d.Update)
	}
	return updates
}
