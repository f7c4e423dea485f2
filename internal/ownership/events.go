package ownership

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Target is a target with the zone that decides its owner.
type Target struct {
	Name string
	Zone string
}

// Event is an input of the Machine.
type Event interface{ ownershipEvent() }

// ViewChanged brings a new view and all targets of the catalogue that have an owner.
type ViewChanged struct {
	View    *membership.View
	Targets []Target
}

// InFlight is handed-over work of one customer, which ends at Ends at the latest.
type InFlight struct {
	Customer string
	Count    int
	Ends     time.Duration
}

// Handover is a gate's answer for one target.
type Handover struct {
	Target string
	// Stopped says that the gate admits nothing there until it has taken the target over again. A gate that
	// ranks before the successor refuses.
	Stopped bool
	// InFlight is the gate's own work there, including admitted requests that are not written yet.
	InFlight []InFlight
	// Clean says that the gate held the target in full until it stopped, so that External bounds all work there
	// but its own. Without it the successor needs an engine report.
	Clean    bool
	External int
}

// HandoverReply is the answer of a gate that was asked.
type HandoverReply struct {
	From membership.Gate
	// Asked is the time of the step that returned the AskHandover. Answers to an earlier takeover don't count.
	Asked     time.Duration
	Handovers []Handover
}

// HandoverFailed is an AskHandover without an answer. It changes nothing by itself: the gate is asked again after
// AskInterval, and a gate that refused before counts as refusing until it answers otherwise or falls silent.
type HandoverFailed struct {
	To      membership.Gate
	Targets []string
}

// HandoverAsked is the request of a successor.
type HandoverAsked struct {
	By      membership.Gate
	Targets []string
}

// RoundConfirmed is a confirmed heartbeat round.
type RoundConfirmed struct{ Started time.Duration }

// PeerConfirmed is a heartbeat sent at Started that one peer confirmed.
type PeerConfirmed struct {
	Peer    membership.Gate
	Started time.Duration
}

// ClockGap says that the process did not run for a while.
type ClockGap struct{}

// PeerClaim says that a peer reports having taken targets.
type PeerClaim struct {
	By      membership.Gate
	Targets []string
}

// EngineReport is a target's own count of its work. Measured must not be later than the measurement; the time at
// which the report was asked for is safe.
type EngineReport struct {
	Target   string
	Load     int
	Own      int
	Measured time.Duration
}

// WorkDone says that handed-over requests of a former owner ended.
type WorkDone struct {
	Target string
	From   membership.Gate
	// Asked is that of the answer which counted the requests. Otherwise a late WorkDone would be subtracted
	// from a later answer, which leaves the request out already.
	Asked    time.Duration
	Customer string
	Count    int
}

// Drain stops all admission for good.
type Drain struct{}

// Tick is a passing of time; four per lease are enough.
type Tick struct{}

func (ViewChanged) ownershipEvent()    {}
func (HandoverReply) ownershipEvent()  {}
func (HandoverFailed) ownershipEvent() {}
func (HandoverAsked) ownershipEvent()  {}
func (RoundConfirmed) ownershipEvent() {}
func (PeerConfirmed) ownershipEvent()  {}
func (ClockGap) ownershipEvent()       {}
func (PeerClaim) ownershipEvent()      {}
func (EngineReport) ownershipEvent()   {}
func (WorkDone) ownershipEvent()       {}
func (Drain) ownershipEvent()          {}
func (Tick) ownershipEvent()           {}

// Effect is an output of the Machine. The daemon carries effects out in their order.
type Effect interface{ ownershipEffect() }

// Publish replaces the snapshot of the traffic path. It comes first, so that answers which say that this gate
// stopped are sent only after it did.
type Publish struct{ Snapshot *Snapshot }

// AskHandover asks a gate to stop admitting to targets.
type AskHandover struct {
	To      membership.Gate
	Targets []string
}

// AnswerHandover answers HandoverAsked; the daemon adds the in-flight work of each target.
type AnswerHandover struct {
	To        membership.Gate
	Handovers []Handover
}

// SpreadClaims names targets that this gate has just taken, for its heartbeats.
type SpreadClaims struct{ Targets []string }

// Watch names the gates that have to be heard directly, for membership.Watch.
type Watch struct{ Gates []string }

func (Publish) ownershipEffect()        {}
func (AskHandover) ownershipEffect()    {}
func (AnswerHandover) ownershipEffect() {}
func (SpreadClaims) ownershipEffect()   {}
func (Watch) ownershipEffect()          {}
