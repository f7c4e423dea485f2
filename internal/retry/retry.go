// Package retry decides whether the entry may retry a refused request, where, and after what delay.
//
// A retry needs a reason whose policy permits it, a request that did not run (or that is repeatable and of whose
// response no byte reached the caller), time before the deadline, and room in the retry budget. The budget keeps
// retries to a fifth of the requests, so an overload that refuses everything isn't amplified. Gates never retry.
package retry

import (
	"math/rand"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Limits of one request.
const (
	// MaxRetries bounds the retries of one request, so that a single request can't use up the budget.
	MaxRetries = 4
	baseDelay  = 25 * time.Millisecond
	maxDelay   = time.Second
)

// Attempt describes a refused attempt.
type Attempt struct {
	// Number is the number of attempts made so far; 1 after the first.
	Number int
	// Reason is why the attempt was refused.
	Reason reason.Reason
	// Ran reports whether the request may have run.
	Ran reason.Ran
	// Repeatable is set if the request may safely run twice.
	Repeatable bool
	// BytesSent is the number of bytes of the response that were sent to the caller.
	BytesSent int64
	// HasNext is set if the refusal named another target.
	HasNext bool
	// Deadline is the end of the request, as time since process start.
	Deadline time.Duration
}

// Decision says how to retry, or why a retry is denied.
type Decision struct {
	// Delay is the time to wait before the retry.
	Delay time.Duration
	// Scope is where the request may be retried.
	Scope Scope
	// Denied is the reason to return to the caller if the retry isn't allowed: that of the attempt, RetryBudget, or
	// DeadlineExceeded. Ran of the refused attempt still applies.
	Denied reason.Reason
}

// Retrier holds the retry budget of one entry. It is not safe for concurrent use.
type Retrier struct {
	budget budget
	rng    *rand.Rand
}

// New returns a Retrier that draws its delays from rng.
func New(rng *rand.Rand) *Retrier {
	return &Retrier{rng: rng}
}

// Request counts the first attempt of a request; the budget is a fraction of these.
func (r *Retrier) Request(now time.Duration) {
	r.budget.addRequest(now)
}

// Allow decides on a retry and charges it to the budget if it is allowed.
func (r *Retrier) Allow(now time.Duration, attempt Attempt) (Decision, bool) {
	scope := ScopeOf(attempt.Reason)
	if scope == Never || attempt.Number > MaxRetries || !safe(attempt) {
		return denied(attempt.Reason)
	}
	delay := r.delay(attempt)
	if now+delay >= attempt.Deadline {
		return denied(reason.DeadlineExceeded)
	}
	if !r.budget.available(now) {
		return denied(reason.RetryBudget)
	}
	r.budget.addRetry()
	return Decision{Delay: delay, Scope: scope}, true
}

func denied(r reason.Reason) (Decision, bool) {
	return Decision{Scope: Never, Denied: r}, false
}

// safe reports whether running the request again is safe: no byte of the response has reached the caller, and the
// request did not run or may run twice.
func safe(attempt Attempt) bool {
	if attempt.BytesSent > 0 {
		return false
	}
	return attempt.Ran == reason.NotRun || attempt.Repeatable
}

// delay returns an exponential backoff with full jitter where waiting helps, else 0. Full jitter spreads the
// callers that one event refused at the same instant.
func (r *Retrier) delay(attempt Attempt) time.Duration {
	if !needsDelay(attempt.Reason, attempt.HasNext) {
		return 0
	}
	ceiling := baseDelay << min(max(attempt.Number-1, 0), 10)
	return time.Duration(r.rng.Int63n(int64(min(ceiling, maxDelay)) + 1))
}
