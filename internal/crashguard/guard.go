// Package crashguard limits the damage of a request that crashes targets to two of them.
//
// When a target crashes, the crash is attributed to the digest of each request that was running there: each of these
// digests gets a charge. A digest with one active charge is a suspect. It may run only at a target where no other
// suspect runs, so that a second crash identifies the request that caused it. A digest with two active charges is
// refused. A harmless request that happened to run at a crashed target is cleared as soon as it completes.
//
// Requests that crash targets may also have just one part of their prompts in common; PartGuard recognizes these.
//
// Gates exchange charges by gossip. A charge is identified by digest and crash, and a crash by the target and its
// incarnation. Merging is therefore idempotent, and a crash that is relayed or observed several times counts once.
package crashguard

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Lifetime is the time after which a charge expires.
	Lifetime = 10 * time.Minute
	// tombstoneRetention is how long a charge is kept after its expiry, so that a delayed relay does not add it again.
	tombstoneRetention = time.Minute
	// PropagationTime is how long a charge may take to propagate to all connected gates: a few hops of heartbeats that are
	// sent immediately, with a lost packet or one regular heartbeat interval in between.
	PropagationTime = time.Second
	// MaxDigests is the largest number of digests for which charges are kept.
	MaxDigests = 4096
	// maxChargesPerDigest bounds the charges kept for one digest; refusalThreshold active ones already refuse it.
	maxChargesPerDigest = 4
	// refusalThreshold is the number of active charges at which a digest is refused.
	refusalThreshold = 2
)

// Digest is the xxhash64 of customer and body; see DigestOf.
type Digest uint64

// Verdict states whether and where a request may run.
type Verdict string

// Verdicts.
const (
	// Clean requests may run at any target.
	Clean Verdict = "clean"
	// Suspect requests run only where Guard.MayRun allows.
	Suspect Verdict = "suspect"
	// Refused requests have crashed two targets; the caller gets reason.CrashSuspect.
	Refused Verdict = "refused"
)

// Crash identifies the crash of one process of a target.
type Crash struct {
	Target string
	// Incarnation is that of the crashed process, or the time of the crash in Unix seconds if it has none.
	Incarnation uint64
}

// charge attributes one crash to a digest. It starts active and becomes cleared or expired; it never becomes active
// again.
type charge struct {
	crash   Crash
	expires time.Duration
	cleared bool
}

func (c charge) crashedAt() time.Duration { return c.expires - Lifetime }

func (c charge) isActive(now time.Duration) bool {
	return !c.cleared && now < c.expires
}

// Guard tracks the charges of digests and the requests that run at this gate's targets. It is not safe for concurrent
// use.
type Guard struct {
	charges map[Digest][]charge
	running map[string]map[Digest]int
}

// New returns an empty Guard.
func New() *Guard {
	return &Guard{charges: make(map[Digest][]charge), running: make(map[string]map[Digest]int)}
}

// Verdict returns whether and where a request with the digest may run.
func (g *Guard) Verdict(now time.Duration, digest Digest) Verdict {
	switch count := g.crashCount(now, digest); {
	case count >= refusalThreshold:
		return Refused
	case count > 0:
		return Suspect
	}
	return Clean
}

// Crashes returns the number of active charges of the digest.
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

// Crashed attributes a crash to every request that was running at the target, removes these requests from the running
// ones and returns their digests. Reporting the same crash again adds no charge.
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

// Completed clears a suspect whose request completed at a target. A digest that has reached the refusal threshold is
// not cleared, because a request that crashes targets only some of the time may complete in between.
func (g *Guard) Completed(now time.Duration, digest Digest) {
	if g.crashCount(now, digest) >= refusalThreshold {
		return
	}
	charges := g.charges[digest]
	for i := range charges {
		charges[i].cleared = true
	}
}

// Clear clears the charges of a digest from crashes up to a time, since its request has been answered. It returns the number
// of charges that were active.
func (g *Guard) Clear(now time.Duration, digest Digest, until time.Duration) int {
	cleared := 0
	charges := g.charges[digest]
	for i, c := range charges {
		if c.crashedAt() <= until && c.isActive(now) {
			charges[i].cleared = true
			cleared++
		}
	}
	return cleared
}

// latestCrash returns the time of the latest crash with which the digest is charged.
func (g *Guard) latestCrash(now time.Duration, digest Digest) time.Duration {
	latest := time.Duration(0)
	for _, c := range g.charges[digest] {
		if c.isActive(now) {
			latest = max(latest, c.crashedAt())
		}
	}
	return latest
}

// Tick removes charges whose tombstone has expired.
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

// addCharge adds a charge or updates the existing one. The earlier expiry is kept, so relays can't extend it.
func (g *Guard) addCharge(now time.Duration, digest Digest, c charge) {
	charges, exists := g.charges[digest]
	for i := range charges {
		if charges[i].crash == c.crash {
			charges[i].expires = min(charges[i].expires, c.expires)
			charges[i].cleared = charges[i].cleared || c.cleared
			return
		}
	}
	if !exists && len(g.charges) >= MaxDigests {
		g.evict(now)
	}
	if len(charges) >= maxChargesPerDigest {
		i := evictionIndex(charges)
		charges = slices.Delete(charges, i, i+1)
	}
	g.charges[digest] = append(charges, c)
}

// evictionIndex returns the index of the charge to evict: the cleared charge that expires first, or else the active
// charge that expires first.
func evictionIndex(charges []charge) int {
	candidate := 0
	for i, c := range charges {
		if c.cleared == charges[candidate].cleared && c.expires < charges[candidate].expires {
			candidate = i
		}
		if c.cleared && !charges[candidate].cleared {
			candidate = i
		}
	}
	return candidate
}

// evict removes a batch of the digests with the fewest crashes, and among these the ones that expire first. Evicting in
// batches keeps the cost per charge low while many crashing requests keep the guard full.
func (g *Guard) evict(now time.Duration) {
	type candidate struct {
		digest  Digest
		crashes int
		expires time.Duration
	}
	candidates := make([]candidate, 0, len(g.charges))
	for digest, charges := range g.charges {
		latest := time.Duration(0)
		for _, c := range charges {
			latest = max(latest, c.expires)
		}
		candidates = append(candidates, candidate{digest, g.crashCount(now, digest), latest})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.expires, b.expires), cmp.Compare(a.digest, b.digest))
	})
	for _, c := range candidates[:MaxDigests/16] {
		delete(g.charges, c.digest)
	}
}

// Count returns the numbers of suspect and of refused digests.
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
