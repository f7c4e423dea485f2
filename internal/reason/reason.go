// Package reason holds the one list of reasons for which the fleet refuses or retries a request.
//
// A Reason is the label of the refusal and retry counters and the error code that the caller sees.
// Every refusal also states whether the request may have run: Ran is No only where it certainly did not.
package reason

import "net/http"

// Reason is a typed error code.
type Reason string

// Reasons of refusals and retries.
const (
	// BadRequest is a request that can't be parsed or lacks a field.
	BadRequest Reason = "bad_request"
	// BodyTooLarge is a request body over the limit of the settings.
	BodyTooLarge Reason = "body_too_large"
	// UnknownCustomer is a missing or unknown API key.
	UnknownCustomer Reason = "unknown_customer"
	// ForeignCustomer is a ticket, token or stream of another customer.
	ForeignCustomer Reason = "foreign_customer"
	// UnknownPool is a model or service that the catalogue does not name.
	UnknownPool Reason = "unknown_pool"
	// NotReady is a daemon that has no configuration or no view yet.
	NotReady Reason = "not_ready"
	// Draining is a daemon that takes no new work because it is stopping.
	Draining Reason = "draining"
	// NotOwner is a gate that does not own the target.
	NotOwner Reason = "not_owner"
	// LeaseLost is an owner that has not confirmed its view recently enough.
	LeaseLost Reason = "lease_lost"
	// OverLimit is a target at its load limit.
	OverLimit Reason = "over_limit"
	// Probation is a new owner that admits reduced work.
	Probation Reason = "probation"
	// TargetLeaving is a target that the platform is taking away.
	TargetLeaving Reason = "target_leaving"
	// ModelNotLoaded is an engine that reports another model or version than that of the catalogue.
	ModelNotLoaded Reason = "model_not_loaded"
	// TargetUnreachable is a connection to a target that failed before the first byte was written.
	TargetUnreachable Reason = "target_unreachable"
	// TargetFailed is a target that failed after it was sent the request.
	TargetFailed Reason = "target_failed"
	// TargetRefused is a target that answered with an error status of its own.
	TargetRefused Reason = "target_refused"
	// GateUnreachable is a connection to a gate that failed before the request was sent.
	GateUnreachable Reason = "gate_unreachable"
	// GateFailed is a gate that failed after it was sent the request.
	GateFailed Reason = "gate_failed"
	// NoTarget is a pool without a live target.
	NoTarget Reason = "no_target"
	// NoGate is a fleet without a live gate.
	NoGate Reason = "no_gate"
	// QueueFull is a bounded queue without room.
	QueueFull Reason = "queue_full"
	// QueueTimeout is a request that waited in a queue for the longest permitted time.
	QueueTimeout Reason = "queue_timeout"
	// DeadlineExceeded is a request that can't meet, or has missed, its deadline.
	DeadlineExceeded Reason = "deadline_exceeded"
	// CustomerRate is a customer over its request rate.
	CustomerRate Reason = "customer_rate"
	// CustomerConcurrency is a customer over its number of concurrent requests.
	CustomerConcurrency Reason = "customer_concurrency"
	// RetryBudget is a retry that the budget does not allow.
	RetryBudget Reason = "retry_budget"
	// TicketRequired is a non-repeatable request without a ticket.
	TicketRequired Reason = "ticket_required"
	// TicketInvalid is a forged or altered ticket, or one for another request.
	TicketInvalid Reason = "ticket_invalid"
	// TicketExpired is a ticket past its expiry whose request did not run.
	TicketExpired Reason = "ticket_expired"
	// TicketSealed is a ticket that will never run.
	TicketSealed Reason = "ticket_sealed"
	// WitnessUnreachable is a ticket whose witness can't record the intent.
	WitnessUnreachable Reason = "witness_unreachable"
	// UnknownOutcome is a non-repeatable request whose fate can't be learned.
	UnknownOutcome Reason = "unknown_outcome"
	// CrashSuspect is a request that has crashed two targets.
	CrashSuspect Reason = "crash_suspect"
	// BrokenAnswer is an answer that failed the check of count or checksum.
	BrokenAnswer Reason = "broken_answer"
	// StreamGone is a stream that can't be resumed.
	StreamGone Reason = "stream_gone"
	// CallerGone is a caller that closed its connection.
	CallerGone Reason = "caller_gone"
	// Internal is a fault of the daemon itself.
	Internal Reason = "internal"
)

// Ran says whether a refused request may have run.
type Ran string

// Values of Ran.
const (
	// No means that the request certainly did not run and will not.
	No Ran = "no"
	// Unknown means that the request may have run.
	Unknown Ran = "unknown"
)

// All lists every reason, for counters and documentation.
func All() []Reason {
	return []Reason{
		BadRequest, BodyTooLarge, UnknownCustomer, ForeignCustomer, UnknownPool, NotReady, Draining,
		NotOwner, LeaseLost, OverLimit, Probation, TargetLeaving, ModelNotLoaded, TargetUnreachable, TargetFailed,
		TargetRefused, GateUnreachable, GateFailed, NoTarget, NoGate, QueueFull, QueueTimeout,
		DeadlineExceeded, CustomerRate, CustomerConcurrency, RetryBudget, TicketRequired,
		TicketInvalid, TicketExpired, TicketSealed, WitnessUnreachable, UnknownOutcome, CrashSuspect,
		BrokenAnswer, StreamGone, CallerGone, Internal,
	}
}

// statuses gives the HTTP status of each reason; the rest is 503.
var statuses = map[Reason]int{
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	UnknownCustomer:     http.StatusUnauthorized,
	ForeignCustomer:     http.StatusForbidden,
	UnknownPool:         http.StatusNotFound,
	TargetFailed:        http.StatusBadGateway,
	TargetRefused:       http.StatusBadGateway,
	GateFailed:          http.StatusBadGateway,
	BrokenAnswer:        http.StatusBadGateway,
	DeadlineExceeded:    http.StatusGatewayTimeout,
	UnknownOutcome:      http.StatusGatewayTimeout,
	CustomerRate:        http.StatusTooManyRequests,
	CustomerConcurrency: http.StatusTooManyRequests,
	TicketRequired:      http.StatusPreconditionRequired,
	TicketInvalid:       http.StatusForbidden,
	TicketExpired:       http.StatusGone,
	TicketSealed:        http.StatusGone,
	CrashSuspect:        http.StatusUnprocessableEntity,
	StreamGone:          http.StatusGone,
	Internal:            http.StatusInternalServerError,
}

// Status returns the HTTP status that callers see for the reason.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
