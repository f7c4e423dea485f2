package atmostonce

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// Event is an input of a state machine.
type Event interface{ event() }

// Submit asks the executor to run a ticket, or to answer a retry from its record.
type Submit struct {
	Ticket ticket.Ticket
	// Remaining is the time to the ticket's expiry by wall clock.
	Remaining time.Duration
	Call      Call
}

// IntentAnswered is the witness's answer to a SendIntent.
type IntentAnswered struct {
	ID      ticket.ID
	Verdict Verdict
	// Heir is the zero Gate unless the verdict is IntentNotWitness and the answering gate knows the heir.
	Heir ticket.Gate
}

// WitnessUnreachable reports that a SendIntent got no answer.
type WitnessUnreachable struct{ ID ticket.ID }

// Start asks for permission to write the first byte to a target.
type Start struct{ ID ticket.ID }

// NotStarted reports that an Execute ended before the first byte was written.
type NotStarted struct {
	ID     ticket.ID
	Reason reason.Reason
	// Retry asks for another Execute, at another target.
	Retry bool
}

// Finish reports the end of a run.
type Finish struct {
	ID     ticket.ID
	Result Result
}

// OutcomeStored reports that the witness confirmed a SendOutcome.
type OutcomeStored struct{ ID ticket.ID }

// CallerGone reports that the caller of a pending Submit closed its connection. The run continues.
type CallerGone struct {
	ID   ticket.ID
	Call Call
}

// Intent asks the witness to record that an executor is about to run a ticket.
type Intent struct {
	Ticket    ticket.Ticket
	Remaining time.Duration
	Executor  ticket.Gate
	Call      Call
}

// Settle asks the witness for the final status of a ticket whose executor can't be reached.
type Settle struct {
	Ticket    ticket.Ticket
	Remaining time.Duration
	Call      Call
}

// Outcome reports the result of a ticket to the witness.
type Outcome struct {
	Ticket    ticket.Ticket
	Remaining time.Duration
	Result    Result
	Call      Call
}

// Drain begins the graceful shutdown of a role. Later ones are ignored.
type Drain struct{ Heir ticket.Gate }

// HandOver makes a draining executor transfer its records without waiting for its active tickets.
type HandOver struct{}

// Inherit carries the records of a draining incarnation to its heir.
type Inherit struct {
	From ticket.Gate
	// To is the heir that the sender chose, with its incarnation.
	To      ticket.Gate
	Records []Record
	Call    Call
}

// Inherited is the heir's answer to a SendRecords.
type Inherited struct {
	From     ticket.Gate
	Accepted bool
}

// Tick triggers time-based work: evictions and resends.
type Tick struct{}

func (Submit) event()             {}
func (IntentAnswered) event()     {}
func (WitnessUnreachable) event() {}
func (Start) event()              {}
func (NotStarted) event()         {}
func (Finish) event()             {}
func (OutcomeStored) event()      {}
func (CallerGone) event()         {}
func (Intent) event()             {}
func (Settle) event()             {}
func (Outcome) event()            {}
func (Drain) event()              {}
func (HandOver) event()           {}
func (Inherit) event()            {}
func (Inherited) event()          {}
func (Tick) event()               {}
