package admission

import (
	"maps"
	"slices"
	"time"
)

// gateView holds the other gates whose shares count: those in the current view and, for departedRetention, those that
// have left it.
type gateView struct {
	// epoch identifies this gate's own shares.
	epoch    uint64
	current  []string
	departed map[string]time.Duration // time at which a gate left the view
	// expected is the sorted union of both.
	expected []string
	version  int // grows with each change of expected
}

func (v *gateView) set(now time.Duration, named []string) {
	for _, gate := range v.current {
		if !slices.Contains(named, gate) {
			v.departed[gate] = now
		}
	}
	for _, gate := range named {
		delete(v.departed, gate)
	}
	v.current = named
	v.rebuild()
}

// pruneDeparted removes the gates that left the view at least departedRetention ago.
func (v *gateView) pruneDeparted(now time.Duration) {
	before := len(v.departed)
	maps.DeleteFunc(v.departed, func(_ string, left time.Duration) bool { return now-left >= departedRetention })
	if len(v.departed) != before {
		v.rebuild()
	}
}

func (v *gateView) rebuild() {
	v.expected = slices.AppendSeq(slices.Clone(v.current), maps.Keys(v.departed))
	slices.Sort(v.expected)
	v.version++
}

func (v *gateView) expects(gate string) bool {
	_, ok := slices.BinarySearch(v.expected, gate)
	return ok
}

// pruneDepartedPeers removes the usage, at least departedRetention old, of gates that are not expected.
func pruneDepartedPeers(now time.Duration, peers []peerUsage) []peerUsage {
	return slices.DeleteFunc(peers, func(p peerUsage) bool {
		return !p.expected && now-p.measuredAt >= departedRetention
	})
}
