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
)

// refusal returns the refusal of a request for which no target is open.
func (p *LoadTracker) refusal(now time.Duration, set candidateSet) *Refusal {
	if len(set.limited)+len(set.cold)+len(set.paused) > 0 {
		return p.passedOverRefusal(now, set)
	}
	return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
}

// passedOverRefusal returns the refusal of a request that only targets could take which are passed over because of what they
// state. The reason is that of the target that may be chosen first. Requests are spread so that they do not all return at the
// same time.
func (p *LoadTracker) passedOverRefusal(now time.Duration, set candidateSet) *Refusal {
	shortest, found, cause := time.Duration(0), false, reason.OverLimit
	for _, state := range set.passedOver() {
		if wait, mine := p.statements.Wait(now, state.instance); mine && (!found || wait < shortest) {
			shortest, found, cause = wait, true, reason.OverLimit
			if slices.Contains(set.cold, state) {
				cause = reason.Cold
			}
		}
	}
	shortest = max(shortest, minLimitRetryAfter)
	spread := time.Duration(p.rng.Float64() * float64(min(shortest, maxReturnSpread)))
	return &Refusal{Reason: cause, RetryAfter: shortest + spread}
}

// RejectedRetryAfter returns when a request that targets have rejected is to return, if all targets of the service are
// passed over because of what they state.
func (p *LoadTracker) RejectedRetryAfter(now time.Duration, serviceName string) (time.Duration, bool) {
	svc := p.services[serviceName]
	if svc == nil {
		return 0, false
	}
	set := p.candidates(now, svc, Retry, nil)
	if len(set.open) > 0 || len(set.limited)+len(set.cold)+len(set.paused) == 0 {
		return 0, false
	}
	return p.passedOverRefusal(now, set).RetryAfter, true
}
