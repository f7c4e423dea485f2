package admission

import (
	"slices"
	"time"
)

const (
	// grantLifetime is the age up to which a grant is accepted. It is far below departedRetention, for which the grants
	// of a gate that is gone still count.
	grantLifetime = 4 * time.Second
	// maxPause is the pause of the process after which its shares may have been divided among the others. grantLifetime
	// and maxPause together are less than departedRetention, so that a gate that reads a grant late because it was
	// paused does not accept one that the others have ceased to count.
	maxPause = 5 * time.Second
	// minPause of the process is the one from which usage that it reads may be older than it seems.
	minPause = 500 * time.Millisecond
	// shortageThreshold of its share is the demand from which a gate is short of share. Shares of gates that are not
	// short stay where they are.
	shortageThreshold = 0.75
	// minNeed of the share that it should have is the least that a gate has to lack to get a grant.
	minNeed = 0.1
	// minNeedFromBusyGate is the same for a giver that uses its whole share. Such a grant does not raise the use of the
	// limit, so it is only made against a coarse imbalance.
	minNeedFromBusyGate = 0.3
	// minGrant is the smallest fraction of a limit that justifies a message.
	minGrant = 0.002
)

// Grant is a part of a limit that a gate has given to another one. The giver's fraction no longer contains it.
type Grant struct {
	// To is the epoch of the receiver.
	To uint64
	// Sequence grows from grant to grant of one giver.
	Sequence uint64
	// Fraction is the part of the limit.
	Fraction float64
}

// Receipt names the last grant that a gate has accepted from another one.
type Receipt struct {
	// From is the epoch of the giver.
	From     uint64
	Sequence uint64
}

// transfers are the grants of one limit to and from this gate.
type transfers struct {
	lastSequence uint64
	issued       []issuedGrant
	receipts     []receipt
}

type issuedGrant struct {
	Grant
	// receivedAt is when the receipt came, or 0.
	receivedAt time.Duration
}

type receipt struct {
	Receipt
	// listed says that the giver still names the grant.
	listed bool
}

// advertised returns the share as it is sent to the other gates.
func (s *share) advertised(now time.Duration, limit float64) Share {
	sent := Share{Fraction: s.fraction, Known: s.started, Young: s.started && now-s.startedAt < departedRetention}
	if limit > 0 {
		sent.Demand = s.demand / limit
	}
	for i := range s.transfers.issued {
		sent.Grants = append(sent.Grants, s.transfers.issued[i].Grant)
	}
	for _, r := range s.transfers.receipts {
		if r.listed {
			sent.Receipts = append(sent.Receipts, r.Receipt)
		}
	}
	return sent
}

// acceptGrants adds the grants of another gate to this one that have not been accepted yet.
func (s *share) acceptGrants(epoch, from uint64, theirs *Share, age time.Duration) {
	if epoch == 0 || from == 0 || age >= grantLifetime {
		return
	}
	i := slices.IndexFunc(s.transfers.receipts, func(r receipt) bool { return r.From == from })
	listed := false
	for _, grant := range theirs.Grants {
		if grant.To != epoch {
			continue
		}
		listed = true
		if i < 0 {
			i = len(s.transfers.receipts)
			s.transfers.receipts = append(s.transfers.receipts, receipt{Receipt: Receipt{From: from}})
		}
		if grant.Sequence > s.transfers.receipts[i].Sequence {
			s.transfers.receipts[i].Sequence = grant.Sequence
			s.addGrant(grant.Fraction)
		}
	}
	if i >= 0 {
		s.transfers.receipts[i].listed = listed
	}
}

// addGrant adds a grant. One for a limit that is no longer enforced here is lost.
func (s *share) addGrant(fraction float64) {
	if s.started {
		s.fraction += fraction
	}
}

// updateReceipts records receipts and drops grants that no gate needs to know any more. A grant is named for
// MaxUsageAge after its receipt: by then no gate enlarges its share on a use of the receiver that lacks the grant.
func (s *share) updateReceipts(now time.Duration, epoch uint64, resource int, peers []peerUsage) {
	s.transfers.issued = slices.DeleteFunc(s.transfers.issued, func(g issuedGrant) bool {
		return g.receivedAt > 0 && now-g.receivedAt > MaxUsageAge
	})
	for i := range s.transfers.issued {
		g := &s.transfers.issued[i]
		to := findEpoch(peers, g.To)
		switch {
		case g.receivedAt > 0:
		case to == nil, to.shares[resource].hasReceipt(epoch, g.Sequence):
			g.receivedAt = now
		}
	}
}

func (s *Share) hasReceipt(from, sequence uint64) bool {
	for _, r := range s.Receipts {
		if r.From == from {
			return r.Sequence >= sequence
		}
	}
	return false
}

// equalWithoutGrants reports whether two shares are the same and have no grants to take or to settle.
func (s *Share) equalWithoutGrants(other *Share) bool {
	return s.Demand == other.Demand && s.Fraction == other.Fraction && s.Known == other.Known &&
		len(s.Grants)+len(s.Receipts)+len(other.Grants)+len(other.Receipts) == 0
}

func findEpoch(peers []peerUsage, epoch uint64) *peerUsage {
	for i := range peers {
		if peers[i].epoch == epoch {
			return &peers[i]
		}
	}
	return nil
}

// inTransitTo returns the sum of the grants to a gate that it is not known to have accepted.
func inTransitTo(resource int, peers []peerUsage, own *share, ownEpoch uint64, to *peerUsage) float64 {
	sum := 0.0
	add := func(from uint64, grant Grant) {
		if grant.To == to.epoch && !to.shares[resource].hasReceipt(from, grant.Sequence) {
			sum += grant.Fraction
		}
	}
	for i := range own.transfers.issued {
		add(ownEpoch, own.transfers.issued[i].Grant)
	}
	for i := range peers {
		for _, grant := range peers[i].shares[resource].Grants {
			add(peers[i].epoch, grant)
		}
	}
	return sum
}

// receiver is a gate that lacks a part of the limit.
type receiver struct {
	gate    string
	epoch   uint64
	deficit float64
}

// grantSurplus grants what this gate has above its part to the gates that are short of share. Each giver covers the
// part of the need that corresponds to its part of what can be given, so that several givers together don't
// grant too much. It appends the names of the receivers.
func (s *share) grantSurplus(now time.Duration, epoch uint64, resource int, f fleetTotals, peers []peerUsage, least float64, to []string) []string {
	if !s.started || epoch == 0 {
		return to
	}
	spare := s.fraction - max(desired(s.relativeDemand, s.relativeDemand, f), least)
	if spare < minGrant {
		return to
	}
	receivers, lacking, spareElsewhere := s.receivers(now, epoch, resource, f, peers)
	part := min(1, lacking/(spare+spareElsewhere))
	for _, r := range receivers {
		if amount := spare * part * r.deficit / lacking; amount >= minGrant {
			s.grant(now, r.epoch, amount)
			to = append(to, r.gate)
		}
	}
	return to
}

// receivers returns the gates that are short of share, what they lack, and what other gates can give.
func (s *share) receivers(now time.Duration, epoch uint64, resource int, f fleetTotals, peers []peerUsage) (receivers []receiver, lacking, spare float64) {
	least := minNeed
	if s.relativeDemand >= s.fraction {
		least = minNeedFromBusyGate
	}
	for i := range peers {
		p := &peers[i]
		theirs := &p.shares[resource]
		if !p.expected || !theirs.Known || p.epoch == 0 || now-p.measuredAt >= MaxUsageAge {
			continue
		}
		wanted := desired(theirs.Demand, s.relativeDemand, f)
		if wanted < theirs.Fraction {
			spare += theirs.Fraction - wanted
			continue
		}
		if theirs.Demand < shortageThreshold*theirs.Fraction || wanted-theirs.Fraction < least*wanted {
			continue
		}
		// The grants in transit are summed only for gates that may be short, because that takes time.
		has := theirs.Fraction + inTransitTo(resource, peers, s, epoch, p)
		if deficit := wanted - has; theirs.Demand >= shortageThreshold*has && deficit >= least*wanted {
			receivers = append(receivers, receiver{p.gate, p.epoch, deficit})
			lacking += deficit
		}
	}
	return receivers, lacking, spare
}

func (s *share) grant(now time.Duration, to uint64, fraction float64) {
	s.fraction -= fraction
	// A sequence that follows the time stays above those of an earlier record of the customer.
	s.transfers.lastSequence = max(s.transfers.lastSequence+1, uint64(now.Milliseconds()))
	s.transfers.issued = append(s.transfers.issued, issuedGrant{Grant: Grant{To: to, Sequence: s.transfers.lastSequence, Fraction: fraction}})
}
