package crashguard

import (
	"cmp"
	"slices"
	"time"
)

// Charge attributes one crash to one digest, in the form that gates exchange.
type Charge struct {
	Digest Digest
	Crash  Crash
	// Remaining is the time to the charge's expiry when the message was sent.
	Remaining time.Duration
	// Cleared is set once the request has completed; the charge then no longer counts.
	Cleared bool
}

// GossipCharges returns at most limit charges for gossip, longest remaining time first, so that the newest charges
// reach the other gates even if many are known.
func (g *Guard) GossipCharges(now time.Duration, limit int) []Charge {
	var active []Charge
	for digest, charges := range g.charges {
		for _, c := range charges {
			if now < c.expires {
				active = append(active, Charge{digest, c.crash, c.expires - now, c.cleared})
			}
		}
	}
	slices.SortFunc(active, compareCharges)
	return active[:min(limit, len(active))]
}

// compareCharges orders charges by decreasing remaining time; the other fields make the order deterministic.
func compareCharges(a, b Charge) int {
	return cmp.Or(
		cmp.Compare(b.Remaining, a.Remaining),
		cmp.Compare(a.Digest, b.Digest),
		cmp.Compare(a.Crash.Target, b.Crash.Target),
		cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation),
	)
}

// Merge adds the charges received from another gate. It is idempotent and independent of the order of messages.
func (g *Guard) Merge(now time.Duration, received []Charge) {
	for _, r := range received {
		if r.Remaining <= 0 {
			continue
		}
		expires := now + min(r.Remaining, Lifetime)
		g.addCharge(now, r.Digest, charge{crash: r.Crash, expires: expires, cleared: r.Cleared})
	}
}

// Charges returns the unexpired charges of one digest, to be sent with messages about its request.
func (g *Guard) Charges(now time.Duration, digest Digest) []Charge {
	var charges []Charge
	for _, c := range g.charges[digest] {
		if now < c.expires {
			charges = append(charges, Charge{digest, c.crash, c.expires - now, c.cleared})
		}
	}
	slices.SortFunc(charges, compareCharges)
	return charges
}
