package admission

import (
	"slices"
	"time"
)

const (
	// grantLifetime is the age up to which a grant is accepted. It is far below departedRetention, during which the grants
	// of a departed gate still count.
	grantLifetime = 4 * time.Second
	// maxPause is the pause of the process after which its shares may have been divided among the others. grantLifetime
	// and maxPause together are less than departedRetention, so that a gate that reads a grant late because of a pause
	// does not accept one that the others have ceased to count.
	maxPause = 5 * time.Second
	// minPause is the pause of the process from which the usage that it reads may be older than it seems.
	minPause = 500 * time.Millisecond
	// shortageThreshold is the demand, relative to a gate's fraction, from which the gate is short of share. Gates that
	// are not short get no grants.
	shortageThreshold = 0.75
	// minDeficitRatio is the smallest deficit, relative to its desired fraction, for which a gate gets a grant.
	minDeficitRatio = 0.1
	// minDeficitRatioFromBusyGate is the same for an issuer that uses its whole share. Such a grant does not raise the
	// utilization of the limit, so it is only issued against a large imbalance.
	minDeficitRatioFromBusyGate = 0.3
	// minGrant is the smallest fraction of a limit that is worth a message.
	minGrant = 0.002
)

// Grant is a fraction of a limit that one gate, the issuer, has given to another, the receiver. The issuer's own
// fraction no longer includes it.
type Grant struct {
	// To is the epoch of the receiver.
	To uint64
	// Sequence increases with each grant of an issuer.
	Sequence uint64
	// Fraction is the granted fraction of the limit.
	Fraction float64
}

// Receipt acknowledges the grants that a gate has accepted from an issuer, up to a sequence number.
type Receipt struct {
	// From is the epoch of the issuer.
	From     uint64
	Sequence uint64
}

// transfers holds the grants of one limit that this gate has issued and the receipts for those that it has accepted.
type transfers struct {
	lastSequence uint64
	issued       []issuedGrant
	receipts     []receipt
}

type issuedGrant struct {
	Grant
	// acknowledgedAt is when the receipt arrived or the receiver's epoch was found to be unknown; 0 before.
	acknowledgedAt time.Duration
}

type receipt struct {
	Receipt
	// listed is set if the issuer still lists a grant to this gate.
	listed bool
}

// advertised returns the share in the form that is sent to the other gates.
func (s *share) advertised(now time.Duration, limit float64) Share {
	sent := Share{Fraction: s.fraction, Enforced: s.started, RecentlyStarted: s.started && now-s.startedAt < departedRetention}
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

// acceptGrants adds the grants from another gate to this one that have not been accepted yet.
func (s *share) acceptGrants(epoch, issuer uint64, peerShare *Share, age time.Duration) {
	if epoch == 0 || issuer == 0 || age >= grantLifetime {
		return
	}
	i := slices.IndexFunc(s.transfers.receipts, func(r receipt) bool { return r.From == issuer })
	listed := false
	for _, grant := range peerShare.Grants {
		if grant.To != epoch {
			continue
		}
		listed = true
		if i < 0 {
			i = len(s.transfers.receipts)
			s.transfers.receipts = append(s.transfers.receipts, receipt{Receipt: Receipt{From: issuer}})
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

// addGrant adds an accepted grant to the fraction. A grant of a limit that is no longer enforced here is lost.
func (s *share) addGrant(fraction float64) {
	if s.started {
		s.fraction += fraction
	}
}

// updateReceipts records the receipts for issued grants and removes grants that no gate needs to know any more. A grant
// is advertised for MaxUsageAge after its receipt: later no gate enlarges its share based on a usage of the receiver
// that does not include the grant.
func (s *share) updateReceipts(now time.Duration, epoch uint64, kind int, peers []peerUsage) {
	s.transfers.issued = slices.DeleteFunc(s.transfers.issued, func(g issuedGrant) bool {
		return g.acknowledgedAt > 0 && now-g.acknowledgedAt > MaxUsageAge
	})
	for i := range s.transfers.issued {
		g := &s.transfers.issued[i]
		receiver := findEpoch(peers, g.To)
		switch {
		case g.acknowledgedAt > 0:
		case receiver == nil, receiver.shares[kind].hasReceipt(epoch, g.Sequence):
			g.acknowledgedAt = now
		}
	}
}

func (s *Share) hasReceipt(issuer, sequence uint64) bool {
	for _, r := range s.Receipts {
		if r.From == issuer {
			return r.Sequence >= sequence
		}
	}
	return false
}

// equalWithoutGrants reports whether two shares are equal and neither has grants or receipts to process.
func (s *Share) equalWithoutGrants(other *Share) bool {
	return s.Demand == other.Demand && s.Fraction == other.Fraction && s.Enforced == other.Enforced &&
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

// inTransitTo sums the grants of one limit to a gate that it is not known to have accepted.
func inTransitTo(kind int, peers []peerUsage, own *share, ownEpoch uint64, receiver *peerUsage) float64 {
	sum := 0.0
	add := func(issuer uint64, grant Grant) {
		if grant.To == receiver.epoch && !receiver.shares[kind].hasReceipt(issuer, grant.Sequence) {
			sum += grant.Fraction
		}
	}
	for i := range own.transfers.issued {
		add(ownEpoch, own.transfers.issued[i].Grant)
	}
	for i := range peers {
		for _, grant := range peers[i].shares[kind].Grants {
			add(peers[i].epoch, grant)
		}
	}
	return sum
}

// receiver is a gate that is short of share, and the fraction of the limit that it lacks.
type receiver struct {
	gate    string
	epoch   uint64
	deficit float64
}

// grantSurplus grants what this gate holds above its desired fraction to the gates that are short of share. Each issuer
// covers a part of the total deficit in proportion to its part of the total surplus, so that several issuers together
// don't grant too much. It appends the names of the receivers to names.
func (s *share) grantSurplus(now time.Duration, epoch uint64, kind int, f fleetTotals, peers []peerUsage, minFraction float64, names []string) []string {
	if !s.started || epoch == 0 {
		return names
	}
	surplus := s.fraction - max(desiredFraction(s.relativeDemand, s.relativeDemand, f), minFraction)
	if surplus < minGrant {
		return names
	}
	receivers, totalDeficit, otherSurplus := s.receivers(now, epoch, kind, f, peers)
	coverage := min(1, totalDeficit/(surplus+otherSurplus))
	for _, r := range receivers {
		if amount := surplus * coverage * r.deficit / totalDeficit; amount >= minGrant {
			s.grant(now, r.epoch, amount)
			names = append(names, r.gate)
		}
	}
	return names
}

// receivers returns the gates that are short of share, their total deficit, and the total surplus of the other gates.
func (s *share) receivers(now time.Duration, epoch uint64, kind int, f fleetTotals, peers []peerUsage) (receivers []receiver, totalDeficit, otherSurplus float64) {
	minRatio := minDeficitRatio
	if s.relativeDemand >= s.fraction {
		minRatio = minDeficitRatioFromBusyGate
	}
	for i := range peers {
		p := &peers[i]
		peerShare := &p.shares[kind]
		if !p.expected || !peerShare.Enforced || p.epoch == 0 || now-p.measuredAt >= MaxUsageAge {
			continue
		}
		desired := desiredFraction(peerShare.Demand, s.relativeDemand, f)
		if desired < peerShare.Fraction {
			otherSurplus += peerShare.Fraction - desired
			continue
		}
		if peerShare.Demand < shortageThreshold*peerShare.Fraction || desired-peerShare.Fraction < minRatio*desired {
			continue
		}
		// Summing the grants in transit is expensive, so it is done only for gates that may be short.
		effective := peerShare.Fraction + inTransitTo(kind, peers, s, epoch, p)
		if deficit := desired - effective; peerShare.Demand >= shortageThreshold*effective && deficit >= minRatio*desired {
			receivers = append(receivers, receiver{p.gate, p.epoch, deficit})
			totalDeficit += deficit
		}
	}
	return receivers, totalDeficit, otherSurplus
}

func (s *share) grant(now time.Duration, to uint64, fraction float64) {
	s.fraction -= fraction
	// A sequence that is at least the time in milliseconds is higher than those of an earlier record of the customer.
	s.transfers.lastSequence = max(s.transfers.lastSequence+1, uint64(now.Milliseconds()))
	s.transfers.issued = append(s.transfers.issued, issuedGrant{Grant: Grant{To: to, Sequence: s.transfers.lastSequence, Fraction: fraction}})
}
