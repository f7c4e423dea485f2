package admission

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// Tolerance is by how much the sum of all gates' shares may exceed a limit while the gates' views disagree, as a
// fraction of the limit. If one request per gate is more than this, that is the tolerance.
const Tolerance = 0.1

const (
	// MaxUsageAge is the age of a peer's usage up to which this gate may enlarge its share.
	MaxUsageAge = 2 * time.Second
	// departedRetention is how long a gate that has left the view is still expected: its share counts, and its usage is
	// needed for an enlargement. It is twice the longest disagreement between views.
	departedRetention = 10 * time.Second
	// shareInterval is the interval at which the shares are updated, equal to the heartbeat interval.
	shareInterval = 500 * time.Millisecond
	// demandTimeConstant is the time constant over which demand is averaged. Shares can follow demand no faster.
	demandTimeConstant = 2 * time.Second
	// maxDemandSample bounds the time that one sample of the demand covers.
	maxDemandSample = 5 * time.Second
	// evenFraction is the fraction of a limit that is split evenly, so that a gate without demand can admit a first
	// request at once. Gates without demand leave it unused.
	evenFraction = 0.05
	// minFreeFraction is the smallest unallocated fraction of a limit for which a gate enlarges its share.
	minFreeFraction = 0.01
)

// Share is one gate's share of a customer's limit.
type Share struct {
	// Demand is the recent demand, refused requests included, as a fraction of the limit.
	Demand float64
	// Fraction is the fraction of the limit that the gate admits.
	Fraction float64
	// Enforced is set if the gate enforces the limit; otherwise Fraction has no meaning.
	Enforced bool
	// RecentlyStarted is set if the gate started to enforce the limit within the last departedRetention.
	RecentlyStarted bool
	// Grants are the grants issued to other gates that these may not have accepted yet, or of whose acceptance not all
	// gates know.
	Grants []Grant
	// Receipts acknowledge the accepted grants that their issuers still list.
	Receipts []Receipt
}

// Usage reports to the other gates how much of a customer's limits one gate uses.
type Usage struct {
	Customer string
	Gate     string
	// Epoch identifies the gate's shares. It changes when the gate's process restarts and when the process has given up
	// its shares after a pause. A gate without an epoch neither issues nor accepts grants.
	Epoch    uint64
	Rate     Share
	InFlight Share
	// Age is the time since the gate measured the usage, including the time in transit. It must not be underestimated.
	Age time.Duration
}

// peerUsage is the last known usage of another gate.
type peerUsage struct {
	gate       string
	epoch      uint64
	measuredAt time.Duration
	shares     [limitKinds]Share
	// superseded is set if the gate has since reported another epoch. Grants of this epoch may still arrive.
	superseded bool
	// expected caches gateView.expects, and is false if superseded.
	expected bool
}

// Kinds of limits, and their number.
const (
	rateLimit = iota
	concurrencyLimit
	limitKinds
)

// fleetTotals aggregates the last known usage of the other gates for one limit.
type fleetTotals struct {
	gates           int // including this gate
	known           int // other gates known to enforce the limit
	fresh           int // expected gates that enforce the limit, with usage newer than MaxUsageAge
	recentlyStarted int // fresh gates whose shares have recently started
	demand          float64
	allocated       float64
	complete        bool // every expected gate is fresh
}

// sumPeers sums the peers' last known usage of each limit, including the grants in transit.
func sumPeers(now time.Duration, view *gateView, peers []peerUsage, own *[limitKinds]share, epoch uint64) [limitKinds]fleetTotals {
	var totals [limitKinds]fleetTotals
	for kind := range totals {
		totals[kind].gates = 1 + len(view.expected)
	}
	for i := range peers {
		p := &peers[i]
		fresh := now-p.measuredAt < MaxUsageAge
		for kind := range totals {
			totals[kind].add(p, &p.shares[kind])
			if p.expected && fresh && p.shares[kind].Enforced {
				totals[kind].fresh++
				if p.shares[kind].RecentlyStarted {
					totals[kind].recentlyStarted++
				}
			}
		}
	}
	for kind := range totals {
		totals[kind].complete = totals[kind].fresh == len(view.expected)
		totals[kind].allocated += totalInTransit(kind, peers, &own[kind], epoch)
	}
	return totals
}

// add counts the share of a peer. A peer that the view does not list yet counts too. A superseded share has ended and
// does not count.
func (f *fleetTotals) add(p *peerUsage, s *Share) {
	if !s.Enforced || p.superseded {
		return
	}
	if !p.expected {
		f.gates++
	}
	f.known++
	f.demand += s.Demand
	f.allocated += s.Fraction
}

// totalInTransit sums the grants of one limit that their receivers are not known to have accepted.
func totalInTransit(kind int, peers []peerUsage, own *share, epoch uint64) float64 {
	sum := 0.0
	add := func(issuer uint64, grant Grant) {
		if grant.To == epoch && epoch != 0 {
			if !own.hasAccepted(issuer, grant.Sequence) {
				sum += grant.Fraction
			}
			return
		}
		receiver := findEpoch(peers, grant.To)
		if receiver == nil || !receiver.shares[kind].hasReceipt(issuer, grant.Sequence) {
			sum += grant.Fraction
		}
	}
	for i := range own.transfers.issued {
		add(epoch, own.transfers.issued[i].Grant)
	}
	for i := range peers {
		for _, grant := range peers[i].shares[kind].Grants {
			add(peers[i].epoch, grant)
		}
	}
	return sum
}

// share is this gate's share of one limit. It is a fraction, so that a change of the limit needs no agreement.
//
// Each gate moves its fraction towards the desired one, which follows from the last known demand of all gates. It
// enlarges its fraction only into what the last known fractions of the others leave free, only while the usage of each
// of them is newer than MaxUsageAge, and by at most one step per MaxUsageAge. At the moment of the last enlargement by
// any gate, each other fraction is therefore at most one step above what that gate knew, and the steps of all gates add
// up to the tolerance. Delay, loss and partitions can't break this: they only stop enlargements, so that the shares
// stay as they are during a partition.
//
// Enlargements are slow and only divide what no gate holds. What a gate holds and does not need is moved to others by
// grants: the issuer lowers its fraction before it advertises the grant, and the receiver accepts each grant once. A
// grant thus never raises the sum of the fractions, whichever messages are lost, late or repeated, and needs no
// agreement. Each gate counts the grants in transit: those that the issuer lists and the receiver has not acknowledged,
// as far as the gate knows. The sum that it computes is then never below that of an earlier moment, even if the
// issuer's usage that it knows is newer than the receiver's.
type share struct {
	fraction float64
	// demand is in the unit of the limit, relativeDemand is a fraction of it.
	demand         float64
	relativeDemand float64
	enlargedAt     time.Duration
	started        bool
	// startedAt is when the share was first set. A share that was reset after a pause does not count as recently started.
	startedAt time.Duration

	transfers transfers
}

func (s *share) hasAccepted(issuer, sequence uint64) bool {
	for _, r := range s.transfers.receipts {
		if r.From == issuer {
			return r.Sequence >= sequence
		}
	}
	return false
}

// enlargementStep returns the largest fraction of one enlargement: the gate's part of the tolerance.
func enlargementStep(limit float64, gates int) float64 {
	return max(Tolerance/float64(gates), 1/limit)
}

// minGateFraction returns the smallest fraction of a gate. Under a small limit it corresponds to one request, which the
// tolerance of one request per gate covers, so that no gate has to refuse a customer's only request.
func minGateFraction(limit float64, gates int) float64 {
	if 1/limit > Tolerance/float64(gates) {
		return 1 / limit
	}
	return 0
}

// desiredFraction returns the fraction that a gate with the given demand should hold: its part of evenFraction, and the
// rest of the limit in proportion to demand. The total demand is this gate's own and that of the others in f.
func desiredFraction(demand, ownDemand float64, f fleetTotals) float64 {
	even := 1 / float64(f.gates)
	total := ownDemand + f.demand
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*demand/total
}

// start sets the initial fraction: an even split if nothing is known of the others, or if all of them have started
// recently too and have left an even part for each gate. Otherwise the gate joins a fleet that has already divided the
// limit, so it starts with the one step that the tolerance covers.
func (s *share) start(now time.Duration, limit float64, f fleetTotals) {
	s.join(now, limit, f)
	even := 1 / float64(f.gates)
	s.startedAt = now
	evenLeft := f.recentlyStarted == f.known && f.allocated <= float64(f.known)*even+shareEpsilon
	if f.known == 0 || evenLeft {
		s.fraction = max(s.fraction, even)
	}
}

// join sets the fraction of a gate that can't know what the others have left: one enlargement step.
func (s *share) join(now time.Duration, limit float64, f fleetTotals) {
	s.started, s.startedAt = true, now-departedRetention
	s.enlargedAt = now
	s.fraction = enlargementStep(limit, f.gates)
}

// update enlarges the fraction into what no gate holds, or shrinks it when the gates together hold more than the limit.
// Every gate enlarges its fraction, whether or not it needs more: together they take up the free part fastest, and
// grants move it to where it is needed.
func (s *share) update(now time.Duration, limit float64, f fleetTotals, minFraction float64) {
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
		s.shrink(-free, f, minFraction)
		return
	}
	if free >= minFreeFraction {
		s.enlarge(now, min(free/float64(f.gates), enlargementStep(limit, f.gates)))
	}
}

// shrink gives up this gate's part of the excess over the limit. It gives up half of it at a time, because the last
// known usage of the others does not show yet what they have given up.
func (s *share) shrink(excess float64, f fleetTotals, minFraction float64) {
	reduction := excess * s.fraction / (s.fraction + f.allocated) / 2
	s.fraction -= max(0, min(reduction, s.fraction-minFraction))
}

func (s *share) enlarge(now time.Duration, step float64) {
	if now-s.enlargedAt < MaxUsageAge {
		return
	}
	s.fraction += step
	s.enlargedAt = now
}

// observe adds a sample of the demand to its moving average.
func (s *share) observe(demand, limit float64, elapsed time.Duration) {
	weight := 1 - math.Exp(-float64(elapsed)/float64(demandTimeConstant))
	s.demand += weight * (demand - s.demand)
	s.relativeDemand = s.demand / limit
}

// upsertPeer stores the most recently measured usage of each epoch of a gate, sorted by gate name so that sums are the
// same in every run. It reports whether anything but the time of measurement has changed: gates send their usage again
// and again without a change.
func upsertPeer(peers []peerUsage, usage peerUsage) ([]peerUsage, bool) {
	i, ok := slices.BinarySearchFunc(peers, usage, func(p, usage peerUsage) int {
		return cmp.Or(strings.Compare(p.gate, usage.gate), cmp.Compare(p.epoch, usage.epoch))
	})
	switch {
	case ok && peers[i].measuredAt >= usage.measuredAt:
		return peers, false
	case ok:
		changed := !peers[i].shares[rateLimit].equalWithoutGrants(&usage.shares[rateLimit]) ||
			!peers[i].shares[concurrencyLimit].equalWithoutGrants(&usage.shares[concurrencyLimit])
		peers[i].measuredAt, peers[i].shares = usage.measuredAt, usage.shares
		if !changed && !peers[i].superseded {
			return peers, false
		}
	case len(peers) >= maxGates:
		return peers, false
	default:
		peers = slices.Insert(peers, i, usage)
	}
	newest := i
	for j := range peers {
		if peers[j].gate == usage.gate && peers[j].measuredAt > peers[newest].measuredAt {
			newest = j
		}
	}
	for j := range peers {
		if peers[j].gate == usage.gate {
			peers[j].superseded = j != newest
			peers[j].expected = usage.expected && !peers[j].superseded
		}
	}
	return peers, true
}
