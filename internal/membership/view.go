// Package membership decides which gates and targets are live, leaving or gone.
//
// It merges the platform's lagging VM list with direct and relayed heartbeats. The result is a View,
// an immutable value that ownership and routing read. The package does no I/O and reads no clock.
package membership

import "time"

// Gate identifies one process of a gate.
type Gate struct {
	Name    string
	Address string
	Zone    string
	Region  string
	// Incarnation is random per process start; 0 means that it is not known yet.
	Incarnation uint64
}

// State is the state of a gate or target in a view.
type State string

// States of gates and targets.
const (
	// Joining gates are listed but no running process of them was heard; they own nothing.
	Joining State = "joining"
	// Live gates own targets; live targets get new work.
	Live State = "live"
	// Leaving gates and targets finish their work and get nothing new.
	Leaving State = "leaving"
	// Suspected gates are listed live and were heard, but not within the suspicion time; they own nothing.
	Suspected State = "suspected"
	// Gone gates and targets are neither listed nor heard.
	Gone State = "gone"
)

// Member is a gate with its state.
type Member struct {
	Gate
	State State
	// Heard says that direct or relayed news of the gate is younger than the suspicion time.
	Heard bool
	// Direct says that the gate is a heartbeat peer and was itself heard within the suspicion time, without a
	// relay. Exactly the direct gates take part in the heartbeat round that renews leases.
	Direct bool
	// OneWay says that messages of the gate arrive, but that it has left this gate's heartbeats unanswered for the
	// suspicion time. Others may still relay news of it.
	OneWay bool
	// HasAnswered says that this process of the gate answered a heartbeat of this gate, so that it has heard this gate.
	HasAnswered bool
	// Stopping says that the gate itself reported that it is leaving, so that this process of it takes no new
	// work again. A gate that is only listed as leaving may not know it yet.
	Stopping bool
	// Since is the time of the last news of a gate that is not heard, the time at which a gate that was never heard was
	// first listed, or the time since which a one-way gate does not answer. It is zero for other gates.
	Since time.Duration
}

// View is a daemon's current knowledge of gates and targets. It is immutable.
type View struct {
	// Version grows by one with each change at this daemon; versions of different daemons don't compare.
	Version uint64
	// Digest identifies the content: daemons with equal digests choose equal owners.
	Digest uint64
	// Gates lists all known gates, sorted by name.
	Gates []Member
	// Targets holds the state of every target that the VM list names, by target name.
	Targets map[string]State
}

// Gate returns the member with the name.
func (v *View) Gate(name string) (Member, bool) {
	for _, member := range v.Gates {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Target returns the state of a target; targets that the VM list does not name are Gone.
func (v *View) Target(name string) State {
	if state, ok := v.Targets[name]; ok {
		return state
	}
	return Gone
}
