package orders

import "time"

// Effect is an output of a Machine.
type Effect interface{ isEffect() }

// ReadStatus reads the engine's state. It is answered by StatusRead or StatusFailed.
type ReadStatus struct {
	Read   uint64
	Target string
}

// SendOrder sends an order to an engine. It is answered by OrderAnswered.
type SendOrder struct {
	Order   uint64
	Target  string
	Fence   uint64
	Desired Desired
	// Change is the step towards the desired state that the order requests.
	Change Change
	// NotAfter is compared with the clock immediately before the write, like the lease of a request: a process that
	// was paused since the order was created must not write it.
	NotAfter time.Duration
}

// RequestPermit asks the issuer for a permit to load weights. It is answered by PermitAnswered.
type RequestPermit struct {
	Request uint64
	Issuer  string
}

// AnswerPermit sends the answer to another gate's PermitRequested.
type AnswerPermit struct {
	To     string
	Answer PermitAnswered
}

// RecordOutcome asks the daemon to count and log an outcome.
type RecordOutcome struct {
	Target  string
	Outcome Outcome
}

// Outcome names what happened at a target and is used as a counter label.
type Outcome string

// Outcomes.
const (
	// Reconciled means that the engine has reached the desired state.
	Reconciled Outcome = "reconciled"
	// OrderFenced means that an order was refused because of its fencing number.
	OrderFenced Outcome = "order_fenced"
	// OrderRejected means that an order was refused for another reason.
	OrderRejected Outcome = "order_rejected"
	// OrderUnanswered means that the result of an order is unknown.
	OrderUnanswered Outcome = "order_unanswered"
	// OrderRepeated means that an order follows one that was accepted but had no effect or was overwritten.
	OrderRepeated Outcome = "order_repeated"
)

func (ReadStatus) isEffect()    {}
func (SendOrder) isEffect()     {}
func (RequestPermit) isEffect() {}
func (AnswerPermit) isEffect()  {}
func (RecordOutcome) isEffect() {}
