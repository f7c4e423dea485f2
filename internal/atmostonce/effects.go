package atmostonce

import "github.com/amaranthlb/amaranthlb/internal/ticket"

// Effect is an output of a state machine, to be performed by the daemon.
type Effect interface{ effect() }

// Reply answers a Submit.
type Reply struct {
	Call   Call
	ID     ticket.ID
	Result Result
}

// SendIntent asks the daemon to have the witness record the executor's intent.
type SendIntent struct {
	To       ticket.Gate
	Ticket   ticket.Ticket
	Executor ticket.Gate
}

// Execute asks the daemon to prepare a run of the request that arrived with Call.
type Execute struct {
	ID   ticket.ID
	Call Call
	// Attempt counts from 1.
	Attempt int
}

// Write permits writing the first byte, while the daemon still holds the mutex under which it passed Start to Step.
type Write struct{ ID ticket.ID }

// Abort forbids the run for which Start asked permission.
type Abort struct{ ID ticket.ID }

// SendOutcome reports the result of a ticket to the witness.
type SendOutcome struct {
	To     ticket.Gate
	Ticket ticket.Ticket
	Result Result
}

// IntentReply answers an Intent.
type IntentReply struct {
	Call    Call
	ID      ticket.ID
	Verdict Verdict
	Heir    ticket.Gate
}

// SettleReply answers a Settle. Result is what the caller gets for every verdict but SettleNotWitness with an Heir.
type SettleReply struct {
	Call    Call
	ID      ticket.ID
	Verdict SettleVerdict
	Result  Result
	Heir    ticket.Gate
}

// OutcomeReply answers an Outcome.
type OutcomeReply struct {
	Call   Call
	ID     ticket.ID
	Stored bool
}

// SendRecords transfers the records of one incarnation to the heir.
type SendRecords struct {
	Role    Role
	From    ticket.Gate
	To      ticket.Gate
	Records []Record
}

// GossipNote asks the daemon to add the note to its DrainNotes and to gossip it.
type GossipNote struct{ DrainNote DrainNote }

// InheritReply answers an Inherit.
type InheritReply struct {
	Call     Call
	From     ticket.Gate
	Accepted bool
}

// Drained reports that the heir has accepted all records of the role.
type Drained struct{ Role Role }

func (Reply) effect()        {}
func (SendIntent) effect()   {}
func (Execute) effect()      {}
func (Write) effect()        {}
func (Abort) effect()        {}
func (SendOutcome) effect()  {}
func (IntentReply) effect()  {}
func (SettleReply) effect()  {}
func (OutcomeReply) effect() {}
func (SendRecords) effect()  {}
func (GossipNote) effect()   {}
func (InheritReply) effect() {}
func (Drained) effect()      {}
