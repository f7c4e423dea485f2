package crashguard

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

const crashingDigest, harmlessDigest, unrelatedDigest Digest = 1, 2, 3

// Guards against an innocent request that is refused for a crash it had no part in, and against a suspect that
// stays one after it has completed.
func TestInnocentIsNotRefusedAndIsCleared(t *testing.T) {
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
		t.Fatal("two suspects may run at one target")
	}
	if !g.MayRun(2, harmlessDigest, "c") {
		t.Fatal("a suspect has nowhere to run")
	}
	g.Started(harmlessDigest, "c")
	g.Crashed(3, Crash{"b", 1})
	g.Ended(harmlessDigest, "c")
	g.Completed(4, harmlessDigest)
	if got := g.Verdict(5, harmlessDigest); got != Clean {
		t.Fatalf("innocent after completion: %s", got)
	}
	if got := g.Verdict(5, crashingDigest); got != Refused {
		t.Fatalf("killer after two crashes: %s", got)
	}
	g.Completed(6, crashingDigest)
	if got := g.Verdict(6, crashingDigest); got != Refused {
		t.Fatalf("killer after a late completion of another copy: %s", got)
	}
}

// Guards against relays, a second observer and repeated reports that count one crash twice, which would refuse an
// innocent request.
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
		t.Fatalf("%d crashes counted for one", got)
	}
}

// Guards against a charge that relays keep alive for ever, and against one that a delayed relay brings back after it
// has expired or been cleared.
func TestRelaysNeitherExtendNorRevive(t *testing.T) {
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
		t.Fatal("the charge outlived its lifetime")
	}

	stale := []Charge{{Digest: unrelatedDigest, Crash: Crash{"y", 1}, Remaining: Lifetime}}
	a.Merge(end, stale)
	a.Completed(end, unrelatedDigest)
	a.Merge(end, stale)
	b.Merge(end, stale)
	b.Merge(end, a.GossipCharges(end, 10))
	if a.Verdict(end, unrelatedDigest) != Clean || b.Verdict(end, unrelatedDigest) != Clean {
		t.Fatal("a cleared charge came back")
	}
}

// Guards against a suspect's second try that puts more requests at risk than necessary, and against two copies of a
// suspect that take down two more targets.
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
		{"fewest others", map[string][]Digest{"a": {10, 11}, "b": {12}, "c": {13, 14}}, "b"},
		{"tie goes to the first", map[string][]Digest{"a": {10}, "b": {11}, "c": {12}}, "a"},
		{"other suspect excludes", map[string][]Digest{"a": {10, 11}, "b": {harmlessDigest}, "c": {12}}, "c"},
		{"own copy runs", map[string][]Digest{"d": {crashingDigest}}, ""},
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

// Guards against memory that grows with the number of crashing requests, and against losing a refused digest to make
// room for suspects.
func TestMemoryIsBounded(t *testing.T) {
	g := New()
	for i := range 2 {
		g.Merge(0, []Charge{{Digest: crashingDigest, Crash: Crash{fmt.Sprint(i), 1}, Remaining: time.Minute}})
	}
	for i := range 2 * MaxDigests {
		g.Merge(0, []Charge{{Digest: Digest(100 + i), Crash: Crash{"x", 1}, Remaining: Lifetime}})
	}
	if len(g.charges) > MaxDigests || g.Verdict(0, crashingDigest) != Refused {
		t.Fatalf("%d digests, killer is %s", len(g.charges), g.Verdict(0, crashingDigest))
	}
	g.Tick(Lifetime + tombstoneRetention)
	if len(g.charges) != 0 {
		t.Fatalf("%d digests after expiry", len(g.charges))
	}
}

// Guards against more than two targets lost to one request, whatever the order of tries, crashes and gossip between
// the gates. One copy runs at a time, and news reaches the gate of the next try before it starts.
func TestRandomKillerLosesAtMostTwoTargets(t *testing.T) {
	for seed := range int64(200) {
		rng := rand.New(rand.NewSource(seed))
		guards := []*Guard{New(), New(), New()}
		lost := 0
		now := time.Duration(0)
		for step := range 50 {
			now += time.Duration(rng.Intn(5000)) * time.Millisecond
			g := guards[rng.Intn(len(guards))]
			for _, from := range guards {
				g.Merge(now, from.GossipCharges(now, 100))
			}
			target := fmt.Sprint("t", rng.Intn(4))
			digest := []Digest{crashingDigest, harmlessDigest, Digest(100 + step)}[rng.Intn(3)]
			if !g.MayRun(now, digest, target) {
				continue
			}
			g.Started(digest, target)
			if digest == crashingDigest {
				lost++
				g.Crashed(now, Crash{target, uint64(step)})
				continue
			}
			if rng.Intn(2) == 0 {
				g.Ended(digest, target)
				g.Completed(now, digest)
			}
		}
		if lost > refusalThreshold {
			t.Fatalf("seed %d: %d targets lost", seed, lost)
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
