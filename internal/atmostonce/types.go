package atmostonce

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

// Call identifies an open call at the daemon. The machines only hand it back.
type Call uint64

// Answer is a whole answer of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Result is the end of a request: an answer, or a refusal with its reason and Ran.
type Result struct {
	// Answer is nil for a refusal. Its content must not be changed.
	Answer *Answer
	Reason reason.Reason
	Ran    reason.Ran
	// Elsewhere says that another gate may know more: Heir if it is set, else the witness.
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
	return Result{Reason: why, Ran: reason.No}
}

func unknownOutcome() Result {
	return Result{Reason: reason.UnknownOutcome, Ran: reason.Unknown, Elsewhere: true}
}

// Verdict is the witness's answer to an intent.
type Verdict uint8

// Verdicts on an intent. Each but IntentRecorded forbids the run.
const (
	IntentRecorded Verdict = iota
	IntentSealed
	IntentExpired
	IntentNotWitness
	IntentOtherExecutor
)

// SettleVerdict is the witness's answer to a settle.
type SettleVerdict uint8

// Verdicts on a settle.
const (
	// SettleSealed means that the ticket did not run and never will.
	SettleSealed SettleVerdict = iota
	// SettleOutcome means that the executor reported the result that follows.
	SettleOutcome
	// SettleUnknown means that an intent is recorded without an outcome, or that the record is gone.
	SettleUnknown
	// SettleNotWitness means that this process does not act as the ticket's witness.
	SettleNotWitness
)

// Role is the part that a gate plays for a ticket.
type Role string

// Roles of a gate.
const (
	ExecutorRole Role = "executor"
	WitnessRole  Role = "witness"
)

// Record is a ticket record on its way to an heir.
type Record struct {
	Ticket ticket.Ticket
	State  string
	// Executor is the incarnation whose intent a witness recorded.
	Executor uint64
	Result   Result
	// Left is the time to the expiry of the record, negative in the grace period.
	Left time.Duration
}

// Timing holds the periods of the protocol.
type Timing struct {
	// Expiry is the time from first sight of a ticket within which it may start.
	Expiry time.Duration
	// Grace is the time after expiry in which the fate of a ticket is still known.
	Grace time.Duration
	// ClockSkew bounds the difference between the wall clocks of a gate and its heir.
	ClockSkew time.Duration
	// ResendInterval is the time between copies of an unconfirmed outcome or hand-over.
	ResendInterval time.Duration
}

// Limits bounds the memory of one machine.
type Limits struct {
	// Records is the largest number of records that are not sealed.
	Records int
	// SealedRecords is the number of sealed records that are kept in addition.
	SealedRecords int
	// AnswerBytes bounds the sum of the stored answer bodies. The Executor reserves AnswerSize for each ticket
	// that has not ended, so AnswerBytes/AnswerSize also bounds the concurrent tickets.
	AnswerBytes int64
	// AnswerSize is the largest answer body that is stored.
	AnswerSize int64
	// Inherited is the largest number of incarnations that a process acts for besides its own.
	Inherited int
}

// Config holds the periods and bounds of a machine.
type Config struct {
	Timing Timing
	Limits Limits
}

// DefaultConfig returns the values of the design.
func DefaultConfig() Config {
	return Config{
		Timing: Timing{
			Expiry:         60 * time.Second,
			Grace:          60 * time.Second,
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
