package membership

import "time"

// Message is the membership part of a heartbeat or its answer.
type Message struct {
	From Gate
	// Draining is true if the sender will never accept new work again.
	Draining    bool
	ViewVersion uint64
	ViewDigest  uint64
	// ListRevision is the revision of the sender's VM list.
	ListRevision uint64
	// RelayedStatuses holds the status of other gates, as known to the sender.
	RelayedStatuses []RelayedStatus
	// LeavingTargets holds the names of the targets that are leaving in the sender's view.
	LeavingTargets []string
}

// RelayedStatus is the status of a gate, as relayed by another gate.
type RelayedStatus struct {
	Gate Gate
	// Age is the time since the gate was heard, directly or through relays.
	Age time.Duration
	// Draining is true if the gate itself reported that it is draining. A listed state of leaving is not relayed, since
	// the gate may still admit work until its own list shows it as leaving.
	Draining bool
}

// ListedGate is a gate in the VM list.
type ListedGate struct {
	Gate Gate
	// State is Live or Leaving.
	State State
}

// ListedTarget is a target in the VM list.
type ListedTarget struct {
	Name string
	// State is Live or Leaving.
	State State
}

// Event is an input of the Machine.
type Event interface{ membershipEvent() }

// ListUpdate is a VM list from the platform. Lists that are not newer than the last one are ignored.
type ListUpdate struct {
	Revision uint64
	Gates    []ListedGate
	Targets  []ListedTarget
}

// HeartbeatReceived is a heartbeat from a peer. The daemon answers with Machine.Message.
type HeartbeatReceived struct{ Message Message }

// HeartbeatAnswered is the answer to a heartbeat that was sent at Sent.
type HeartbeatAnswered struct {
	Sent    time.Duration
	Message Message
}

// HeartbeatFailed is a heartbeat that was not answered. It changes nothing: a peer becomes suspected only by a timeout,
// because the link between two gates can fail while relays still carry their status.
type HeartbeatFailed struct{ Peer string }

// Contact is any other message that came directly from a gate, such as a handover request.
type Contact struct{ From Gate }

// Watch names the gates that ownership needs to hear directly. They are preferred as heartbeat peers.
type Watch struct{ Gates []string }

// Drain marks this gate as draining.
type Drain struct{}

// Tick signals that time has passed. At least one is needed per heartbeat interval.
type Tick struct{}

func (ListUpdate) membershipEvent()        {}
func (HeartbeatReceived) membershipEvent() {}
func (HeartbeatAnswered) membershipEvent() {}
func (HeartbeatFailed) membershipEvent()   {}
func (Contact) membershipEvent()           {}
func (Watch) membershipEvent()             {}
func (Drain) membershipEvent()             {}
func (Tick) membershipEvent()              {}

// Effect is an output of the Machine.
type Effect interface{ membershipEffect() }

// SendHeartbeat asks the daemon to send a heartbeat. The time of the step becomes HeartbeatAnswered.Sent.
type SendHeartbeat struct {
	To      Gate
	Message Message
}

// ViewChanged publishes a new view. It precedes a RoundConfirmed of the same step.
type ViewChanged struct{ View *View }

// RoundConfirmed reports that every reachable peer has confirmed a heartbeat sent at Started or later.
type RoundConfirmed struct{ Started time.Duration }

// PeerConfirmed reports that one peer has confirmed a heartbeat sent at Started.
type PeerConfirmed struct {
	Peer    Gate
	Started time.Duration
}

// ClockGap reports that more than Config.ClockGap passed between two steps, so the process was probably paused.
type ClockGap struct{ Length time.Duration }

func (PeerConfirmed) membershipEffect()  {}
func (SendHeartbeat) membershipEffect()  {}
func (ViewChanged) membershipEffect()    {}
func (RoundConfirmed) membershipEffect() {}
func (ClockGap) membershipEffect()       {}
