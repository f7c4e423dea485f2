package configsync

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// testHarness drives one machine on a virtual clock.
type testHarness struct {
	machine *Machine
	now     time.Duration
}

func newTestHarness(settings Settings) *testHarness {
	return &testHarness{machine: New(settings, rand.New(rand.NewSource(1)))}
}

func (r *testHarness) step(event Event) []Effect { return r.machine.Step(r.now, event) }

// tickFor advances the clock by d and returns all effects.
func (r *testHarness) tickFor(d time.Duration) []Effect {
	const interval = 50 * time.Millisecond
	var effects []Effect
	for end := r.now + d; r.now < end; {
		r.now += interval
		effects = append(effects, r.step(Tick{})...)
	}
	return effects
}

// effectsOfType returns the effects of type T.
func effectsOfType[T Effect](effects []Effect) []T {
	var found []T
	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

// viewOf lists gates named ZONE-NUMBER as live.
func viewOf(names ...string) *membership.View {
	view := &membership.View{}
	for _, name := range names {
		gate := membership.Gate{Name: name, Zone: name[:1]}
		view.Gates = append(view.Gates, membership.Member{Gate: gate, State: membership.Live})
	}
	return view
}

// Guards against zones with no watcher or too many, and against watchers that are not live.
func TestWatchersPerZone(t *testing.T) {
	view := viewOf("a-1", "a-2", "a-3", "b-1")
	if got := Watchers(view, "b"); !slices.Equal(got, []string{"b-1"}) {
		t.Errorf("watchers of zone b are %v", got)
	}
	before := Watchers(view, "a")
	if len(before) != WatchersPerZone {
		t.Fatalf("watchers of zone a are %v", before)
	}
	for i := range view.Gates {
		if view.Gates[i].Name == before[0] {
			view.Gates[i].State = membership.Leaving
		}
	}
	after := Watchers(view, "a")
	if len(after) != WatchersPerZone || after[0] != before[1] || slices.Contains(after, before[0]) {
		t.Errorf("watchers are %v after %v left, want the second one first", after, before[0])
	}
}

// Guards against a gate without reachable peers that never gets a configuration, and against one that applies platform
// content before it has waited for peers.
func TestStartWithoutReachablePeers(t *testing.T) {
	r := newTestHarness(Settings{Self: "a-1", Zone: "a", ReadsPlatform: true})
	reads := effectsOfType[ReadPlatform](r.step(ViewChanged{viewOf("a-1", "b-1")}))
	if len(reads) != 1 {
		t.Fatalf("%d reads at the start, want 1", len(reads))
	}
	effects := r.step(PlatformAnswered{Read: reads[0].Read, Cursor: 1, Catalogue: newCatalogue(t, 4, 0)})
	effects = append(effects, r.tickFor(queryTimeout-100*time.Millisecond)...)
	if len(effectsOfType[Apply](effects))+len(effectsOfType[Ready](effects)) > 0 {
		t.Fatal("platform content is applied before the peers had time to answer")
	}
	effects = r.tickFor(200 * time.Millisecond)
	if len(effectsOfType[Apply](effects)) != 1 || len(effectsOfType[Ready](effects)) != 1 {
		t.Errorf("effects after the query timeout are %v, want Apply and Ready", effects)
	}
}

// Guards against starting with a revision below that of a peer that subsequently can't be pulled from.
func TestStartWaitsForPeersRevision(t *testing.T) {
	r := newTestHarness(Settings{Self: "a-1", Zone: "a", ReadsPlatform: true})
	read := effectsOfType[ReadPlatform](r.step(ViewChanged{viewOf("a-1", "b-1")}))[0]
	r.step(PlatformAnswered{Read: read.Read, Cursor: 1, Catalogue: newCatalogue(t, 4, 0)})
	effects := r.step(Announced{"b-1", catalogue.Version{Revision: 5, Digest: 1}})
	effects = append(effects, r.tickFor(10*time.Second)...)
	if len(effectsOfType[Apply](effects)) > 0 || r.machine.Ready() {
		t.Fatal("revision 4 is applied although a peer has 5")
	}
	if skipped := effectsOfType[Skipped](effects); len(skipped) == 0 || skipped[0].Reason != BelowFloor {
		t.Errorf("skipped are %v, want below_floor", skipped)
	}
}

// Guards against an entry that uses the platform's read budget.
func TestEntryNeverReadsThePlatform(t *testing.T) {
	r := newTestHarness(Settings{Self: "entry", Zone: "a", PeersToQuery: 2})
	effects := r.step(ViewChanged{viewOf("a-1", "a-2", "b-1")})
	effects = append(effects, r.tickFor(30*time.Second)...)
	if reads := effectsOfType[ReadPlatform](effects); len(reads) > 0 {
		t.Errorf("entry reads the platform: %v", reads)
	}
	if asks := effectsOfType[QueryPeers](effects); len(asks) == 0 || len(asks[0].Peers) != 2 {
		t.Errorf("entry asks %v, want 2 peers", asks)
	}
}

// newStartedHarness returns a ready gate that holds a catalogue and does not watch.
func newStartedHarness(t *testing.T, c *catalogue.Catalogue) *testHarness {
	r := newTestHarness(Settings{Self: "entry", Zone: "a", PeersToQuery: 3})
	r.step(ViewChanged{viewOf("a-1", "a-2", "b-1")})
	for _, peer := range []string{"a-1", "a-2", "b-1"} {
		r.step(Announced{peer, c.Version()})
	}
	pull := effectsOfType[Pull](r.tickFor(200 * time.Millisecond))[0]
	r.step(Pulled{pull.Pull, DifferenceFrom(c, nil)})
	if !r.machine.Ready() || r.machine.Current().Version() != c.Version() {
		t.Fatal("machine does not start from a peer")
	}
	return r
}

// Guards against repeated pulls from a peer that does not respond, and against pulls from a peer without the version.
func TestPullMovesToAnotherHolder(t *testing.T) {
	r := newStartedHarness(t, newCatalogue(t, 1, 0))
	next := newCatalogue(t, 2, 0).Version()
	r.step(Announced{"a-1", next})
	r.step(Announced{"b-1", next})
	pulls := effectsOfType[Pull](r.tickFor(2 * time.Second))
	if len(pulls) < 2 || pulls[0].Peer != "a-1" || pulls[1].Peer != "b-1" {
		t.Fatalf("pulls are %v, want a-1 of the own zone, then b-1", pulls)
	}
	for _, pull := range pulls {
		if pull.Peer == "a-2" {
			t.Error("a peer without the version is asked")
		}
	}
}

// Guards against pulls that carry a whole catalogue for one changed entry.
func TestDifferenceHoldsChangedEntriesOnly(t *testing.T) {
	old, new := newCatalogue(t, 1, 0), newCatalogue(t, 2, 3)
	difference := DifferenceFrom(new, Digests(old))
	if len(difference.Changed) != 1 || difference.Changed[0].Key != "customer/c0" || len(difference.Removed) != 0 {
		t.Errorf("difference is %v", difference)
	}
	have := Digests(old)
	have["pool/gone"] = 1
	if difference := DifferenceFrom(old, have); fmt.Sprint(difference.Removed) != "[pool/gone]" {
		t.Errorf("removed entries are %v", difference.Removed)
	}
}

// Guards against applying a response that does not match its digest, and against pulling a megabyte repeatedly from a
// peer running another build.
func TestMismatchIsRejectedAndBacksOff(t *testing.T) {
	r := newStartedHarness(t, newCatalogue(t, 1, 0))
	other := DifferenceFrom(newCatalogue(t, 2, 0), nil)
	other.Version.Digest++
	r.step(Announced{"b-1", other.Version})
	pulls, mismatches := 0, 0
	for end := r.now + 10*time.Minute; r.now < end; {
		for _, pull := range effectsOfType[Pull](r.tickFor(50 * time.Millisecond)) {
			pulls++
			mismatches += len(effectsOfType[Skipped](r.step(Pulled{pull.Pull, other})))
		}
	}
	if r.machine.Current().Revision != 1 || mismatches != pulls {
		t.Errorf("revision is %d after %d mismatches of %d pulls", r.machine.Current().Revision, mismatches, pulls)
	}
	const most = 20
	if pulls > most {
		t.Errorf("%d pulls of a mismatching version in 10 minutes, want at most %d", pulls, most)
	}
}

// Guards against daemons that permanently hold different contents of the same revision.
func TestSameRevisionGreaterDigestWins(t *testing.T) {
	low, high := newCatalogue(t, 2, 0), newCatalogue(t, 2, 1)
	if low.Digest() > high.Digest() {
		low, high = high, low
	}
	for _, first := range []*catalogue.Catalogue{low, high} {
		r := newStartedHarness(t, first)
		r.step(Announced{"a-1", high.Version()})
		r.step(Announced{"a-2", low.Version()})
		for _, pull := range effectsOfType[Pull](r.tickFor(time.Second)) {
			r.step(Pulled{pull.Pull, DifferenceFrom(high, Digests(pull.Base))})
		}
		if got := r.machine.Current().Version(); got != high.Version() {
			t.Errorf("version is %v from %v, want %v", got, first.Version(), high.Version())
		}
	}
}
