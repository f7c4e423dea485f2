package atmostonce

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// Call identifies a pending call at the daemon. The state machines return it unchanged and never interpret it.
type Call uint64

// Answer is a complete answer of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Result is the final result of a request: an answer, or a refusal with Reason and Ran.
type Result struct {
	// Answer is nil for a refusal. Its content must not be modified.
	Answer *Answer
	Reason reason.Reason
	Ran    reason.Ran
	// Elsewhere is set if another gate may know more: Heir if that is set, else the witness.
	Elsewhere bool
	Heir      ticket.Gate
}

func (r Result) size() int64 {
	if r.Answer == nil {
		return 0
	}
	return int64(len(r.Answer.Body))
}

func notRun(why reason.Reason) Result {
	return Result{Reason: why, Ran: reason.NotRun}
}

func unknownOutcome() Result {
	return Result{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun, Elsewhere: true}
}

// Verdict is the witness's answer to an Intent.
type Verdict uint8

// Verdicts on an Intent. All except IntentRecorded forbid the run.
const (
	IntentRecorded Verdict = iota
	IntentSealed
	IntentExpired
	IntentNotWitness
	IntentOtherExecutor
)

// SettleVerdict is the witness's answer to a Settle.
type SettleVerdict uint8

// Verdicts on a Settle.
const (
	// SettleSealed means that the ticket did not run and never will.
	SettleSealed SettleVerdict = iota
	// SettleOutcome means that the executor reported the result in the reply.
	SettleOutcome
	// SettleUnknown means that an intent is recorded without an outcome, or that the record was evicted.
	SettleUnknown
	// SettleNotWitness means that this process does not act as the ticket's witness.
	SettleNotWitness
)

// Role is the role of a gate for a ticket.
type Role string

// Roles of a gate.
const (
	ExecutorRole Role = "executor"
	WitnessRole  Role = "witness"
)

// Record is a ticket record as it is transferred to an heir.
type Record struct {
	Ticket ticket.Ticket
	State  string
	// Executor is the incarnation whose intent a witness recorded.
	Executor uint64
	Result   Result
	// Remaining is the time to the expiry of the record, negative in the grace period.
	Remaining time.Duration
}

// Timing holds the periods of the protocol.
type Timing struct {
	// Expiry is the time after a ticket is first received within which its run may start.
	Expiry time.Duration
	// GracePeriod is the time after expiry during which the result of a ticket is still available.
	GracePeriod time.Duration
	// ClockSkew bounds the difference between the wall clocks of a gate and its heir.
	ClockSkew time.Duration
	// ResendInterval is the time between copies of an unconfirmed outcome or hand-over.
	ResendInterval time.Duration
}

// Limits bounds the memory of one state machine.
type Limits struct {
	// Records is the maximum number of unsealed records.
	Records int
	// SealedRecords is the number of sealed records stored in addition.
	SealedRecords int
	// AnswerBytes bounds the sum of the stored answer bodies. The Executor reserves AnswerSize for each active
	// ticket, so AnswerBytes/AnswerSize also bounds the concurrent tickets.
	AnswerBytes int64
	// AnswerSize is the maximum size of a stored answer body.
	AnswerSize int64
	// Inherited is the maximum number of incarnations that a process acts for in addition to its own.
	Inherited int
}

// Config holds the periods and limits of a state machine.
type Config struct {
	Timing Timing
	Limits Limits
}

// DefaultConfig returns the default periods and limits of the protocol.
func DefaultConfig() Config {
	return Config{
		Timing: Timing{
			Expiry:         60 * time.Second,
			GracePeriod:    60 * time.Second,
			ClockSkew:      5 * time.Second,
			ResendInterval: time.Second,
		},
		Limits: Limits{
			Records:       20_000,
			SealedRecords: 40_000,
			AnswerBytes:   64 << 20,
			AnswerSize:    256 << 10,
			Inherited:     256,
		},
	}
}
