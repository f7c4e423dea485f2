// Package crashguard keeps a request that crashes targets from taking down more than two of them.
//
// When a target crashes, the digest of each request that was running there is charged with the crash. A digest with
// one crash is a suspect: it may run only at a target where no other suspect runs, so that a second crash there
// names the culprit. A digest with two crashes is refused. An innocent request that happened to run at a crashed
// target is cleared as soon as it completes.
//
// Gates exchange charges by gossip. A charge is identified by digest and crash, and a crash by the target and its
// incarnation, so merging is idempotent and relays or several observers of one crash don't count twice.
package crashguard

import (
	"cmp"
	"slices"
	"time"
)

// Limits of the guard.
const (
	// Lifetime is how long a charge counts.
	Lifetime = 10 * time.Minute
	// tombstoneRetention is how long an expired charge is remembered after that, so that a delayed relay of it
	// does not bring it back.
	tombstoneRetention = time.Minute
	// SpreadTime is how long news of a crash may take to reach all gates that are connected: a few hops of heartbeats
	// sent at once, with a lost packet or one regular heartbeat interval in between.
	SpreadTime = time.Second
	// MaxDigests bounds the digests that are charged with a crash.
	MaxDigests = 4096
	// maxChargesPerDigest bounds the charges of one digest; two refuse it already.
	maxChargesPerDigest = 4
	// refusalThreshold is the number of crashes after which a digest is refused.
	refusalThreshold = 2
)

// Digest is the xxhash64 of customer and body.
type Digest uint64

// Verdict says whether a request may run.
type Verdict string

// Verdicts.
const (
	// Clean requests run anywhere.
	Clean Verdict = "clean"
	// Suspect requests run only where Guard.MayRun allows.
	Suspect Verdict = "suspect"
	// Refused requests have crashed two targets; the reason for the caller is reason.CrashSuspect.
	Refused Verdict = "refused"
)

// Crash identifies the end of one process of a target.
type Crash struct {
	Target string
	// Incarnation is that of the process that crashed, or the crash time in Unix seconds when it has none.
	Incarnation uint64
}

// charge is one crash of one digest. It moves only from counting to cleared or expired, never back.
type charge struct {
	crash   Crash
	expires time.Duration
	cleared bool
}

func (c charge) isActive(now time.Duration) bool {
	return !c.cleared && now < c.expires
}

// Guard holds charges and the requests that run at this gate's targets. It is not safe for concurrent use.
type Guard struct {
	charges map[Digest][]charge
	running map[string]map[Digest]int
}

// New returns an empty Guard.
func New() *Guard {
	return &Guard{charges: make(map[Digest][]charge), running: make(map[string]map[Digest]int)}
}

// Verdict returns whether a digest may run.
func (g *Guard) Verdict(now time.Duration, digest Digest) Verdict {
	switch count := g.crashCount(now, digest); {
	case count >= refusalThreshold:
		return Refused
	case count > 0:
		return Suspect
	}
	return Clean
}

// Crashes returns the number of crashes that the digest is charged with.
func (g *Guard) Crashes(now time.Duration, digest Digest) int {
	return g.crashCount(now, digest)
}

func (g *Guard) crashCount(now time.Duration, digest Digest) int {
	count := 0
	for _, c := range g.charges[digest] {
		if c.isActive(now) {
			count++
		}
	}
	return count
}

// Crashed charges every request that was running at the target, and forgets that they run there. Reporting the same
// crash again charges nothing twice.
func (g *Guard) Crashed(now time.Duration, crash Crash) []Digest {
	var digests []Digest
	for digest := range g.running[crash.Target] {
		digests = append(digests, digest)
	}
	slices.Sort(digests)
	delete(g.running, crash.Target)
	for _, digest := range digests {
		g.addCharge(now, digest, charge{crash: crash, expires: now + Lifetime})
	}
	return digests
}

// Completed clears a suspect whose request ran to its end at a target. Two crashes stand, because a request that
// crashes targets only sometimes may complete in between.
func (g *Guard) Completed(now time.Duration, digest Digest) {
	if g.crashCount(now, digest) >= refusalThreshold {
		return
	}
	charges := g.charges[digest]
	for i := range charges {
		charges[i].cleared = true
	}
}

// Tick forgets charges whose tombstone has expired.
func (g *Guard) Tick(now time.Duration) {
	for digest, charges := range g.charges {
		charges = slices.DeleteFunc(charges, func(c charge) bool { return now >= c.expires+tombstoneRetention })
		if len(charges) == 0 {
			delete(g.charges, digest)
			continue
		}
		g.charges[digest] = charges
	}
}

// addCharge adds a charge, or advances the one that is known. The earlier expiry wins, so relays can't extend it.
func (g *Guard) addCharge(now time.Duration, digest Digest, c charge) {
	charges, known := g.charges[digest]
	for i := range charges {
		if charges[i].crash == c.crash {
			charges[i].expires = min(charges[i].expires, c.expires)
			charges[i].cleared = charges[i].cleared || c.cleared
			return
		}
	}
	if !known && len(g.charges) >= MaxDigests {
		g.evict(now)
	}
	if len(charges) >= maxChargesPerDigest {
		i := evictionIndex(charges)
		charges = slices.Delete(charges, i, i+1)
	}
	g.charges[digest] = append(charges, c)
}

// evictionIndex returns the index of a cleared charge, or else of the one that expires first.
func evictionIndex(charges []charge) int {
	least := 0
	for i, c := range charges {
		if c.cleared == charges[least].cleared && c.expires < charges[least].expires {
			least = i
		}
		if c.cleared && !charges[least].cleared {
			least = i
		}
	}
	return least
}

// evict makes room by dropping a batch of the digests with the fewest crashes, of those the ones that expire first.
// A batch keeps the cost per charge low while a flood of crashing requests keeps the guard full.
func (g *Guard) evict(now time.Duration) {
	type ranked struct {
		digest  Digest
		crashes int
		expires time.Duration
	}
	all := make([]ranked, 0, len(g.charges))
	for digest, charges := range g.charges {
		last := time.Duration(0)
		for _, c := range charges {
			last = max(last, c.expires)
		}
		all = append(all, ranked{digest, g.crashCount(now, digest), last})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.expires, b.expires), cmp.Compare(a.digest, b.digest))
	})
	for _, r := range all[:MaxDigests/16] {
		delete(g.charges, r.digest)
	}
}

// Count returns how many digests are suspects and how many are refused.
func (g *Guard) Count(now time.Duration) (suspects, refused int) {
	for digest := range g.charges {
		switch g.Verdict(now, digest) {
		case Suspect:
			suspects++
		case Refused:
			refused++
		}
	}
	return suspects, refused
}
