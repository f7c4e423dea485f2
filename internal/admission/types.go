package admission

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// ID identifies a request at one Controller. IDs are not used twice, so a late Release can't end another request.
type ID uint64

// Request holds the inputs of an admission decision.
type Request struct {
	Target   string
	Customer string
	Class    catalogue.Class
	// Deadline is the end of the whole request; 0 means that it has none.
	Deadline time.Duration
	// Candidates are other targets of the pool that the caller can use instead, in order of preference. A request
	// without candidates waits when its target is full.
	Candidates []string
	// Patience is the longest wait for the target while a candidate has room, used because the request's prefix is
	// cached there. After that the request is refused as over the limit; see Controller.Elsewhere.
	Patience time.Duration
}

// Verdict is the kind of a decision.
type Verdict uint8

// Verdicts.
const (
	// Refuse means that the request won't run here.
	Refuse Verdict = iota
	// Start means that the request counts as in flight until Release.
	Start
	// Wait means that an Outcome follows, unless Cancel comes first.
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

// Next returns the targets to try next, the least loaded first.
func (d *Decision) Next() []string { return d.next[:d.nextCount] }

// Outcome ends the wait of a request.
type Outcome struct {
	ID ID
	// Started says that the request now counts as in flight; otherwise it is refused.
	Started    bool
	Reason     reason.Reason
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Unlimited is the Max of a Cap that does not reduce admission.
const Unlimited = -1

// Cap is the permission that ownership gives for a target, on top of its load limit.
type Cap struct {
	// Max bounds the requests in flight at the target; 0 stops admission and Unlimited leaves it to the load limit.
	Max int
	// Reduce, if set, turns the present load limit into the bound of this gate's requests in flight, as for a
	// contested owner or one on probation. The bound so follows the limit.
	Reduce func(limit int) int
	// Reason is given when the cap refuses; the default is reason.NotOwner when Max is 0, else reason.Probation.
	Reason reason.Reason
}

// Full is the Cap of an undisputed owner.
func Full() Cap { return Cap{Max: Unlimited} }

// None is the Cap of a target that gets no new work.
func None(r reason.Reason) Cap { return Cap{Reason: r} }

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
	// Targets is the number of live and leaving targets of the pool according to catalogue and view.
	Targets int
}

// PoolDigest is the load of a pool's targets in one zone as one other gate owns them.
type PoolDigest struct {
	Pool string
	Zone string
	Gate string
	// Load counts the requests in flight that the gate admitted.
	Load    int
	Targets int
	// Age is the time since the gate took the figures, transit included.
	Age time.Duration
}

// Customer holds the settings of a customer.
type Customer struct {
	Name   string
	Weight float64
	// RequestsPerSecond and Concurrent are limits of the whole fleet; 0 is unlimited.
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

// retryAfter bounds an estimate; one of 0 means that nothing is known yet.
func retryAfter(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		return defaultRetryAfter
	}
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
