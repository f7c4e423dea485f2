// Package ownership decides which gate admits new work to each target, and how much.
//
// The owner of a target is a function of the view alone, so that gates and entries with equal views agree
// without exchanging messages. The Machine turns views, handovers, heartbeat rounds and engine reports into
// permissions. The package does no I/O and reads no clock.
//
// # Bound
//
// With one limit at all gates, the work that a target runs is at most limit + W while the gates form at most
// two sides that can't hear each other, and at most limit/2 more for each further side. W is the number of
// requests that had passed the last check when their process froze. "Work" includes requests that a dead gate
// left behind. The bound follows from these invariants; the names are used in the code.
//
//   - I1 (lease). A gate's permission ends 1.5 s after the start of a round that every reachable peer answered, or
//     for a full owner 1.5 s after the start of the last heartbeat that its next gate answered, but 3.5 s after the
//     start of the round at the latest. A peer that answered has heard the gate since then and suspects it 2 s later at
//     the earliest. So a full owner has stopped, or hears its next gate no more, before its next gate takes over,
//     and it has stopped before a peer that ranks elsewhere takes over, which waits for D + L (I4). A gate that
//     ranks next for others only is no exception: it answers as draining, or not at all, before they pass over it.
//   - I2 (poll). A gate becomes full only after every gate that it hears and that could hold the target has
//     stopped for it, or did not answer for D + L, in which time its view caught up. A gate that refuses is not
//     passed over.
//   - I3 (contest). A full owner becomes contested when it does not hear a gate that may take over: at once
//     for a gate that ranked next when it was last heard, after D for other gates of the zone, and after JoinGrace
//     for a gate that is listed but was never heard. The owner counts as hearing its next gate only while that
//     gate takes part in its rounds, otherwise I1 says nothing about it.
//     A peer that does not answer counts as not heard in I2 to I4 and I7, whatever arrives from it or is relayed.
//   - I4 (probation). A gate takes over from gates that it doesn't hear only after a report measured when those
//     gates are contested or stopped: at once for the gate that ranked directly before it, owned the target and is
//     known to have heard this process; D + L after the suspicion in other cases; and JoinGrace + D + L after the
//     start of this process, or the end of its last freeze, for gates that may never have heard it.
//   - I5 (return). A contested owner, or one whose lease lapsed, becomes full again only by I2.
//   - I6 (leftover). Work left by dead gates and handed-over work counts against the share of the side that it
//     is on. It is bounded by handover replies, and by the least external load in reports since the takeover
//     and since the last end of a gate that had not stopped, also of one that was never heard.
//   - I7 (zone). A gate of another zone admits nothing while a gate of the target's zone is not heard. If it held
//     the target and the unheard gate is just starting, it goes on for JoinGrace, and the starting gate waits for
//     JoinGrace + D + L. So gates of the zone don't have to hear other zones.
//
// Let x be the work of the old side, with its leftover, when the report of I4 is measured. By I1 and I3 no gate
// of the old side is full then, so that side stays at or below max(x, ceil(limit/2)). The new side with its
// leftover stays at or below floor((limit-x)/2), by Permission.Limit. If x >= ceil(limit/2) the sum is at most
// x + (limit-x)/2 <= limit; otherwise it is at most ceil(limit/2) + floor(limit/2) = limit. Later reports with a
// smaller x keep the inequality, since x bounds the old side from its measurement on. Two gates that are
// both on probation add up to at most limit as well, as each has at most floor(limit/2) with its leftover.
//
// # Start of the whole fleet
//
// A gate that just started has no predecessor in its view and does not know the past. It polls the live gates
// (I2), which stopped or never started, and needs one report measured after its start. If the report shows no
// external work it is full at once, without the wait of D + L: every gate that is listed or heard by anyone has
// agreed, and nothing runs at the engine that an unknown owner admitted. With external work a predecessor
// existed, and the gate stays on probation for D + L.
//
// Two rules keep this safe behind a cut. While a listed gate was never heard by any gate of this side, the new
// gate admits nothing until JoinGrace + D + L, since the unheard gate may be a full owner. A gate that hears no
// other gate waits D after its start, since its list may lack a gate that was listed lately. Together with other
// gates it doesn't wait: some of them know the gate that is missing, unless all gates of the side started within
// the last D.
//
// # Assumptions
//
// Clocks of two gates drift apart by less than 1% while a lease runs. A message that is delivered was sent at most
// 1 s before. Two gates that can't exchange messages lose news of each other within 1.5 s of each other. VM lists of two
// gates agree within D unless they are cut off from the platform, and a VM that the platform drops from the list
// runs no more after D if its gates don't hear it. The platform gives the name of a dropped VM to another one only
// after D. The gates of one side don't all start within D after a gate was listed that is cut off from them.
package ownership

import (
	"iter"
	"slices"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Ranked returns the live gates that may own a target, the owner first: those of the target's zone, or all
// live gates when its zone has none.
func Ranked(view *membership.View, target, zone string) []membership.Gate {
	gates := slices.Collect(liveGates(view, zone))
	if len(gates) == 0 {
		gates = slices.Collect(liveGates(view, ""))
	}
	return rankGates(target, gates)
}

// rankGates sorts gates by their rankGates for a target.
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

// Owner returns the owner of a target, which is the first of Ranked, and false when no gate is live. Entries call it for
// each request, so it does not sort.
func Owner(view *membership.View, target, zone string) (membership.Gate, bool) {
	name, ok := rendezvous.FirstOf(target, gateNames(liveGates(view, zone)))
	if !ok {
		name, ok = rendezvous.FirstOf(target, gateNames(liveGates(view, "")))
	}
	member, _ := view.Gate(name)
	return member.Gate, ok
}

// liveGates returns the live gates of a zone, or of all zones when zone is empty.
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
