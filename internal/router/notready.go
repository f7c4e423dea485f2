package router

import (
	"math/rand/v2"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// Limits of the Retry-After of a router without a configuration.
const (
	// minNotReadyRetry applies while the store is expected to respond: a router becomes ready about 100 ms after its
	// start.
	minNotReadyRetry = 200 * time.Millisecond
	// minOutageRetry and maxOutageRetry apply once the store has failed. Many callers retry only once, and an early
	// retry is lost.
	minOutageRetry = 2 * time.Second
	maxOutageRetry = 4 * time.Second
	// outageFactor is the expected duration of an outage of the store, as a multiple of the time that it has lasted.
	outageFactor = 3
	// retryJitter is the fraction by which a Retry-After varies, so that callers do not return all at once.
	retryJitter = 0.2
)

// notReadyRetryAfter returns when a caller should return to a router that has waited for its configuration for the
// given time. The load that this answers is all callers of a fleet that has restarted while the store is down. The
// argument random is uniform in [0, 1).
func notReadyRetryAfter(waited time.Duration, storeFailed bool, random float64) time.Duration {
	if !storeFailed && waited < hedgeDelay {
		return minNotReadyRetry
	}
	expected := min(max(outageFactor*waited, minOutageRetry), maxOutageRetry)
	return expected + time.Duration(retryJitter*(2*random-1)*float64(expected))
}

func (r *Router) notReadyRetryAfter() time.Duration {
	r.controlMu.Lock()
	failed := r.storeAccess() == pb.StoreAccess_STORE_ACCESS_FAILING
	r.controlMu.Unlock()
	return notReadyRetryAfter(r.now(), failed, rand.Float64())
}
