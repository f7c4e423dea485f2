package orders

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Tick advances time-outs and schedules; the daemon sends one about every 100 ms.
type Tick struct{}

// ViewChanged carries the daemon's new view, from which the permit issuer is selected.
type ViewChanged struct{ View *membership.View }

// CatalogueChanged carries the current catalogue.
type CatalogueChanged struct{ Catalogue *catalogue.Catalogue }

// LeaseRenewed extends the gate's lease. Without a valid lease the machine sends no orders and issues no permits.
type LeaseRenewed struct{ Until time.Duration }

// OwnershipAcquired reports that this gate now owns a target.
type OwnershipAcquired struct {
	Target string
	// Released is true if the predecessor confirmed that it has stopped and has no order in flight to the target.
	// It is false if the predecessor is unreachable or unknown.
	Released bool
}

// OwnershipLost reports that this gate no longer owns a target.
type OwnershipLost struct{ Target string }

// EngineRestarted reports that an engine runs in a new process, which may not have the model loaded.
type EngineRestarted struct{ Target string }

// StatusRead answers a ReadStatus.
type StatusRead struct {
	Read   uint64
	Status Status
}

// StatusFailed reports that a ReadStatus got no answer.
type StatusFailed struct{ Read uint64 }

// OrderResult is the result of an order.
type OrderResult string

// Results of orders.
const (
	// Accepted orders are carried out by the engine.
	Accepted OrderResult = "accepted"
	// Fenced orders were refused because the engine has seen a higher fencing number.
	Fenced OrderResult = "fenced"
	// Rejected orders were refused for another reason, such as an unknown version.
	Rejected OrderResult = "rejected"
	// NotSent orders were not written, because NotAfter had passed or the connection failed before the write.
	NotSent OrderResult = "not_sent"
	// Unanswered orders were written at least in part; the engine may have accepted them.
	Unanswered OrderResult = "unanswered"
)

// OrderAnswered reports the result of a SendOrder.
type OrderAnswered struct {
	Order  uint64
	Result OrderResult
}

// PermitRequested carries the RequestPermit of another gate.
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
	// RetryAfter is the time until the next permit is available, if none was granted.
	RetryAfter time.Duration
}

func (Tick) isEvent()              {}
func (ViewChanged) isEvent()       {}
func (CatalogueChanged) isEvent()  {}
func (LeaseRenewed) isEvent()      {}
func (OwnershipAcquired) isEvent() {}
func (OwnershipLost) isEvent()     {}
func (EngineRestarted) isEvent()   {}
func (StatusRead) isEvent()        {}
func (StatusFailed) isEvent()      {}
func (OrderAnswered) isEvent()     {}
func (PermitRequested) isEvent()   {}
func (PermitAnswered) isEvent()    {}
