// Package ownership decides which gate admits new requests to each target, and how many.
//
// The owner of a target is a function of the membership view alone, so gates and entries with equal views agree on it
// without exchanging messages. The Machine turns views, handovers, heartbeat rounds and engine reports into
// permissions. The package does no I/O and reads no clock.
//
// # Bound
//
// With the same limit configured at all gates, a target runs at most limit + W requests while the gates form at most
// two partitions that cannot hear from each other, and at most limit/2 more for each further partition. W is the number
// of requests that had passed the last permission check when their process was paused. The count includes requests that
// a dead gate left running. The bound follows from these invariants, which the code refers to by number:
//
//   - I1 (lease). A gate's permission ends 1.5 s after the start of a heartbeat round that every reachable peer
//     answered. For a full owner it ends 1.5 s after the start of the last heartbeat that its standby answered, but no
//     later than 3.5 s after the start of the round. A peer that answered has heard from the gate since then and
//     suspects it 2 s later at the earliest. A full owner has therefore stopped, or no longer hears from its standby,
//     before the standby takes over, and it has stopped before any lower-ranked peer takes over, since such a peer
//     waits for D + L (I4). A gate that is standby only in the view of others is no exception: it answers as draining,
//     or not at all, before they pass over it.
//   - I2 (poll). A gate becomes full only after every gate that it hears from and that may own the target has stopped
//     admitting to it, or has not answered for D + L, in which time that gate's view has caught up. A gate that refuses
//     is not passed over.
//   - I3 (contest). A full owner becomes contested when it does not hear from a gate that may take over: at once for a
//     gate that was the standby when it was last heard from, after D for other gates of the zone, and after JoinGrace
//     for a gate that is listed but was never heard from. The standby counts as heard from only while it takes part in
//     the owner's heartbeat rounds, since otherwise I1 says nothing about it. In I2 to I4 and I7, a peer that does not
//     answer counts as not heard from, whatever arrives from it or is relayed about it.
//   - I4 (probation). A gate takes over from gates that it does not hear from only after a report measured when those
//     gates are contested or stopped. That is at once for the gate that ranked directly before it, owned the target and
//     is known to have heard from this process; D + L after the suspicion in other cases; and JoinGrace + D + L after
//     the start of this process, or the end of its last pause, for gates that may never have heard from it.
//   - I5 (return). A contested owner, or one whose lease expired, becomes full again only by I2.
//   - I6 (residual work). Work left running by dead gates and handed-over work count against the share of the partition
//     that they belong to. Their amount is bounded by handover replies, and by the least external load in reports
//     measured since the takeover and since the last death of a gate that had not stopped, including one that was never
//     heard from.
//   - I7 (zone). A gate of another zone admits nothing while a gate of the target's zone is not heard from. If it owned
//     the target and the missing gate is just starting, it continues for JoinGrace, and the starting gate waits for
//     JoinGrace + D + L. Gates of the target's zone therefore need not hear from other zones.
//
// Let x be the work of the old partition, including its residual work, when the report of I4 is measured. By I1 and I3
// no gate of the old partition is full then, so that partition stays at or below max(x, ceil(limit/2)). The new
// partition with its residual work stays at or below floor((limit-x)/2), by Permission.Limit. If x >= ceil(limit/2),
// the sum is at most x + (limit-x)/2 <= limit; otherwise it is at most ceil(limit/2) + floor(limit/2) = limit. Later
// reports with a smaller x preserve the inequality, since x bounds the old partition from its measurement on. Two gates
// that are both on probation also add up to at most limit, as each has at most floor(limit/2) including its residual
// work.
//
// # Start of the whole fleet
//
// A gate that has just started has no predecessor in its view and does not know the history. It polls the live gates
// (I2), which have stopped or never started, and needs one report measured after its start. If the report shows no
// external work, the gate becomes full at once, without waiting for D + L: every gate that is listed, or that any gate
// hears from, has agreed, and the engine runs nothing that an unknown owner admitted. If there is external work, a
// predecessor existed, and the gate stays on probation for D + L.
//
// Two rules keep this safe during a network partition. While no gate of this partition has ever heard from some listed
// gate, the new gate admits nothing until JoinGrace + D + L, since the missing gate may be a full owner. A gate that
// hears from no other gate waits D after its start, since its list may lack a recently listed gate. It does not wait if
// it hears from other gates: some of them know the missing gate, unless all gates of the partition started within the
// last D.
//
// # Assumptions
//
// The clocks of two gates drift apart by less than 1% during a lease. A delivered message was sent at most 1 s before.
// Two gates that cannot exchange messages stop hearing about each other within 1.5 s of each other. The VM lists of two
// gates agree within D unless the gates are cut off from the platform. A VM that the platform drops from the list no
// longer runs after D if its gates do not hear from it. The platform reuses the name of a dropped VM only after D. The
// gates of one partition do not all start within D after the listing of a gate that is cut off from them.
package ownership

import (
	"iter"
	"slices"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Ranked returns the live gates that may own a target, in rank order with the owner first: those of the target's zone,
// or all live gates if that zone has none.
func Ranked(view *membership.View, target, zone string) []membership.Gate {
	gates := slices.Collect(liveGates(view, zone))
	if len(gates) == 0 {
		gates = slices.Collect(liveGates(view, ""))
	}
	return rankGates(target, gates)
}

// rankGates sorts gates by their rendezvous rank for a target.
func rankGates(target string, gates []membership.Gate) []membership.Gate {
	names := make([]string, len(gates))
	byName := make(map[string]membership.Gate, len(gates))
	for i, gate := range gates {
		names[i] = gate.Name
		byName[gate.Name] = gate
	}
	ranked := make([]membership.Gate, 0, len(gates))
	for _, name := range rendezvous.Order(target, names) {
		ranked = append(ranked, byName[name])
	}
	return ranked
}

// Owner returns the owner of a target, which is the first gate of Ranked, or false if no gate is live. It does not
// sort, because entries call it for every request.
func Owner(view *membership.View, target, zone string) (membership.Gate, bool) {
	name, ok := rendezvous.FirstOf(target, gateNames(liveGates(view, zone)))
	if !ok {
		name, ok = rendezvous.FirstOf(target, gateNames(liveGates(view, "")))
	}
	member, _ := view.Gate(name)
	return member.Gate, ok
}

// liveGates returns the live gates of a zone, or of all zones if zone is empty.
func liveGates(view *membership.View, zone string) iter.Seq[membership.Gate] {
	return func(yield func(membership.Gate) bool) {
		for i := range view.Gates {
			member := &view.Gates[i]
			if member.State == membership.Live && (zone == "" || member.Zone == zone) && !yield(member.Gate) {
				return
			}
		}
	}
}

func gateNames(gates iter.Seq[membership.Gate]) iter.Seq[string] {
	return func(yield func(string) bool) {
		for gate := range gates {
			if !yield(gate.Name) {
				return
			}
		}
	}
}
