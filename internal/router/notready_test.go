package router

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against callers who spend their only retry while the store is still down. The load is a fleet that restarts
// during an outage of the store of 0 to 5 s more; its callers wait up to 12 s and honour a Retry-After up to a third of
// the time they have left.
func TestCallersReturnAfterTheOutage(t *testing.T) {
	const callers, patience, wanted = 2000, 12 * time.Second, 0.8
	const readyAfterOutage = 150 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 6))
	served, late := 0, time.Duration(0)
	for range callers {
		outage := time.Duration(rng.Float64() * float64(5*time.Second))
		ready := outage + readyAfterOutage
		arrival := time.Duration(rng.Float64() * float64(ready))
		failed := arrival > 50*time.Millisecond
		retry := arrival + min(notReadyRetryAfter(arrival, failed, rng.Float64()), (patience-arrival)/3)
		if retry >= ready {
			served++
			late += retry - ready
		}
	}
	if share := float64(served) / callers; share < wanted {
		t.Errorf("%.3f of the callers are served at their retry, want %.2f", share, wanted)
	}
	if mean := late / time.Duration(max(served, 1)); mean > 2*time.Second {
		t.Errorf("callers return %v after the fleet is ready on average", mean)
	}
}

// Guards against callers who wait for seconds although the router is ready within a tenth of a second.
func TestCallersOfAStartingRouterReturnSoon(t *testing.T) {
	for _, waited := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
		if got := notReadyRetryAfter(waited, false, 0.9); got != minNotReadyRetry {
			t.Errorf("after %v: %v, want %v", waited, got, minNotReadyRetry)
		}
	}
}
