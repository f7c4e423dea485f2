package crashguard

import (
	"cmp"
	"slices"
	"time"
)

// Charge is one crash of one digest as gates exchange it.
type Charge struct {
	Digest Digest
	Crash  Crash
	// Remaining is the time to the charge's expiry when the message was sent.
	Remaining time.Duration
	// Cleared says that the request has completed since, so the charge no longer counts.
	Cleared bool
}

// GossipCharges returns at most limit charges for gossip, those with the longest remaining time first, so that the newest
// reach the other gates even while many are known.
func (g *Guard) GossipCharges(now time.Duration, limit int) []Charge {
	var news []Charge
	for digest, charges := range g.charges {
		for _, c := range charges {
			if now < c.expires {
				news = append(news, Charge{digest, c.crash, c.expires - now, c.cleared})
			}
		}
	}
	slices.SortFunc(news, compareCharges)
	return news[:min(limit, len(news))]
}

// compareCharges orders by falling remaining time; the other fields make the order the same in every run.
func compareCharges(a, b Charge) int {
	return cmp.Or(
		cmp.Compare(b.Remaining, a.Remaining),
		cmp.Compare(a.Digest, b.Digest),
		cmp.Compare(a.Crash.Target, b.Crash.Target),
		cmp.Compare(a.Crash.Incarnation, b.Crash.Incarnation),
	)
}

// Merge takes over the charges that another gate knows. Merging the same news again, in any order, changes nothing.
func (g *Guard) Merge(now time.Duration, news []Charge) {
	for _, n := range news {
		if n.Remaining <= 0 {
			continue
		}
		expires := now + min(n.Remaining, Lifetime)
		g.addCharge(now, n.Digest, charge{crash: n.Crash, expires: expires, cleared: n.Cleared})
	}
}

// Charges returns the charges of one digest, for messages about its request.
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
