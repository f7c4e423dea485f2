package entry

import (
	"math/rand"
	"sync"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/retry"
)

// retries makes the retry budget, which all requests of the entry share, safe for concurrent use.
type retries struct {
	clock   control.Clock
	mu      sync.Mutex
	retrier *retry.Retrier
}

func newRetries(clock control.Clock) *retries {
	source := rand.New(rand.NewSource(rand.Int63()))
	return &retries{clock: clock, retrier: retry.New(source)}
}

// request records a caller's request, which adds to the budget.
func (r *retries) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retrier.Request(r.clock.Now())
}

// allow decides whether to retry and, if so, charges the retry to the budget.
func (r *retries) allow(try retry.Try) (retry.Permit, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retrier.Allow(r.clock.Now(), try)
}
