package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// ID identifies a request at one Controller. IDs are not reused, so that a late Release can't end another request.
type ID uint64

// Request holds the inputs of an admission decision.
type Request struct {
	Target   string
	Customer string
	Class    catalogue.Class
	// Deadline is the time by which the request has to be completed; 0 means that it has no deadline.
	Deadline time.Duration
	// Candidates are other targets of the pool that the caller can use instead, in order of preference. A request
	// without candidates waits when its target is full.
	Candidates []string
	// MaxTargetWait is the longest wait for the target while a candidate has room. Such a wait can be worthwhile because
	// the request's prefix is cached at the target. After it the request is refused with reason.OverLimit; see
	// Controller.RefuseWithCandidates.
	MaxTargetWait time.Duration
}

// Verdict says whether a request is refused, starts or waits.
type Verdict uint8

// Verdicts.
const (
	// Refuse means that the request does not run at this gate.
	Refuse Verdict = iota
	// Start means that the request counts as in flight until Release.
	Start
	// Wait means that an Outcome follows, unless the request is released before.
	Wait
)

// MaxNext bounds the targets that a refusal names.
const MaxNext = 3

// Decision is the answer to Submit.
type Decision struct {
	Verdict Verdict
	// ID is set unless the request is refused.
	ID ID
	// Reason and RetryAfter are set when the request is refused.
	Reason     reason.Reason
	RetryAfter time.Duration

	next      [MaxNext]string
	nextCount int
}

// Next returns the targets to try next, ordered by load, lowest first.
func (d *Decision) Next() []string { return d.next[:d.nextCount] }

// Outcome ends the wait of a request.
type Outcome struct {
	ID ID
	// Started is set if the request now counts as in flight; otherwise it is refused.
	Started    bool
	Reason     reason.Reason
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Unlimited is the value of Cap.Max that sets no bound.
const Unlimited = -1

// Cap restricts admission to a target beyond its load limit, as ownership of the target requires.
type Cap struct {
	// Max bounds the requests in flight at the target; 0 stops admission and Unlimited leaves it to the load limit.
	Max int
	// Reduce, if set, computes the bound of this gate's requests in flight from the present load limit, so that the bound
	// follows the limit. It is used for a contested owner or one on probation.
	Reduce func(limit int) int
	// Reason is the reason of refusals due to the cap; the default is reason.NotOwner if Max is 0, else reason.Probation.
	Reason reason.Reason
}

// Uncapped returns the Cap of an undisputed owner: admission is bounded by the load limit alone.
func Uncapped() Cap { return Cap{Max: Unlimited} }

// NoAdmission returns a Cap that stops admission, with the reason of the refusals.
func NoAdmission(r reason.Reason) Cap { return Cap{Reason: r} }

func (c Cap) reason() reason.Reason {
	switch {
	case c.Reason != "":
		return c.Reason
	case c.Max == 0:
		return reason.NotOwner
	}
	return reason.Probation
}

// Pool holds the settings of a pool.
type Pool struct {
	Name         string
	LoadMultiple float64
	MaxInFlight  int
	QueueLength  int
	QueueWait    time.Duration
	// Targets is the number of live and leaving targets of the pool according to the catalogue and the view.
	Targets int
}

// PoolDigest is a load digest: the load of those of a pool's targets in one zone that one gate owns.
type PoolDigest struct {
	Pool string
	Zone string
	Gate string
	// Load counts the requests in flight that the gate admitted.
	Load    int
	Targets int
	// Age is the time since the gate measured the load, including the time in transit.
	Age time.Duration
}

// Customer holds the settings of a customer.
type Customer struct {
	Name   string
	Weight float64
	// RequestsPerSecond and Concurrent are fleet-wide limits; 0 means unlimited.
	RequestsPerSecond float64
	Concurrent        int
}

const (
	// StaleAfter is the age from which a digest counts as zero load.
	StaleAfter = 3 * time.Second

	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

// retryAfter clamps an estimated wait to the permitted range. An estimate of 0 is unknown and gives the default.
func retryAfter(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return defaultRetryAfter
	}
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
