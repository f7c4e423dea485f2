package crashguard

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const crashingDigest, harmlessDigest, unrelatedDigest Digest = 1, 2, 3

// Guards against refusing a harmless request for a crash that another request caused, and against a suspect that
// remains one after it has completed.
func TestHarmlessRequestIsClearedAndNotRefused(t *testing.T) {
	g := New()
	g.Started(crashingDigest, "a")
	g.Started(harmlessDigest, "a")
	g.Crashed(0, Crash{"a", 1})
	for _, digest := range []Digest{crashingDigest, harmlessDigest} {
		if got := g.Verdict(1, digest); got != Suspect {
			t.Fatalf("digest %d after one crash: %s", digest, got)
		}
	}
	g.Started(crashingDigest, "b")
	if g.MayRun(2, harmlessDigest, "b") {
		t.Fatal("two suspects may run at the same target")
	}
	if !g.MayRun(2, harmlessDigest, "c") {
		t.Fatal("suspect may not run at a target without other suspects")
	}
	g.Started(harmlessDigest, "c")
	g.Crashed(3, Crash{"b", 1})
	g.Ended(harmlessDigest, "c")
	g.Completed(4, harmlessDigest)
	if got := g.Verdict(5, harmlessDigest); got != Clean {
		t.Fatalf("harmless digest after completion: %s", got)
	}
	if got := g.Verdict(5, crashingDigest); got != Refused {
		t.Fatalf("crashing digest after two crashes: %s", got)
	}
	g.Completed(6, crashingDigest)
	if got := g.Verdict(6, crashingDigest); got != Refused {
		t.Fatalf("crashing digest after a late completion of another copy: %s", got)
	}
}

// Guards against counting one crash twice because of relays, a second observer or repeated reports, which would refuse
// a harmless request.
func TestOneCrashCountsOnce(t *testing.T) {
	a, b := New(), New()
	for _, g := range []*Guard{a, b} {
		g.Started(harmlessDigest, "x")
		g.Crashed(0, Crash{"x", 7})
	}
	for range 3 {
		a.Merge(time.Second, b.GossipCharges(time.Second, 10))
		b.Merge(time.Second, a.GossipCharges(time.Second, 10))
	}
	a.Crashed(time.Second, Crash{"x", 7})
	if got := a.Crashes(time.Second, harmlessDigest); got != 1 {
		t.Fatalf("got %d crashes, want 1", got)
	}
}

// Guards against a charge that never expires because relays extend it, and against one that a delayed relay adds again
// after it has expired or been cleared.
func TestRelaysNeitherExtendNorRestoreCharges(t *testing.T) {
	a, b := New(), New()
	a.Started(harmlessDigest, "x")
	a.Crashed(0, Crash{"x", 7})
	const transit = 400 * time.Millisecond
	for now := time.Duration(0); now < Lifetime+5*time.Second; now += time.Second {
		toB, toA := a.GossipCharges(now, 10), b.GossipCharges(now, 10)
		b.Merge(now+transit, toB)
		a.Merge(now+transit, toA)
		a.Tick(now + transit)
		b.Tick(now + transit)
	}
	end := Lifetime + 5*time.Second
	if a.Verdict(end, harmlessDigest) != Clean || b.Verdict(end, harmlessDigest) != Clean {
		t.Fatal("charge is active after its lifetime")
	}

	staleCharges := []Charge{{Digest: unrelatedDigest, Crash: Crash{"y", 1}, Remaining: Lifetime}}
	a.Merge(end, staleCharges)
	a.Completed(end, unrelatedDigest)
	a.Merge(end, staleCharges)
	b.Merge(end, staleCharges)
	b.Merge(end, a.GossipCharges(end, 10))
	if a.Verdict(end, unrelatedDigest) != Clean || b.Verdict(end, unrelatedDigest) != Clean {
		t.Fatal("cleared charge is active again")
	}
}

// Guards against a second attempt of a suspect that puts more requests at risk than necessary, and against two copies
// of a suspect that crash two more targets.
func TestSuspectPlacement(t *testing.T) {
	setup := func(running map[string][]Digest) *Guard {
		g := New()
		g.Started(crashingDigest, "x")
		g.Started(harmlessDigest, "x")
		g.Crashed(0, Crash{"x", 1})
		for target, digests := range running {
			for _, digest := range digests {
				g.Started(digest, target)
			}
		}
		return g
	}
	cases := []struct {
		name    string
		running map[string][]Digest
		want    string
	}{
		{"fewest other requests", map[string][]Digest{"a": {10, 11}, "b": {12}, "c": {13, 14}}, "b"},
		{"tie goes to the first candidate", map[string][]Digest{"a": {10}, "b": {11}, "c": {12}}, "a"},
		{"target with another suspect is excluded", map[string][]Digest{"a": {10, 11}, "b": {harmlessDigest}, "c": {12}}, "c"},
		{"another copy is running", map[string][]Digest{"d": {crashingDigest}}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := setup(c.running).ChooseTarget(1, crashingDigest, []string{"a", "b", "c"})
			if got != c.want || ok != (c.want != "") {
				t.Fatalf("got %q, %v; want %q", got, ok, c.want)
			}
		})
	}
}

// Guards against memory that grows with the number of crashing requests, and against evicting a refused digest in
// favour of suspects.
func TestMemoryIsBounded(t *testing.T) {
	g := New()
	for i := range 2 {
		g.Merge(0, []Charge{{Digest: crashingDigest, Crash: Crash{fmt.Sprint(i), 1}, Remaining: time.Minute}})
	}
	for i := range 2 * MaxDigests {
		g.Merge(0, []Charge{{Digest: Digest(100 + i), Crash: Crash{"x", 1}, Remaining: Lifetime}})
	}
	if len(g.charges) > MaxDigests || g.Verdict(0, crashingDigest) != Refused {
		t.Fatalf("%d digests, crashing digest is %s", len(g.charges), g.Verdict(0, crashingDigest))
	}
	g.Tick(Lifetime + tombstoneRetention)
	if len(g.charges) != 0 {
		t.Fatalf("%d digests after expiry", len(g.charges))
	}
}

// Guards against more than two targets crashed by one request, for random orders of attempts, crashes and gossip
// between the gates. One copy runs at a time, and charges reach the gate of the next attempt before it starts.
func TestRandomCrashingRequestCrashesAtMostTwoTargets(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		guards := []*Guard{New(), New(), New()}
		crashed := 0
		now := time.Duration(0)
		for step := range 50 {
			now += time.Duration(rng.Intn(5000)) * time.Millisecond
			g := guards[rng.Intn(len(guards))]
			for _, peer := range guards {
				g.Merge(now, peer.GossipCharges(now, 100))
			}
			target := fmt.Sprint("t", rng.Intn(4))
			digest := []Digest{crashingDigest, harmlessDigest, Digest(100 + step)}[rng.Intn(3)]
			if !g.MayRun(now, digest, target) {
				continue
			}
			g.Started(digest, target)
			if digest == crashingDigest {
				crashed++
				g.Crashed(now, Crash{target, uint64(step)})
				continue
			}
			if rng.Intn(2) == 0 {
				g.Ended(digest, target)
				g.Completed(now, digest)
			}
		}
		if crashed > refusalThreshold {
			t.Fatalf("seed %d: %d targets crashed, want at most 2", seed, crashed)
		}
	}
}

func BenchmarkVerdictAndTracking(b *testing.B) {
	g := New()
	for i := range 64 {
		g.Started(Digest(1000+i), "a")
	}
	b.ReportAllocs()
	for i := range b.N {
		digest := Digest(i & 63)
		if g.MayRun(0, digest, "a") {
			g.Started(digest, "a")
			g.Ended(digest, "a")
		}
	}
}
