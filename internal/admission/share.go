package admission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Tolerance is how far the sum of all gates' shares of a limit may exceed it while views disagree, as a fraction of
// the limit. Where one request per gate is more, that is the tolerance.
const Tolerance = 0.1

const (
	// MaxUsageAge is the age up to which a peer's use permits this gate to enlarge its share.
	MaxUsageAge = 2 * time.Second
	// departedRetention is how long the share of a gate that has left the view still counts and its usage is awaited.
	// It is twice the longest disagreement between views.
	departedRetention = 10 * time.Second
	// shareInterval is the time between two computations of shares, that of the heartbeats.
	shareInterval = 500 * time.Millisecond
	// demandTimeConstant is the time constant over which demand is averaged. Shares can follow demand no faster.
	demandTimeConstant = 2 * time.Second
	// maxDemandSample bounds the time over which one sample of the demand is averaged.
	maxDemandSample = 5 * time.Second
	// evenFraction of a limit is split evenly, so that a gate without use can admit a first request at once. Gates
	// without use don't use it.
	evenFraction = 0.05
	// minFreeFraction is the smallest part that no gate holds for which shares change.
	minFreeFraction = 0.01
)

// Share is one gate's part of a customer's limit.
type Share struct {
	// Demand is the recent use and the refused part of it, as a fraction of the limit.
	Demand float64
	// Fraction is the part of the limit that the gate admits.
	Fraction float64
	// Known says that the gate enforces the limit; otherwise Fraction means nothing.
	Known bool
	// Young says that the gate started to enforce the limit within the last departedRetention.
	Young bool
	// Grants are the parts given to other gates that these may not have yet, or that not all gates know them to have.
	Grants []Grant
	// Receipts name the grants accepted from others that their givers still list.
	Receipts []Receipt
}

// Use is the usage of a customer that one gate reports to the others.
type Use struct {
	Customer string
	Gate     string
	// Epoch identifies the gate's shares: another process of the gate, or one that has given up its shares after a
	// pause, has another epoch. Without an epoch a gate takes no part in grants.
	Epoch    uint64
	Rate     Share
	InFlight Share
	// Age is the time since the gate took the figures, transit included: it must not be too low.
	Age time.Duration
}

// peerUsage is the last known usage of another gate.
type peerUsage struct {
	gate       string
	epoch      uint64
	measuredAt time.Duration
	shares     [resources]Share
	// superseded says that the gate has since reported another epoch. Grants of this epoch may still arrive.
	superseded bool
	// expected caches whether the view expects the gate.
	expected bool
}

// Kinds of limits.
const (
	rateLimit = iota
	concurrencyLimit
	resources
)

// fleetTotals aggregates the last known usage of the other gates for one limit.
type fleetTotals struct {
	gates           int // this gate included
	known           int
	fresh           int // expected gates with usage newer than MaxUsageAge
	recentlyStarted int // fresh gates whose shares have recently started
	demand          float64
	allocated       float64
	complete        bool // every expected gate has reported its usage recently
}

// sumPeers sums the peers' last known usage of each limit, and the grants in transit.
func sumPeers(now time.Duration, view *gateView, peers []peerUsage, own *[resources]share, epoch uint64) [resources]fleetTotals {
	var fleets [resources]fleetTotals
	for resource := range fleets {
		fleets[resource].gates = 1 + len(view.expected)
	}
	for i := range peers {
		p := &peers[i]
		fresh := now-p.measuredAt < MaxUsageAge
		for resource := range fleets {
			fleets[resource].add(p, &p.shares[resource])
			if p.expected && fresh && p.shares[resource].Known {
				fleets[resource].fresh++
				if p.shares[resource].Young {
					fleets[resource].recentlyStarted++
				}
			}
		}
	}
	for resource := range fleets {
		fleets[resource].complete = fleets[resource].fresh == len(view.expected)
		fleets[resource].allocated += totalInTransit(resource, peers, &own[resource], epoch)
	}
	return fleets
}

// add counts the share of a peer. One that the view does not name yet counts too; one that was replaced has ended.
func (f *fleetTotals) add(p *peerUsage, s *Share) {
	if !s.Known || p.superseded {
		return
	}
	if !p.expected {
		f.gates++
	}
	f.known++
	f.demand += s.Demand
	f.allocated += s.Fraction
}

// totalInTransit sums the grants that their receivers are not known to have accepted.
func totalInTransit(resource int, peers []peerUsage, own *share, epoch uint64) float64 {
	sum := 0.0
	add := func(from uint64, grant Grant) {
		if grant.To == epoch && epoch != 0 {
			if !own.hasAccepted(from, grant.Sequence) {
				sum += grant.Fraction
			}
			return
		}
		to := findEpoch(peers, grant.To)
		if to == nil || !to.shares[resource].hasReceipt(from, grant.Sequence) {
			sum += grant.Fraction
		}
	}
	for i := range own.transfers.issued {
		add(epoch, own.transfers.issued[i].Grant)
	}
	for i := range peers {
		for _, grant := range peers[i].shares[resource].Grants {
			add(peers[i].epoch, grant)
		}
	}
	return sum
}

// share is this gate's part of one limit, as a fraction. A change of the limit thus needs no agreement.
//
// Each gate moves its fraction towards the one that follows from the last known use of all gates. It enlarges it
// only into what the last known fractions of the others leave free, only while it has heard from each of them within
// MaxUsageAge, and by at most one step per MaxUsageAge. At the moment of the last enlargement by any gate, each other
// fraction is therefore at most one step above what that gate knew, and the steps of all gates add up to the
// tolerance. Delay, loss and partitions can't break this: they only stop enlargements, so that a partition keeps the
// last shares.
//
// Enlargements are slow and only divide what no gate holds. What a gate holds and does not need goes to others by
// grants: the giver lowers its fraction before it names the grant, and the receiver accepts each grant once. A grant
// thus never raises the sum of fractions, whatever is lost, late or repeated, and needs no agreement. A gate counts
// the grants in transit: those that it knows from the giver and not from the receiver. The sum that it computes is then
// never below that of an earlier moment, even if it knows the giver's use of a later time than the receiver's.
type share struct {
	fraction float64
	// demand is in the unit of the limit, relative is a fraction of it.
	demand         float64
	relativeDemand float64
	enlargedAt     time.Duration
	started        bool
	// startedAt is when the share was first set. One that was set anew after a pause counts as old.
	startedAt time.Duration

	transfers transfers
}

func (s *share) hasAccepted(from, sequence uint64) bool {
	for _, r := range s.transfers.receipts {
		if r.From == from {
			return r.Sequence >= sequence
		}
	}
	return false
}

// enlargementStep returns the size of one enlargement: the gate's part of the tolerance.
func enlargementStep(limit float64, gates int) float64 {
	return max(Tolerance/float64(gates), 1/limit)
}

// minGateFraction returns the least fraction of a gate. Under a small limit it is one request, which the tolerance of
// one request per gate covers, so that no gate has to refuse a customer's only request.
func minGateFraction(limit float64, gates int) float64 {
	if 1/limit > Tolerance/float64(gates) {
		return 1 / limit
	}
	return 0
}

// desired returns the fraction of a gate with a demand that follows use: an even part, and the rest in proportion to
// demand. The demand of this gate and that of the others in f are the total.
func desired(demand, own float64, f fleetTotals) float64 {
	even := 1 / float64(f.gates)
	total := own + f.demand
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*demand/total
}

// start sets the first fraction: an even part if nothing is known of the others, or if all of them have just started too
// and have left an even part for each gate. Another gate joins a fleet that has divided the limit already, so it starts
// with the one step that the tolerance covers.
func (s *share) start(now time.Duration, limit float64, f fleetTotals) {
	s.join(now, limit, f)
	even := 1 / float64(f.gates)
	s.startedAt = now
	left := f.recentlyStarted == f.known && f.allocated <= float64(f.known)*even+shareEpsilon
	if f.known == 0 || left {
		s.fraction = max(s.fraction, even)
	}
}

// join sets the fraction of a gate that can't know what the others have left.
func (s *share) join(now time.Duration, limit float64, f fleetTotals) {
	s.started, s.startedAt = true, now-departedRetention
	s.enlargedAt = now
	s.fraction = enlargementStep(limit, f.gates)
}

// update enlarges the fraction into what no gate holds, or lowers it when the gates hold too much. Every gate enlarges
// its own, whether or not it needs more: together they take up what is free fastest, and grants bring it to where it is
// needed.
func (s *share) update(now time.Duration, limit float64, f fleetTotals, least float64) {
	if !s.started {
		s.start(now, limit, f)
		return
	}
	s.fraction = max(s.fraction, minGateFraction(limit, f.gates))
	if !f.complete {
		return
	}
	free := 1 - f.allocated - s.fraction
	if free < 0 {
		s.shrink(-free, f, least)
		return
	}
	if free >= minFreeFraction {
		s.grow(now, min(free/float64(f.gates), enlargementStep(limit, f.gates)))
	}
}

// shrink gives up this gate's part of what the gates hold too much. It takes half of it at a time, because the figures
// of the others don't show yet what they have given up.
func (s *share) shrink(excess float64, f fleetTotals, least float64) {
	own := excess * s.fraction / (s.fraction + f.allocated) / 2
	s.fraction -= max(0, min(own, s.fraction-least))
}

func (s *share) grow(now time.Duration, gain float64) {
	if now-s.enlargedAt < MaxUsageAge {
		return
	}
	s.fraction += gain
	s.enlargedAt = now
}

// observe averages the demand over time.
func (s *share) observe(demand, limit float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	s.demand += weight * (demand - s.demand)
	s.relativeDemand = s.demand / limit
}

// upsertPeer keeps the most recently measured use of each epoch of a gate, in order of the gates' names so that sums are
// the same in every run. It reports whether the use brings anything but its time: records are renewed all the time.
func upsertPeer(peers []peerUsage, use peerUsage) ([]peerUsage, bool) {
	i, ok := slices.BinarySearchFunc(peers, use, func(p, use peerUsage) int {
		return cmp.Or(strings.Compare(p.gate, use.gate), cmp.Compare(p.epoch, use.epoch))
	})
	switch {
	case ok && peers[i].measuredAt >= use.measuredAt:
		return peers, false
	case ok:
		changed := !peers[i].shares[rateLimit].equalWithoutGrants(&use.shares[rateLimit]) ||
			!peers[i].shares[concurrencyLimit].equalWithoutGrants(&use.shares[concurrencyLimit])
		peers[i].measuredAt, peers[i].shares = use.measuredAt, use.shares
		if !changed && !peers[i].superseded {
			return peers, false
		}
	case len(peers) >= maxGates:
		return peers, false
	default:
		peers = slices.Insert(peers, i, use)
	}
	newest := i
	for j := range peers {
		if peers[j].gate == use.gate && peers[j].measuredAt > peers[newest].measuredAt {
			newest = j
		}
	}
	for j := range peers {
		if peers[j].gate == use.gate {
			peers[j].superseded = j != newest
			peers[j].expected = use.expected && !peers[j].superseded
		}
	}
	return peers, true
}
