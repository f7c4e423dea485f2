package ownership

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// Target identifies a target and the zone that determines its owner.
type Target struct {
	Name string
	Zone string
}

// Event is an input of the Machine.
type Event interface{ ownershipEvent() }

// ViewChanged carries a new view and all targets of the catalogue that have an owner.
type ViewChanged struct {
	View    *membership.View
	Targets []Target
}

// InFlight is handed-over work of one customer. It ends at Deadline at the latest.
type InFlight struct {
	Customer string
	Count    int
	Deadline time.Duration
}

// Handover is a gate's reply to a handover request for one target.
type Handover struct {
	Target string
	// Stopped reports that the gate admits nothing to the target until it has taken it over again. A gate that ranks
	// before the successor refuses.
	Stopped bool
	// InFlight is the gate's own work at the target, including admitted requests that have not been written yet.
	InFlight []InFlight
	// Clean reports that the gate was the full owner until it stopped, so that External bounds all work at the target
	// other than the gate's own. Without it the successor needs an engine report.
	Clean    bool
	External int
}

// HandoverReply is the reply of a gate to a SendHandoverRequest.
type HandoverReply struct {
	From membership.Gate
	// RequestedAt is the time of the step that returned the SendHandoverRequest. Replies to requests of an earlier
	// takeover are ignored.
	RequestedAt time.Duration
	Handovers   []Handover
}

// HandoverFailed reports a SendHandoverRequest that got no reply. It changes no state: the request is repeated after
// HandoverRetryInterval, and a gate that refused before counts as refusing until it replies otherwise or becomes
// unreachable.
type HandoverFailed struct {
	To      membership.Gate
	Targets []string
}

// HandoverRequested is a successor's request to this gate to stop admitting to targets.
type HandoverRequested struct {
	By      membership.Gate
	Targets []string
}

// RoundConfirmed reports that every reachable peer answered a heartbeat sent at Started or later.
type RoundConfirmed struct{ Started time.Duration }

// PeerConfirmed reports that one peer answered the heartbeat sent to it at Started.
type PeerConfirmed struct {
	Peer    membership.Gate
	Started time.Duration
}

// ClockGap reports that the process was paused for a while.
type ClockGap struct{}

// PeerClaim reports that a peer announced that it has taken over targets.
type PeerClaim struct {
	By      membership.Gate
	Targets []string
}

// EngineReport is a target's own count of its work. Measured must not be later than the measurement; the time at which
// the report was requested is always safe.
type EngineReport struct {
	Target     string
	Load       int
	Own        int
	MeasuredAt time.Duration
}

// WorkDone reports that handed-over requests of a former owner have ended.
type WorkDone struct {
	Target string
	From   membership.Gate
	// RequestedAt is the value from the HandoverReply that counted the requests. Without it, a late WorkDone would be
	// subtracted from a later reply, which no longer counts these requests.
	RequestedAt time.Duration
	Customer    string
	Count       int
}

// Drain permanently stops all admission.
type Drain struct{}

// Tick advances time. Four ticks per lease are enough.
type Tick struct{}

func (ViewChanged) ownershipEvent()       {}
func (HandoverReply) ownershipEvent()     {}
func (HandoverFailed) ownershipEvent()    {}
func (HandoverRequested) ownershipEvent() {}
func (RoundConfirmed) ownershipEvent()    {}
func (PeerConfirmed) ownershipEvent()     {}
func (ClockGap) ownershipEvent()          {}
func (PeerClaim) ownershipEvent()         {}
func (EngineReport) ownershipEvent()      {}
func (WorkDone) ownershipEvent()          {}
func (Drain) ownershipEvent()             {}
func (Tick) ownershipEvent()              {}

// Effect is an output of the Machine. The daemon applies effects in order.
type Effect interface{ ownershipEffect() }

// Publish replaces the snapshot that the request path reads. It precedes other effects, so that a reply that this gate
// has stopped is sent only after it has stopped.
type Publish struct{ Snapshot *Snapshot }

// SendHandoverRequest asks a gate to stop admitting to targets.
type SendHandoverRequest struct {
	To      membership.Gate
	Targets []string
}

// SendHandoverReply replies to HandoverRequested. The daemon adds the in-flight work of each target.
type SendHandoverReply struct {
	To        membership.Gate
	Handovers []Handover
}

// AnnounceClaims lists targets that this gate has just taken over, to be announced in its heartbeats.
type AnnounceClaims struct{ Targets []string }

// Watch lists the gates that have to be heard from directly, for membership.Watch.
type Watch struct{ Gates []string }

func (Publish) ownershipEffect()             {}
func (SendHandoverRequest) ownershipEffect() {}
func (SendHandoverReply) ownershipEffect()   {}
func (AnnounceClaims) ownershipEffect()      {}
func (Watch) ownershipEffect()               {}
