package membership

import "time"

// Message is the membership part of a heartbeat or of its answer.
type Message struct {
	From Gate
	// Draining says that the sender takes no new work again.
	Draining    bool
	ViewVersion uint64
	ViewDigest  uint64
	// ListRevision is the revision of the sender's VM list.
	ListRevision uint64
	// News relays what the sender knows of third gates.
	News []News
	// LeavingTargets names the targets that the sender's list gives as leaving.
	LeavingTargets []string
}

// News is what a gate knows of another gate.
type News struct {
	Gate Gate
	// Age is the time since the gate was heard, directly or through relays.
	Age time.Duration
	// Draining says that the gate itself reported that it is draining. That a list gives it as leaving is not
	// relayed, since the gate may still admit work until its own list says so.
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

// ListUpdate is a VM list from the platform. Lists that are not newer than the last one change nothing.
type ListUpdate struct {
	Revision uint64
	Gates    []ListedGate
	Targets  []ListedTarget
}

// HeartbeatReceived is a heartbeat of a peer; the daemon answers with Machine.Message.
type HeartbeatReceived struct{ Message Message }

// HeartbeatAnswered is the answer to a heartbeat that was sent at Sent.
type HeartbeatAnswered struct {
	Sent    time.Duration
	Message Message
}

// HeartbeatFailed is a heartbeat that got no answer. Only time makes a peer suspected, because the link between
// two gates can fail while relays still carry their news.
type HeartbeatFailed struct{ Peer string }

// Contact is any other message that came directly from a gate, such as a handover request.
type Contact struct{ From Gate }

// Watch names the gates that ownership has to hear directly. They come first among the heartbeat peers.
type Watch struct{ Gates []string }

// Drain marks this gate as draining.
type Drain struct{}

// Tick is a passing of time; one is needed per heartbeat interval.
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

// SendHeartbeat asks the daemon to send a heartbeat; the time of the step is its Sent.
type SendHeartbeat struct {
	To      Gate
	Message Message
}

// ViewChanged publishes a new view. It comes before a RoundConfirmed of the same step.
type ViewChanged struct{ View *View }

// RoundConfirmed says that every reachable peer confirmed a heartbeat sent at Started or later.
type RoundConfirmed struct{ Started time.Duration }

// PeerConfirmed says that one peer confirmed a heartbeat sent at Started.
type PeerConfirmed struct {
	Peer    Gate
	Started time.Duration
}

// ClockGap says that the process did not run for longer than the configured gap.
type ClockGap struct{ Length time.Duration }

func (PeerConfirmed) membershipEffect()  {}
func (SendHeartbeat) membershipEffect()  {}
func (ViewChanged) membershipEffect()    {}
func (RoundConfirmed) membershipEffect() {}
func (ClockGap) membershipEffect()       {}
