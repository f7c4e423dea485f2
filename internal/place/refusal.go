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
	if len(set.limited)+len(set.paused) > 0 {
		return &Refusal{Reason: reason.OverLimit, RetryAfter: p.passedOverRetryAfter(now, slices.Concat(set.limited, set.paused))}
	}
	return &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
}

// passedOverRetryAfter returns when a request is to return that only targets could take which are passed over because of
// what they state. Requests are spread so that they do not all return at the same time.
func (p *LoadTracker) passedOverRetryAfter(now time.Duration, passedOver []*targetState) time.Duration {
	shortest, found := time.Duration(0), false
	for _, state := range passedOver {
		if wait, mine := p.statements.Wait(now, state.instance); mine && (!found || wait < shortest) {
			shortest, found = wait, true
		}
	}
	shortest = max(shortest, minLimitRetryAfter)
	return shortest + time.Duration(p.rng.Float64()*float64(min(shortest, maxReturnSpread)))
}

// RejectedRetryAfter returns when a request that targets have rejected is to return, if all targets of the service are
// passed over because of what they state.
func (p *LoadTracker) RejectedRetryAfter(now time.Duration, serviceName string) (time.Duration, bool) {
	svc := p.services[serviceName]
	if svc == nil {
		return 0, false
	}
	set := p.candidates(now, svc, Retry, nil)
	if len(set.open) > 0 || len(set.limited)+len(set.paused) == 0 {
		return 0, false
	}
	return p.passedOverRetryAfter(now, slices.Concat(set.limited, set.paused)), true
}
