package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Deployment A of docs/overload.md: its routers, engines and streams a second. Two thirds of a digest's 12 recipients are
// in the sender's zone.
const (
	contactRouters     = 69
	contactEngines     = 60
	contactZones       = 3
	contactRate        = 303
	contactLocalFanout = 8
	contactFanout      = 12
	contactLoss        = 0.05
	contactTries       = 4
)

// contactFleet exchanges contacts between routers, each of which knows all engines.
type contactFleet struct {
	t       *testing.T
	rng     *rand.Rand
	routers []*LoadTracker
	now     time.Duration
	silent  bool
	// connected reports whether requests pass between a router's zone and a target, datagrams whether digests pass between zones.
	connected func(zone string, target routes.Target) bool
	datagrams func(from, to string) bool
	// dials counts failed attempts by router and target, served answers by target, refused requests without answer.
	dials   map[[2]string]int
	served  map[string]int
	refused int
}

func zoneOf(router int) string { return fmt.Sprint("z", router%contactZones) }

func newContactFleet(t *testing.T, seed uint64) *contactFleet {
	f := &contactFleet{t: t, rng: rand.New(rand.NewPCG(seed, 9)), now: second, datagrams: func(string, string) bool { return true }}
	for i := range contactRouters {
		f.routers = append(f.routers, f.newRouter(i))
	}
	f.reset()
	return f
}

func (f *contactFleet) newRouter(index int) *LoadTracker {
	var others []string
	for i := range contactRouters {
		if i != index {
			others = append(others, fmt.Sprint("r", i))
		}
	}
	router := New(2, rand.New(rand.NewPCG(f.rng.Uint64(), 1)))
	router.SetTargets(f.now, targets(contactEngines, 64), second)
	router.Statements().SetRouters(f.now, fmt.Sprint("r", index), others)
	return router
}

func (f *contactFleet) reset() {
	f.dials, f.served, f.refused = map[[2]string]int{}, map[string]int{}, 0
}

func (f *contactFleet) failedDials() int {
	sum := 0
	for _, count := range f.dials {
		sum += count
	}
	return sum
}

// run sends requests for a time and counts their attempts anew.
func (f *contactFleet) run(duration time.Duration) {
	f.t.Helper()
	f.reset()
	for end, next := f.now+duration, f.now; f.now < end; f.now += time.Duration(f.rng.ExpFloat64() * float64(second) / contactRate) {
		for ; f.now >= next; next += 250 * time.Millisecond {
			f.exchange()
		}
		f.request(f.rng.IntN(contactRouters))
	}
}

func (f *contactFleet) exchange() {
	for i, sender := range f.routers {
		urgent := sender.UpdateContacts(f.now).Urgent
		contacts := sender.Contacts(f.now, 32)
		local, remote := 0, 0
		for _, j := range f.rng.Perm(contactRouters) {
			count, limit := &remote, contactFanout-contactLocalFanout
			if zoneOf(i) == zoneOf(j) {
				count, limit = &local, contactLocalFanout
			}
			if *count++; i != j && (urgent || *count <= limit) && !f.silent && f.rng.Float64() >= contactLoss && f.datagrams(zoneOf(i), zoneOf(j)) {
				f.routers[j].MergeContacts(f.now, fmt.Sprint("r", i), zoneOf(i), zoneOf(j), contacts)
			}
		}
	}
}

// request makes the tries of a request for a prompt.
func (f *contactFleet) request(index int) {
	router, q := f.routers[index], query(f.rng.Uint64N(500), 2000)
	q.Zone = zoneOf(index)
	for range contactTries {
		choice, refusal := router.Choose(f.now, q)
		if refusal != nil {
			f.t.Fatalf("refused: %+v", refusal)
		}
		id := choice.Target.ID
		router.Start(f.now, choice, q.Prompt)
		router.PromptRead(choice)
		if f.connected(q.Zone, choice.Target) {
			router.End(id, f.now, Good, 100*time.Millisecond)
			f.served[id]++
			return
		}
		router.End(id, f.now, Unreachable, 0)
		f.dials[[2]string{fmt.Sprint("r", index), id}]++
		q.Exclude = append(slices.Clone(q.Exclude), id)
	}
	f.refused++
}

// unreachable returns which engines are up if 60% are not, in all zones.
func unreachable() map[string]bool {
	dead := map[string]bool{}
	for i, target := range targets(contactEngines, 64) {
		dead[target.ID] = i%5 < 3
	}
	return dead
}

func always(string, routes.Target) bool { return true }

// Guards against each router dialing each unreachable target for as long as it is away, and against requests that end
// without an answer because all their tries go to such targets while others have room. Without reports there are about 330
// failed dials a second, and a tenth of the requests end so.
func TestFewDialsOfUnreachableTargets(t *testing.T) {
	dead := unreachable()
	for seed := range uint64(3) {
		f := newContactFleet(t, seed)
		f.connected = always
		f.run(3 * second)
		f.connected = func(_ string, target routes.Target) bool { return !dead[target.ID] }
		f.run(2 * second)
		t.Logf("seed %d, first 2 s: %d failed dials, %d requests without answer", seed, f.failedDials(), f.refused)
		f.run(10 * second)
		t.Logf("seed %d, next 10 s: %d failed dials, %d requests without answer", seed, f.failedDials(), f.refused)
		// The first three routers retry each of the 36 targets every 3 s; as many dials again may come from routers that have
		// missed reports.
		if limit := 2 * 36 * retryingRouters * 10 / 3; f.failedDials() > limit {
			t.Errorf("seed %d: %d failed dials in 10 s, want at most %d", seed, f.failedDials(), limit)
		}
		if f.refused > 10*contactRate/100 {
			t.Errorf("seed %d: %d requests without answer in 10 s, want at most 1%%", seed, f.refused)
		}
	}
}

// Guards against a cut-off zone that stops using its own targets because both other zones report them, whether or not
// their reports arrive.
func TestCutOffZoneUsesItsOwnTargets(t *testing.T) {
	sameSide := func(a, b string) bool { return (a == "z0") == (b == "z0") }
	for _, reportsArrive := range []bool{false, true} {
		f := newContactFleet(t, 4)
		f.connected = always
		f.run(3 * second)
		f.connected = func(zone string, target routes.Target) bool { return sameSide(zone, target.Zone) }
		f.datagrams = func(a, b string) bool { return reportsArrive || sameSide(a, b) }
		f.run(4 * second)
		f.run(10 * second)
		own, least := 0, contactRate
		for i := 0; i < contactEngines; i += contactZones {
			count := f.served[fmt.Sprint("t", i)]
			own += count
			least = min(least, count)
		}
		t.Logf("reports arrive: %v; zone's engines served %d, least %d; %d requests without answer, %d failed dials", reportsArrive, own, least, f.refused, f.failedDials())
		// A third of the routers gets a third of the requests, 50 for each of the zone's 20 engines.
		if want := 10 * contactRate / 3 * 9 / 10; own < want || least < 10 {
			t.Errorf("reports arrive: %v: the zone's engines served %d requests, want %d; one served %d, want 10", reportsArrive, own, want, least)
		}
	}
}

// Guards against targets that stay unused after they can be reached again.
func TestTargetsAreUsedAgain(t *testing.T) {
	dead := unreachable()
	for seed := range uint64(3) {
		f := newContactFleet(t, 10+seed)
		f.connected = func(_ string, target routes.Target) bool { return !dead[target.ID] }
		f.run(8 * second)
		f.connected = always
		// The longest backoff, and the time for which attempts are reported.
		f.run(blockMax + contactWindow)
		f.run(3 * second)
		returned := 0
		for id := range dead {
			if dead[id] {
				returned += f.served[id]
			}
		}
		fair := 3 * contactRate * 6 / 10
		t.Logf("seed %d: returned engines served %d requests in 3 s, a fair share is %d", seed, returned, fair)
		if returned < fair*8/10 {
			t.Errorf("seed %d: returned engines served %d requests in 3 s, a fair share is %d", seed, returned, fair)
		}
	}
}

// Guards against a router that has just started and dials each unreachable target as often as if it were alone.
func TestStartedRouterLearnsFromReports(t *testing.T) {
	dead := unreachable()
	for seed := range uint64(3) {
		f := newContactFleet(t, 20+seed)
		f.connected = func(_ string, target routes.Target) bool { return !dead[target.ID] }
		f.run(8 * second)
		f.routers[0] = f.newRouter(0)
		total := 0
		for range 10 {
			f.run(second)
			for key, count := range f.dials {
				if key[0] == "r0" {
					total += count
				}
			}
		}
		t.Logf("seed %d: %d failed dials in the first 10 s", seed, total)
		// It dials each of the 36 targets once at most before it knows them, if it is not one of those that retry it.
		if total > 36 {
			t.Errorf("seed %d: %d failed dials in the first 10 s, want at most 36", seed, total)
		}
	}
}

// contactPair returns a router that is not one of the first three for t0, and that router's key of t0.
func contactPair(t *testing.T) (*LoadTracker, uint64) {
	t.Helper()
	p := picture(2, 6)
	p.Statements().SetRouters(0, "self", []string{"a", "b", "c", "d", "e", "f", "g", "h"})
	state := p.byID["t0"]
	if p.retries(state) {
		t.Fatal("the test needs a router that does not rank among the first")
	}
	return p, state.instance
}

// Guards against targets that are blocked by fewer reports than two zones send or one beside an own failure, and against
// reports that block although the target was reached or for longer than they hold.
func TestBlockedByReports(t *testing.T) {
	const now = 100 * second
	type report struct {
		peer, zone string
		age        time.Duration
		reached    bool
	}
	own := func(outcome Outcome, age time.Duration) func(*LoadTracker) {
		return func(p *LoadTracker) { p.End("t0", now-age, outcome, 0) }
	}
	tests := []struct {
		name    string
		own     func(*LoadTracker)
		reports []report
		after   time.Duration
		want    bool
	}{
		{name: "one reporter", reports: []report{{peer: "a", zone: "z1"}}},
		{name: "one reporter that names two zones", reports: []report{{peer: "a", zone: "z1"}, {peer: "a", zone: "z2"}}},
		{name: "two reporters in one zone", reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z1"}}},
		{name: "two zones", reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}, want: true},
		{name: "until renewal is due", reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}, after: 2999 * time.Millisecond, want: true},
		{name: "not renewed", reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}, after: 3 * second},
		{name: "report too old", reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2", age: 3 * second}}},
		{name: "one reporter and an own failure", own: own(Unreachable, 2*second), reports: []report{{peer: "a", zone: "z1"}}, want: true},
		{name: "an own failure long ago", own: own(Unreachable, 10*second), reports: []report{{peer: "a", zone: "z1"}}},
		{name: "an own failure alone", own: own(Unreachable, 2*second)},
		{name: "a crash does not count as a failure to reach", own: own(Crashed, 2*second), reports: []report{{peer: "a", zone: "z1"}}},
		{name: "own success", own: own(Good, 900*time.Millisecond), reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}},
		{name: "own rejection", own: own(Refused, 900*time.Millisecond), reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}},
		{name: "own success before", own: own(Good, second), reports: []report{{peer: "a", zone: "z1"}, {peer: "b", zone: "z2"}}, want: true},
		{name: "reached in a reporting zone since", reports: []report{{peer: "a", zone: "z1", age: 20}, {peer: "b", zone: "z2", age: 10}, {peer: "c", zone: "z1", reached: true}}},
		{name: "reached in a reporting zone before", reports: []report{{peer: "b", zone: "z2", age: 40}, {peer: "a", zone: "z1", age: 20}, {peer: "c", zone: "z1", age: 30, reached: true}}, want: true},
		{name: "reached in the own zone since", reports: []report{{peer: "a", zone: "z1", age: 20}, {peer: "b", zone: "z2", age: 10}, {peer: "c", zone: "z0", reached: true}}},
		{name: "reached in a fourth zone", reports: []report{{peer: "a", zone: "z1", age: 20}, {peer: "b", zone: "z2", age: 10}, {peer: "c", zone: "z3", reached: true}}, want: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, instance := contactPair(t)
			if test.own != nil {
				test.own(p)
			}
			for _, r := range test.reports {
				p.MergeContacts(now, r.peer, r.zone, "z0", []Contact{{Instance: instance, Age: r.age, Reached: r.reached}})
			}
			if got := p.byID["t0"].isBlocked(now + test.after); got != test.want {
				t.Errorf("blocked: %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against reports that block a target for those who retry it, for a later instance, or without end in memory.
func TestReportsBindOneInstance(t *testing.T) {
	p, instance := contactPair(t)
	report := func(now time.Duration) {
		for i := range 20 {
			p.MergeContacts(now, fmt.Sprint("r", i), fmt.Sprint("zone", i), "zone", []Contact{{Instance: instance}, {Instance: uint64(i)}})
		}
	}
	report(second)
	state := p.byID["t0"]
	if !state.isBlocked(second) || len(state.contacts.zones) > maxReportingZones {
		t.Fatalf("blocked: %v, reports of %d zones", state.isBlocked(second), len(state.contacts.zones))
	}
	if change := p.UpdateContacts(second); change != (ContactChange{Begun: 1}) {
		t.Errorf("got %+v, want one block begun", change)
	}
	p.Statements().SetRouters(second, "self", []string{"a"})
	if change := p.UpdateContacts(second); change != (ContactChange{Ended: 1}) || state.isBlocked(second) {
		t.Errorf("one of two routers: got %+v, blocked: %v, want one block ended", change, state.isBlocked(second))
	}
	p.End("t0", second, Unreachable, 0)
	if change := p.UpdateContacts(second); change != (ContactChange{Retries: 1, Urgent: true}) {
		t.Errorf("got %+v, want one urgent retry", change)
	}
	p, _ = contactPair(t)
	report(second)
	list := targets(2, 6)
	list[0].StartedAt = 1
	p.SetTargets(second, list, second)
	if p.byID["t0"].isBlocked(second) {
		t.Error("the reports on an instance block the next one")
	}
}

// Guards against choices that differ from those without reports while no two routers have failed to reach a target.
func TestChoicesWithoutTroubleAreUnchanged(t *testing.T) {
	plain, told := picture(12, 64), picture(12, 64)
	told.Statements().SetRouters(0, "self", []string{"a", "b", "c", "d", "e", "f"})
	for i := range uint64(500) {
		now := second + time.Duration(i)*10*time.Millisecond
		state := told.byID[fmt.Sprint("t", i%12)]
		told.MergeContacts(now, "a", fmt.Sprint("z", i%3), "z0", []Contact{{Instance: state.instance}})
		if open := told.candidates(now, told.services["s"], FirstAttempt, nil).open; len(open) != 12 {
			t.Fatalf("%d candidates, want 12", len(open))
		}
		q := query(i%40, 2000)
		want, got := choose(t, plain, now, q), choose(t, told, now, q)
		if got != want {
			t.Fatalf("choice %d: got %+v, want %+v", i, got, want)
		}
		plain.Start(now, want, q.Prompt)
		told.Start(now, got, q.Prompt)
		plain.End(want.Target.ID, now, Good, time.Millisecond)
		told.End(got.Target.ID, now, Good, time.Millisecond)
		if contacts := plain.Contacts(now, 10); len(contacts) > 0 {
			t.Fatalf("reports %+v without trouble", contacts)
		}
	}
}
