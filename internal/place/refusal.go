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
	passedOver := set.passedOver()
	if set.evacuated > 0 {
		wait, _ := p.shortestWait(now, set)
		switch {
		case len(passedOver) > 0 && wait < evacuatedRetryAfter && (set.untimed == 0 || wait < blockBase):
		case set.untimed > 0:
			return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
		default:
			return &Refusal{Reason: reason.Evacuated, RetryAfter: evacuatedRetryAfter + time.Duration(p.rng.Float64()*float64(evacuatedRetryAfter))}
		}
	}
	if len(passedOver) > 0 {
		shortest, cause := p.shortestWait(now, set)
		// Requests are spread so that they do not all return at the same time.
		spread := time.Duration(p.rng.Float64() * float64(min(shortest, maxReturnSpread)))
		return &Refusal{Reason: cause, RetryAfter: shortest + spread}
	}
	return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
}

// shortestWait returns the time until the first of the targets may be chosen that are passed over because of what they
// state, and the reason for which it may not yet.
func (p *LoadTracker) shortestWait(now time.Duration, set candidateSet) (time.Duration, reason.Reason) {
	shortest, found, cause := time.Duration(0), false, reason.OverLimit
	for _, state := range set.passedOver() {
		if wait, mine := p.statements.Wait(now, state.instance); mine && (!found || wait < shortest) {
			shortest, found, cause = wait, true, reason.OverLimit
			if slices.Contains(set.cold, state) {
				cause = reason.Cold
			}
		}
	}
	return max(shortest, minLimitRetryAfter), cause
}

// RejectedRetryAfter returns when a request that targets have rejected is to return, if all targets of the service are
// passed over because of what they state, or because their zones are evacuated.
func (p *LoadTracker) RejectedRetryAfter(now time.Duration, serviceName string) (time.Duration, bool) {
	svc := p.services[serviceName]
	if svc == nil {
		return 0, false
	}
	set := p.candidates(now, svc, Retry, nil)
	if len(set.open) > 0 || len(set.passedOver())+set.evacuated == 0 {
		return 0, false
	}
	return p.refusal(now, set).RetryAfter, true
}
