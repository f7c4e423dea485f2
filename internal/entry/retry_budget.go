package entry

import (
	"math/rand"
	"sync"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/retry"
)

// retryBudget makes the retry budget, which all requests of the entry share, safe for concurrent use.
type retryBudget struct {
	clock   control.Clock
	mu      sync.Mutex
	retrier *retry.Retrier
}

func newRetryBudget(clock control.Clock) *retryBudget {
	source := rand.New(rand.NewSource(rand.Int63()))
	return &retryBudget{clock: clock, retrier: retry.New(source)}
}

// addRequest records a caller's request, which adds to the budget.
func (r *retryBudget) addRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retrier.Request(r.clock.Now())
}

// allow decides whether to retry and, if so, charges the retry to the budget.
func (r *retryBudget) allow(try retry.Attempt) (retry.Decision, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.retrier.Allow(r.clock.Now(), try)
}
