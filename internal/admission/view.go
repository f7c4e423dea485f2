package admission

import (
	"maps"
	"slices"
	"time"
)

// gateView holds the other gates whose shares are expected to count: those in the current view, and those that left it
// within the last departedRetention.
type gateView struct {
	// epoch identifies this gate's own shares; see Usage.Epoch.
	epoch    uint64
	current  []string
	departed map[string]time.Duration // when each gate left the view
	// expected is the sorted union of current and departed.
	expected []string
	version  int // increases with each change of expected
}

func (v *gateView) set(now time.Duration, gates []string) {
	for _, gate := range v.current {
		if !slices.Contains(gates, gate) {
			v.departed[gate] = now
		}
	}
	for _, gate := range gates {
		delete(v.departed, gate)
	}
	v.current = gates
	v.rebuild()
}

// pruneDeparted removes the gates that left the view at least departedRetention ago.
func (v *gateView) pruneDeparted(now time.Duration) {
	before := len(v.departed)
	maps.DeleteFunc(v.departed, func(_ string, leftAt time.Duration) bool { return now-leftAt >= departedRetention })
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

// pruneDepartedPeers removes the usage of gates that are not expected, once it is at least departedRetention old.
func pruneDepartedPeers(now time.Duration, peers []peerUsage) []peerUsage {
	return slices.DeleteFunc(peers, func(p peerUsage) bool {
		return !p.expected && now-p.measuredAt >= departedRetention
	})
}
