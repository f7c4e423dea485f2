// Package membership determines the state of gates and targets, such as live, leaving or gone.
//
// It merges the platform's VM list, which lags behind, with direct and relayed heartbeats. The result is a View, an
// immutable value that ownership and routing read. The package performs no I/O and reads no clock.
package membership

import "time"

// Gate identifies a gate process.
type Gate struct {
	Name    string
	Address string
	Zone    string
	Region  string
	// Incarnation is a random number chosen at each process start; 0 means that it is not yet known.
	Incarnation uint64
}

// State is the state of a gate or target in a view.
type State string

// States of gates and targets.
const (
	// Joining gates are listed, but no running process of them has been heard. They own no targets.
	Joining State = "joining"
	// Live gates own targets, and live targets receive new work.
	Live State = "live"
	// Leaving gates and targets finish their current work and receive no new work.
	Leaving State = "leaving"
	// Suspected gates were heard, but not within the suspicion timeout. They are listed as live, or the VM list dropped
	// them only recently. They own no targets.
	Suspected State = "suspected"
	// Gone gates are neither listed nor heard, or were unlisted for longer than the grace period. Gone targets are not
	// listed.
	Gone State = "gone"
)

// Member is a gate and its state.
type Member struct {
	Gate
	State State
	// Heard is true if the gate was heard, directly or through relays, within the suspicion timeout.
	Heard bool
	// Direct is true if the gate is a heartbeat peer and was itself heard within the suspicion timeout, without a
	// relay. Exactly the direct gates take part in the heartbeat round that renews leases.
	Direct bool
	// OneWay is true if messages from the gate arrive, but it has left this gate's heartbeats unanswered for the
	// suspicion timeout. Other gates may still relay its status.
	OneWay bool
	// HasAnswered is true if this incarnation of the gate has answered a heartbeat, and so has heard this gate.
	HasAnswered bool
	// Stopping is true if the gate itself reported that it is leaving, so that this incarnation never accepts new work
	// again. A gate that is only listed as leaving may not know it yet.
	Stopping bool
	// Since is the time since which a one-way gate has not answered, the time of the last contact with any other gate
	// that is no longer heard, or the time at which a gate that was never heard was first listed. It is zero for other
	// gates.
	Since time.Duration
}

// View is an immutable snapshot of the gates and targets as a daemon knows them.
type View struct {
	// Version increases by one with each change at this daemon. Versions of different daemons are not comparable.
	Version uint64
	// Digest is a hash of the live gates. Daemons with equal digests choose the same owners.
	Digest uint64
	// Gates lists all known gates, sorted by name.
	Gates []Member
	// Targets holds the state of every target in the VM list, by target name.
	Targets map[string]State
}

// Gate returns the member with the given name.
func (v *View) Gate(name string) (Member, bool) {
	for _, member := range v.Gates {
		if member.Name == name {
			return member, true
		}
	}
	return Member{}, false
}

// Target returns the state of a target, which is Gone for targets that are not in the VM list.
func (v *View) Target(name string) State {
	if state, ok := v.Targets[name]; ok {
		return state
	}
	return Gone
}
