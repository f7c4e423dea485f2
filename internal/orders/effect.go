package orders

import "time"

// Effect is an output of the machine.
type Effect interface{ isEffect() }

// ReadStatus reads the engine's state; StatusRead or StatusFailed answers it.
type ReadStatus struct {
	Read   uint64
	Target string
}

// SendOrder sends an order to an engine; OrderAnswered answers it.
type SendOrder struct {
	Order   uint64
	Target  string
	Fence   uint64
	Desired Desired
	// Change is what the order asks of the engine on the way to the desired state.
	Change Change
	// NotAfter is compared with the clock just before the write, like the lease of a request: a process that
	// was frozen in between must not write the order.
	NotAfter time.Duration
}

// RequestPermit asks the issuer for a permit to load weights; PermitAnswered answers it.
type RequestPermit struct {
	Request uint64
	Issuer  string
}

// AnswerPermit answers another gate's PermitRequested.
type AnswerPermit struct {
	To     string
	Answer PermitAnswered
}

// Noted reports a change for counters and logs.
type Noted struct {
	Target string
	Note   Note
}

// Note is a counter label.
type Note string

// Notes.
const (
	// Reconciled engines have reached the desired state.
	Reconciled Note = "reconciled"
	// OrderFenced orders were refused for their number.
	OrderFenced Note = "order_fenced"
	// OrderRejected orders were refused for another reason.
	OrderRejected Note = "order_rejected"
	// OrderUnanswered orders have an unknown result.
	OrderUnanswered Note = "order_unanswered"
	// OrderRepeated orders follow one that was accepted and had no effect, or was overwritten.
	OrderRepeated Note = "order_repeated"
)

func (ReadStatus) isEffect()    {}
func (SendOrder) isEffect()     {}
func (RequestPermit) isEffect() {}
func (AnswerPermit) isEffect()  {}
func (Noted) isEffect()         {}
