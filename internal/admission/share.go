package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Tolerance is how far the sum of all gates' shares of a limit may exceed it while views disagree, as a fraction of
// the limit. Where one request per gate is more, that is the tolerance.
const Tolerance = 0.1

const (
	// MaxUseAge is the age up to which a peer's use permits this gate to enlarge its share.
	MaxUseAge = 2 * time.Second
	// goneHold is how long the share of a gate that has left the view still counts, and is waited for. It is twice
	// the longest disagreement between views.
	goneHold = 10 * time.Second
	// shareInterval is the time between two computations of shares, that of the heartbeats.
	shareInterval = 500 * time.Millisecond
	// demandTime is the time constant over which demand is averaged.
	demandTime = 5 * time.Second
	// evenPart of a limit is split evenly, so that a gate without use can admit a first request at once.
	evenPart = 0.1
)

// Share is one gate's part of a customer's limit.
type Share struct {
	// Demand is the recent use and the refused part of it, in the unit of the limit.
	Demand float64
	// Fraction is the part of the limit that the gate admits.
	Fraction float64
	// Known says that the gate enforces the limit; otherwise Fraction means nothing.
	Known bool
}

// Use is what one gate tells the others about a customer.
type Use struct {
	Customer string
	Gate     string
	Rate     Share
	InFlight Share
	// Age is the time since the gate took the figures, transit included: it must not be too low.
	Age time.Duration
}

// peerUse is the last known use of another gate.
type peerUse struct {
	gate     string
	measured time.Duration
	shares   [resources]Share
	// expected caches whether the view expects the gate.
	expected bool
}

// Kinds of limits.
const (
	rateLimit = iota
	concurrencyLimit
	resources
)

// fleet sums what is known of the other gates for one limit.
type fleet struct {
	gates    int // this gate included
	heard    int
	demand   float64
	claimed  float64
	complete bool // every expected gate has told its use recently
}

// survey sums the peers' last known uses of each limit.
func survey(now time.Duration, view *gateView, peers []peerUse) [resources]fleet {
	var fleets [resources]fleet
	var recent [resources]int
	for resource := range fleets {
		fleets[resource].gates = 1 + len(view.expected)
	}
	for i := range peers {
		p := &peers[i]
		fresh := now-p.measured < MaxUseAge
		for resource := range fleets {
			fleets[resource].add(p, &p.shares[resource])
			if p.expected && fresh && p.shares[resource].Known {
				recent[resource]++
			}
		}
	}
	for resource := range fleets {
		fleets[resource].complete = recent[resource] == len(view.expected)
	}
	return fleets
}

// add counts the share of a peer. One that the view does not name yet counts too.
func (f *fleet) add(p *peerUse, s *Share) {
	if !s.Known {
		return
	}
	if !p.expected {
		f.gates++
	}
	f.heard++
	f.demand += s.Demand
	f.claimed += s.Fraction
}

// share is this gate's part of one limit, as a fraction. A change of the limit thus needs no agreement.
//
// Each gate moves its fraction towards the one that follows from the last known use of all gates. It enlarges it
// only into what the last known fractions of the others leave free, only while it has heard from each of them within
// MaxUseAge, and by at most one step per MaxUseAge. At the moment of the last enlargement by any gate, each other
// fraction is therefore at most one step above what that gate knew, and the steps of all gates add up to the
// tolerance. Delay, loss and cuts can't break this: they only stop enlargements, so that a cut keeps the last shares.
type share struct {
	fraction float64
	demand   float64
	grewAt   time.Duration
	started  bool
}

// step returns the size of one enlargement: the gate's part of the tolerance.
func step(limit float64, gates int) float64 {
	return max(Tolerance/float64(gates), 1/limit)
}

// floor returns the least fraction of a gate. Under a small limit it is one request, which the tolerance of one
// request per gate covers, so that no gate has to refuse a customer's only request.
func floor(limit float64, gates int) float64 {
	if 1/limit > Tolerance/float64(gates) {
		return 1 / limit
	}
	return 0
}

// desired returns the fraction that follows use: an even part, and the rest in proportion to demand.
func desired(own float64, f fleet) float64 {
	even := 1 / float64(f.gates)
	total := own + f.demand
	if total <= 0 {
		return even
	}
	return evenPart*even + (1-evenPart)*own/total
}

// start sets the first fraction: an even part if nothing is known of the others. A gate that knows others' shares
// joins a fleet that has divided the limit already, so it starts with the one step that the tolerance covers.
func (s *share) start(now time.Duration, limit float64, f fleet) {
	s.started = true
	s.grewAt = now
	s.fraction = step(limit, f.gates)
	if f.heard == 0 {
		s.fraction = max(s.fraction, 1/float64(f.gates))
	}
}

// update moves the fraction towards the desired one.
func (s *share) update(now time.Duration, limit float64, f fleet) {
	if !s.started {
		s.start(now, limit, f)
		return
	}
	least := floor(limit, f.gates)
	s.fraction = max(s.fraction, least)
	if !f.complete {
		return
	}
	want := max(desired(s.demand, f), least)
	free := 1 - f.claimed - s.fraction
	if want < s.fraction {
		s.shrink(want, float64(f.gates)*step(limit, f.gates)-free)
		return
	}
	s.grow(now, min(want-s.fraction, free, step(limit, f.gates)))
}

// shrink gives up no more than the next step of all gates can use, so that a share isn't lost to no one's benefit.
func (s *share) shrink(want, needed float64) {
	s.fraction -= min(s.fraction-want, max(needed, 0))
}

func (s *share) grow(now time.Duration, gain float64) {
	if gain <= 0 || now-s.grewAt < MaxUseAge {
		return
	}
	s.fraction += gain
	s.grewAt = now
}

// observe averages the demand over time.
func (s *share) observe(demand float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTime))
	s.demand += weight * (demand - s.demand)
}

// setPeer keeps the most recently measured use of a gate, in order of the gates' names so that sums are the same in
// every run.
func setPeer(peers []peerUse, use peerUse) []peerUse {
	i, ok := slices.BinarySearchFunc(peers, use.gate, func(p peerUse, gate string) int {
		return strings.Compare(p.gate, gate)
	})
	switch {
	case !ok && len(peers) < maxGates:
		return slices.Insert(peers, i, use)
	case ok && peers[i].measured < use.measured:
		peers[i].measured = use.measured
		peers[i].shares = use.shares
	}
	return peers
}
