package orders

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// Tick lets time pass; the daemon sends one about every 100 ms.
type Tick struct{}

// ViewChanged carries the daemon's new view, from which the permit issuer is chosen.
type ViewChanged struct{ View *membership.View }

// CatalogueChanged carries the catalogue in force.
type CatalogueChanged struct{ Catalogue *catalogue.Catalogue }

// LeaseRenewed extends the gate's lease. Without one the machine sends no order and issues no permit.
type LeaseRenewed struct{ Until time.Duration }

// Acquired says that this gate now owns a target.
type Acquired struct {
	Target string
	// Released is true when the predecessor confirmed that it has stopped and has no order in flight there.
	// It is false when the predecessor can't be reached or is not known.
	Released bool
}

// Lost says that this gate no longer owns a target.
type Lost struct{ Target string }

// Restarted says that an engine runs in another process, which may have lost the model.
type Restarted struct{ Target string }

// StatusRead answers a ReadStatus.
type StatusRead struct {
	Read   uint64
	Status Status
}

// StatusFailed reports a ReadStatus without an answer.
type StatusFailed struct{ Read uint64 }

// OrderResult is what became of an order.
type OrderResult string

// Results of orders.
const (
	// Accepted orders are carried out.
	Accepted OrderResult = "accepted"
	// Fenced orders were refused because the engine has a higher number.
	Fenced OrderResult = "fenced"
	// Rejected orders were refused for another reason, such as an unknown version.
	Rejected OrderResult = "rejected"
	// NotSent orders were not written, because NotAfter had passed or the connection failed before.
	NotSent OrderResult = "not_sent"
	// Unanswered orders were written at least in part; the engine may have taken them.
	Unanswered OrderResult = "unanswered"
)

// OrderAnswered reports the result of a SendOrder.
type OrderAnswered struct {
	Order  uint64
	Result OrderResult
}

// PermitRequested is the RequestPermit of another gate.
type PermitRequested struct {
	Request uint64
	From    string
}

// PermitAnswered is the answer to a RequestPermit.
type PermitAnswered struct {
	Request uint64
	Granted bool
	// Lifetime is how long the permit is valid, counted from the request.
	Lifetime time.Duration
	// RetryAfter is the time to the next free permit when none was granted.
	RetryAfter time.Duration
}

func (Tick) isEvent()             {}
func (ViewChanged) isEvent()      {}
func (CatalogueChanged) isEvent() {}
func (LeaseRenewed) isEvent()     {}
func (Acquired) isEvent()         {}
func (Lost) isEvent()             {}
func (Restarted) isEvent()        {}
func (StatusRead) isEvent()       {}
func (StatusFailed) isEvent()     {}
func (OrderAnswered) isEvent()    {}
func (PermitRequested) isEvent()  {}
func (PermitAnswered) isEvent()   {}
