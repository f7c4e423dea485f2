// Package reason defines the reasons for which a request is refused or retried.
//
// A Reason is the label of the refusal and retry counters and the error code that the caller gets. Every refusal also
// states whether the request may have run: Ran is No only if it certainly did not.
package reason

import "net/http"

// Reason is the error code of a refusal.
type Reason string

// Reasons of refusals and retries.
const (
	// BadRequest means that the request can't be parsed or lacks a field.
	BadRequest Reason = "bad_request"
	// BodyTooLarge means that the request body exceeds the configured limit.
	BodyTooLarge Reason = "body_too_large"
	// BodyTimeout means that the request body was not complete at the request's deadline.
	BodyTimeout Reason = "body_timeout"
	// BodyMemory means that the request body was given up because all bodies together exceed the memory for them.
	BodyMemory Reason = "body_memory"
	// UnknownCustomer means that the API key is missing or unknown.
	UnknownCustomer Reason = "unknown_customer"
	// ForeignCustomer means that the ticket, token or stream belongs to another customer.
	ForeignCustomer Reason = "foreign_customer"
	// UnknownPool means that the catalogue does not contain the model or service.
	UnknownPool Reason = "unknown_pool"
	// NotReady means that the daemon has no configuration or no view yet.
	NotReady Reason = "not_ready"
	// Draining means that the daemon is stopping and accepts no new requests.
	Draining Reason = "draining"
	// NotOwner means that the gate does not own the target.
	NotOwner Reason = "not_owner"
	// LeaseLost means that the owner's lease has lapsed because it has not confirmed its view recently enough.
	LeaseLost Reason = "lease_lost"
	// OverLimit means that the target is at its load limit.
	OverLimit Reason = "over_limit"
	// Probation means that the gate is a new owner and admits only a reduced load.
	Probation Reason = "probation"
	// TargetLeaving means that the platform is removing the target.
	TargetLeaving Reason = "target_leaving"
	// Cold means that the targets that could take the request are warming up and may get no more requests at present.
	Cold Reason = "cold"
	// ModelNotLoaded means that the engine reports a model or version other than that of the catalogue.
	ModelNotLoaded Reason = "model_not_loaded"
	// TargetUnreachable means that the connection to the target failed before the first byte was written.
	TargetUnreachable Reason = "target_unreachable"
	// TargetFailed means that the target failed after the request was sent to it.
	TargetFailed Reason = "target_failed"
	// TargetRefused means that the target answered with an error status of its own.
	TargetRefused Reason = "target_refused"
	// GateUnreachable means that the connection to the gate failed before the request was sent.
	GateUnreachable Reason = "gate_unreachable"
	// GateFailed means that the gate failed after the request was sent to it.
	GateFailed Reason = "gate_failed"
	// NoTarget means that the pool has no live target.
	NoTarget Reason = "no_target"
	// Evacuated means that the operator evacuates the zones of all targets.
	Evacuated Reason = "evacuated"
	// NoGate means that the fleet has no live gate.
	NoGate Reason = "no_gate"
	// QueueFull means that a bounded queue is full.
	QueueFull Reason = "queue_full"
	// QueueTimeout means that the request waited in a queue for the longest permitted time.
	QueueTimeout Reason = "queue_timeout"
	// DeadlineExceeded means that the request can't meet its deadline or has missed it.
	DeadlineExceeded Reason = "deadline_exceeded"
	// CustomerRate means that the customer exceeds its request rate.
	CustomerRate Reason = "customer_rate"
	// CustomerConcurrency means that the customer exceeds its number of concurrent requests.
	CustomerConcurrency Reason = "customer_concurrency"
	// RetryBudget means that the retry budget does not allow another attempt.
	RetryBudget Reason = "retry_budget"
	// TicketRequired means that a non-repeatable request has no ticket.
	TicketRequired Reason = "ticket_required"
	// TicketInvalid means that the ticket is forged or altered, or was issued for another request.
	TicketInvalid Reason = "ticket_invalid"
	// TicketExpired means that the ticket has expired and its request did not run.
	TicketExpired Reason = "ticket_expired"
	// TicketSealed means that the ticket is sealed, so its request will never run.
	TicketSealed Reason = "ticket_sealed"
	// WitnessUnreachable means that the ticket's witness can't record the intent.
	WitnessUnreachable Reason = "witness_unreachable"
	// UnknownOutcome means that it can't be determined whether a non-repeatable request ran.
	UnknownOutcome Reason = "unknown_outcome"
	// CrashSuspect means that the request has crashed two targets.
	CrashSuspect Reason = "crash_suspect"
	// BrokenAnswer means that the answer failed the check of its count or checksum.
	BrokenAnswer Reason = "broken_answer"
	// StreamGone means that the stream can't be resumed.
	StreamGone Reason = "stream_gone"
	// CallerGone means that the caller closed its connection.
	CallerGone Reason = "caller_gone"
	// Internal is an internal error of the daemon.
	Internal Reason = "internal"
)

// Ran states whether a refused request may have run.
type Ran string

// Values of Ran.
const (
	// NotRun means that the request certainly did not run and will not.
	NotRun Ran = "no"
	// MayHaveRun means that the request may have run.
	MayHaveRun Ran = "unknown"
)

// All returns every reason, for counters and documentation.
func All() []Reason {
	return []Reason{
		BadRequest, BodyTooLarge, BodyTimeout, BodyMemory, UnknownCustomer, ForeignCustomer, UnknownPool, NotReady, Draining,
		NotOwner, LeaseLost, OverLimit, Probation, TargetLeaving, Cold, ModelNotLoaded, TargetUnreachable, TargetFailed,
		TargetRefused, GateUnreachable, GateFailed, NoTarget, Evacuated, NoGate, QueueFull, QueueTimeout,
		DeadlineExceeded, CustomerRate, CustomerConcurrency, RetryBudget, TicketRequired,
		TicketInvalid, TicketExpired, TicketSealed, WitnessUnreachable, UnknownOutcome, CrashSuspect,
		BrokenAnswer, StreamGone, CallerGone, Internal,
	}
}

// statuses maps reasons to HTTP statuses; reasons that it does not contain have status 503.
var statuses = map[Reason]int{
	BadRequest:          http.StatusBadRequest,
	BodyTooLarge:        http.StatusRequestEntityTooLarge,
	BodyTimeout:         http.StatusRequestTimeout,
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

// Status returns the HTTP status of responses with the reason.
func (r Reason) Status() int {
	if status, ok := statuses[r]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
