package place

import (
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Parameters of refusals.
const (
	// minLimitRetryAfter is the minimum Retry-After of a request that targets with rate limits can't take: a few round
	// trips, after which another router may have a part of a limit left.
	minLimitRetryAfter = 100 * time.Millisecond
	// maxReturnSpread is the time over which requests return whose targets are passed over for long.
	maxReturnSpread = time.Second
	// evacuatedRetryAfter is the minimum Retry-After of a request whose targets are all in evacuated zones: callers retry
	// once, and a zone is not returned to service at once.
	evacuatedRetryAfter = time.Second
)

// refusal returns the refusal of a request for which no target is open. Beside evacuated targets, the reason is that of
// the targets with the shortest time until they may be chosen.
func (p *LoadTracker) refusal(now time.Duration, set candidateSet) *Refusal {
	if set.evacuated > 0 {
		passedOver := set.passedOver()
		wait, _ := p.shortestWait(now, passedOver)
		switch {
		case len(passedOver) > 0 && wait < evacuatedRetryAfter && (set.untimed == 0 || wait < blockBase):
		case set.untimed > 0:
			return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
		default:
			return &Refusal{Reason: reason.Evacuated, RetryAfter: evacuatedRetryAfter + time.Duration(p.rng.Float64()*float64(evacuatedRetryAfter))}
		}
	}
	if len(set.limited)+len(set.cold)+len(set.paused) > 0 {
		return p.passedOverRefusal(now, set)
	}
	return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
}

// passedOverRefusal returns the refusal of a request that only targets could take which are passed over because of what they
// state. The reason is that of the target that may be chosen first. Requests are spread so that they do not all return at the
// same time.
func (p *LoadTracker) passedOverRefusal(now time.Duration, set candidateSet) *Refusal {
	shortest, first := p.shortestWait(now, set.passedOver())
	cause := reason.OverLimit
	if slices.Contains(set.cold, first) {
		cause = reason.Cold
	}
	spread := time.Duration(p.rng.Float64() * float64(min(shortest, maxReturnSpread)))
	return &Refusal{Reason: cause, RetryAfter: shortest + spread}
}

// shortestWait returns the first of the targets that may be chosen, nil if the time is not known of any, and the time until
// then.
func (p *LoadTracker) shortestWait(now time.Duration, passedOver []*targetState) (time.Duration, *targetState) {
	var first *targetState
	shortest := time.Duration(0)
	for _, state := range passedOver {
		if wait, mine := p.statements.Wait(now, state.instance); mine && (first == nil || wait < shortest) {
			shortest, first = wait, state
		}
	}
	return max(shortest, minLimitRetryAfter), first
}

// RejectedRetryAfter returns when a request that targets have rejected is to return, if all targets of the service are
// passed over because of what they state, or because their zones are evacuated.
func (p *LoadTracker) RejectedRetryAfter(now time.Duration, serviceName string) (time.Duration, bool) {
	svc := p.services[serviceName]
	if svc == nil {
		return 0, false
	}
	set := p.candidates(now, svc, Retry, nil)
	if len(set.open) > 0 || len(set.limited)+len(set.cold)+len(set.paused)+set.evacuated == 0 {
		return 0, false
	}
	return p.refusal(now, set).RetryAfter, true
}
