package admission

import (
	"maps"
	"slices"
	"time"
)

// gateView holds the other gates whose shares count: those that the view names, and for a while those that it has
// ceased to name.
type gateView struct {
	// epoch identifies this gate's own shares.
	epoch uint64
	named []string
	left  map[string]time.Duration // when a gate ceased to be named
	// expected is the sorted union of both.
	expected []string
	version  int // grows with each change of expected
}

func (v *gateView) set(now time.Duration, named []string) {
	for _, gate := range v.named {
		if !slices.Contains(named, gate) {
			v.left[gate] = now
		}
	}
	for _, gate := range named {
		delete(v.left, gate)
	}
	v.named = named
	v.unite()
}

// forget drops the gates that left longer ago than their shares are held.
func (v *gateView) forget(now time.Duration) {
	before := len(v.left)
	maps.DeleteFunc(v.left, func(_ string, left time.Duration) bool { return now-left >= goneHold })
	if len(v.left) != before {
		v.unite()
	}
}

func (v *gateView) unite() {
	v.expected = slices.AppendSeq(slices.Clone(v.named), maps.Keys(v.left))
	slices.Sort(v.expected)
	v.version++
}

func (v *gateView) expects(gate string) bool {
	_, ok := slices.BinarySearch(v.expected, gate)
	return ok
}

// forgetGone drops the uses of gates that have left the view for good.
func forgetGone(now time.Duration, peers []peerUse) []peerUse {
	return slices.DeleteFunc(peers, func(p peerUse) bool {
		return !p.expected && now-p.measured >= goneHold
	})
}
