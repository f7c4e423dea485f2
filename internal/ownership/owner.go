// Package ownership decides which gate admits new work to each target, and when it may.
//
// The owner of a target is a function of the view alone, so that gates and entries with equal views agree
// without exchanging messages. The package does no I/O and reads no clock.
package ownership

import (
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Ranked returns the live gates that may own a target, the owner first: those of the target's zone, or all
// live gates when its zone has none.
func Ranked(view *membership.View, target, zone string) []membership.Gate {
	gates := liveGates(view, zone)
	if len(gates) == 0 {
		gates = liveGates(view, "")
	}
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

// Owner returns the owner of a target, and false when no gate is live.
func Owner(view *membership.View, target, zone string) (membership.Gate, bool) {
	ranked := Ranked(view, target, zone)
	if len(ranked) == 0 {
		return membership.Gate{}, false
	}
	return ranked[0], true
}

// liveGates returns the live gates of a zone, or of all zones when zone is empty.
func liveGates(view *membership.View, zone string) []membership.Gate {
	var gates []membership.Gate
	for _, member := range view.Gates {
		if member.State != membership.Live {
			continue
		}
		if zone == "" || member.Zone == zone {
			gates = append(gates, member.Gate)
		}
	}
	return gates
}
