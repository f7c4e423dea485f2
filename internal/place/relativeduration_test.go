package place

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// ordered puts the targets of the service into the order of their IDs, since the draws of a choice depend on the order.
func ordered(p *LoadTracker) *LoadTracker {
	slices.SortFunc(p.services["s"].targets, func(a, b *targetState) int { return cmp.Compare(a.target.ID, b.target.ID) })
	return p
}

// Guards against a changed decision, or another use of random draws, in a deployment in which no target states four
// figures. The load is plain requests and prompts on targets that report three figures, with peers' loads. The wanted
// hash is that of the decisions of the package before relative durations were added, on the commit cd6a35e.
func TestDecisionsWithoutRelativeDurationsAreUnchanged(t *testing.T) {
	const wanted = 0x9b8202a5fe5a531b
	const count, slots = 12, 24
	p := ordered(picture(count, slots))
	load := rand.New(rand.NewPCG(5, 6))
	decisions := fnv.New64a()
	var running []Choice
	for i := range 20_000 {
		now := time.Duration(i) * 5 * time.Millisecond
		q := Query{Service: "s", Zone: fmt.Sprint("z", load.IntN(3)), Remaining: second}
		if i%2 == 0 {
			q = query(load.Uint64N(200), 500+load.IntN(9000))
			q.AnswerTokens = load.IntN(400)
		}
		choice, refusal := p.Choose(now, q)
		fmt.Fprintln(decisions, choice.Target.ID, choice.Rank, choice.Source, choice.Prefill, refusal != nil)
		if refusal == nil {
			p.Start(now, choice, q.Prompt)
			running = append(running, choice)
			p.Report(choice.Target.ID, now, routes.Load{Running: load.IntN(slots), Waiting: load.IntN(3), Slots: slots})
			p.ReportDuration(choice.Target.ID, now, 0)
		}
		if len(running) > 100 {
			ended := load.IntN(len(running))
			p.PromptRead(running[ended])
			took := time.Duration(load.IntN(300)) * time.Millisecond
			p.End(running[ended].Target.ID, now, Good, took)
			p.MeasureDuration(running[ended].Target.ID, now, "route", took)
			running = slices.Delete(running, ended, ended+1)
		}
		if i%50 == 0 {
			hash := rendezvous.Hash(fmt.Sprint("t", load.IntN(count)))
			p.PeerLoads("peer", now, map[uint64]Load{hash: {Requests: float64(load.IntN(20)), Prefill: load.Float64()}})
		}
	}
	fmt.Fprintln(decisions, p.rng.Uint64())
	if got := decisions.Sum64(); got != wanted {
		t.Errorf("hash of the decisions is %#x, want %#x", got, uint64(wanted))
	}
}

// Load of the plain service of deployment B, see docs/overload.md: 221 requests a second of 117 routers.
const (
	hostRouters  = 117
	hostRate     = 221
	hostInterval = 250 * time.Millisecond
	hostSlots    = 6
	hostWork     = 30 * time.Millisecond
)

// routersOf returns routers that know count targets. All of them know that some target has stated a duration.
func routersOf(count, targetCount, slots int) []*LoadTracker {
	routers := make([]*LoadTracker, count)
	for i := range routers {
		routers[i] = New(2, rand.New(rand.NewPCG(9, uint64(i))))
		other := routes.Target{ID: "other", Service: "other", Slots: 1}
		routers[i].SetTargets(0, append(targets(targetCount, slots), other), second)
		routers[i].ReportDuration("other", 0, 1)
		ordered(routers[i])
	}
	return routers
}

// margin returns four standard deviations of the share of requests that fall on a target with a probability.
func margin(probability float64, requests int) float64 {
	return 4 * math.Sqrt(probability*(1-probability)/float64(requests))
}

// Guards against routers that all send their requests to the host that was fast a moment ago. All know the same figures,
// by which one target is nine times as fast as the others, and nothing of each other's requests. A target is in 2/n of the
// pairs of n targets, and among the first three in rank for 3/n of the prompts, so it may get no larger share.
func TestRoutersDoNotConvergeOnAFastTarget(t *testing.T) {
	const age, ages = 50 * time.Millisecond, 4
	for _, c := range []struct {
		count, slots, rate, choices, intervals int
		prompts                                bool
	}{{4, hostSlots, hostRate, 2, 100, false}, {12, hostSlots, hostRate, 2, 100, false}, {140, 24, 632, rankChoices, 20, true}} {
		routers := routersOf(hostRouters, c.count, c.slots)
		perInterval := int(float64(c.rate) * hostInterval.Seconds())
		load := rand.New(rand.NewPCG(1, 1))
		var largest float64
		total := make(map[string]int)
		for i := range c.intervals {
			now := time.Duration(i) * hostInterval
			for _, router := range routers {
				for _, state := range router.services["s"].targets {
					router.ReportDuration(state.target.ID, now, 0.1+10*float64(boolToInt(state.target.ID != "t0")))
				}
			}
			counts := make(map[string]int)
			for range perInterval {
				q := Query{Service: "s", Zone: fmt.Sprint("z", load.IntN(3)), Remaining: second}
				if c.prompts {
					q = query(load.Uint64(), 8000)
				}
				id := choose(t, routers[load.IntN(len(routers))], now+age+time.Duration(load.IntN(ages))*age, q).Target.ID
				counts[id]++
				total[id]++
			}
			for _, count := range counts {
				largest = max(largest, float64(count)/float64(perInterval))
			}
		}
		allowed := float64(c.choices) / float64(c.count)
		requests := c.intervals * perInterval
		share := float64(total["t0"]) / float64(requests)
		t.Logf("%d targets, prompts %v: the fast target gets %.3f of the requests, the largest share in an interval is %.3f", c.count, c.prompts, share, largest)
		if share > allowed+margin(allowed, requests) || largest > allowed+margin(allowed, perInterval) {
			t.Errorf("%d targets, prompts %v: a share of %.3f, %.3f in one interval, want at most %.3f", c.count, c.prompts, share, largest, allowed)
		}
		if share <= 1/float64(c.count) {
			t.Errorf("%d targets, prompts %v: the fast target gets a share of %.3f, no more than the others", c.count, c.prompts, share)
		}
	}
}

// hostLoad is a load of plain requests on a service in which t0 takes factor times as long as the other targets.
type hostLoad struct {
	rate   int
	work   time.Duration
	factor float64
	// stated returns the relative duration that a target states; nil if none states one.
	stated func(actual float64) float64
	// known is a relative duration of t0 that all routers know at all times. They exchange their loads if it is set.
	known float64
}

// send sends the load from one time to another. It returns the share of t0, and the share of all requests that reach a
// target above the load limit.
func (l hostLoad) send(t *testing.T, routers []*LoadTracker, from, to time.Duration) (share, above float64) {
	t.Helper()
	type ending struct {
		at time.Duration
		do func()
	}
	load := rand.New(rand.NewPCG(2, 2))
	var running []ending
	held := make(map[string]int)
	count, mine, over, lastExchange := 0, 0, 0, from
	for now := from; now < to; now += second / time.Duration(l.rate) {
		running = slices.DeleteFunc(running, func(e ending) bool {
			if e.at <= now {
				e.do()
			}
			return e.at <= now
		})
		if l.known > 0 && now-lastExchange >= hostInterval {
			lastExchange = now
			exchangeReports(load, now, routers, fleetExchange{})
		}
		router := routers[load.IntN(len(routers))]
		router.ReportDuration("t0", now, l.known)
		choice := choose(t, router, now, Query{Service: "s", Remaining: second})
		id := choice.Target.ID
		router.Start(now, choice, Prompt{})
		held[id]++
		count++
		if mean := float64(len(running)+1) / float64(len(router.services["s"].targets)); float64(held[id]) > 2*mean+3 {
			over++
		}
		actual := 1.0
		if id == "t0" {
			mine++
			actual = l.factor
		}
		took := time.Duration(actual * (0.5 + load.Float64()) * float64(l.work))
		running = append(running, ending{now + took, func() {
			held[id]--
			router.PromptRead(choice)
			router.End(id, now+took, Good, took)
			router.MeasureDuration(id, now+took, "route", took)
			if l.stated != nil {
				router.ReportDuration(id, now+took, l.stated(actual))
			}
		}})
	}
	for _, e := range running {
		e.do()
	}
	return float64(mine) / float64(count), float64(over) / float64(count)
}

// Guards against a slow target that gets as many requests as others, that gets none at all, or that does not get its share
// again after it has recovered. A target that takes three times as long may get a third of an equal share; a recovered one
// must have four fifths of it once the older durations no longer count. One router has the load of the service here, so
// that it knows durations that are recent.
func TestSlowTargetGetsFewerRequestsUntilItRecovers(t *testing.T) {
	const equal, slow, recovered = 0.25, 20 * time.Second, 40 * time.Second
	for _, stated := range []bool{true, false} {
		routers := routersOf(1, 4, hostSlots)
		load := hostLoad{rate: hostRate, work: hostWork, factor: 3}
		if stated {
			load.stated = func(actual float64) float64 { return actual }
		}
		share, _ := load.send(t, routers, second, slow)
		load.factor = 1
		load.send(t, routers, slow, slow+measuredDurationLifetime)
		later, _ := load.send(t, routers, slow+measuredDurationLifetime, recovered)
		t.Logf("stated %v: a share of %.3f, %.3f after the recovery", stated, share, later)
		if share > equal/3 || share == 0 {
			t.Errorf("stated %v: the slow target gets a share of %.3f, want at most %.3f and some", stated, share, equal/3)
		}
		if later < equal*4/5 {
			t.Errorf("stated %v: the recovered target gets a share of %.3f, want %.3f", stated, later, equal*4/5)
		}
	}
}

// Guards against a target that gets more than twice the mean plus three requests because it always states that it is fast.
// No request ends, so the load grows until all slots are taken.
func TestFalseDurationKeepsTheLoadLimit(t *testing.T) {
	const count, slots = 12, 24
	for _, prompts := range []bool{false, true} {
		p := routersOf(1, count, slots)[0]
		running := map[string]int{}
		for i := range count * slots {
			now := second + time.Duration(i)*time.Millisecond
			for k := range count {
				p.ReportDuration(fmt.Sprint("t", k), now, 0.1+10*float64(boolToInt(k > 0)))
			}
			q := Query{Service: "s", Remaining: 5 * second}
			if prompts {
				q = query(uint64(i), 8000)
			}
			choice := choose(t, p, now, q)
			p.Start(now, choice, q.Prompt)
			p.PromptRead(choice)
			running[choice.Target.ID]++
			if mean := float64(i+1) / count; float64(running[choice.Target.ID]) > 2*mean+3 {
				t.Fatalf("prompts %v: %s has %d, mean %.1f", prompts, choice.Target.ID, running[choice.Target.ID], mean)
			}
		}
	}
}

// Guards against a fleet that exceeds the load limit at a target which falsely states that it is fast, while routers know
// each other's loads late. The load limit allows three in 100 requests above it.
func TestFalseDurationKeepsTheLoadLimitOfTheFleet(t *testing.T) {
	const allowed = 0.03
	for _, stated := range []float64{0.1, 10} {
		load := hostLoad{rate: hostRate, work: hostWork * 3 / 2, factor: 1, known: stated}
		share, above := load.send(t, routersOf(hostRouters, 4, hostSlots), second, 30*second)
		t.Logf("stated %v: a share of %.3f, %.3f of the requests above the limit", stated, share, above)
		if above > allowed {
			t.Errorf("stated %v: %.3f of the requests reach a target above the limit, want at most %.3f", stated, above, allowed)
		}
	}
}

// Guards against requests that are refused, or queued, because both targets that were drawn have no free slot or no
// connection left, while another target has.
func TestDrawnTargetsHaveRoom(t *testing.T) {
	for name, maxConnections := range map[string]int{"slots": 0, "connections": hostSlots} {
		p := routersOf(1, 4, hostSlots)[0]
		busy := 5 * hostSlots
		if maxConnections > 0 {
			busy = hostSlots - 1
		}
		occupy(p, busy, "t1", "t2", "t3")
		for range 200 {
			got := choose(t, p, second, Query{Service: "s", Remaining: 10 * time.Millisecond, MaxConnections: maxConnections})
			if got.Target.ID != "t0" {
				t.Fatalf("%s: chose %s", name, got.Target.ID)
			}
		}
	}
}

// Guards against a target that is taken for a slow one because it gets requests of a route whose responses take longer.
func TestDurationsAreComparedWithinARoute(t *testing.T) {
	p := routersOf(1, 2, hostSlots)[0]
	for range 20 {
		p.MeasureDuration("t0", second, "report", 900*time.Millisecond)
		p.MeasureDuration("t1", second, "lookup", 30*time.Millisecond)
	}
	for _, id := range []string{"t0", "t1"} {
		if got := p.byID[id].duration.now(second, measuredDurationLifetime); math.Abs(got-1) > 1e-9 {
			t.Errorf("%s takes %.2f times the usual time, want 1", id, got)
		}
	}
}

// Guards against a duration that counts for too long or outside its bounds, and against one that is unknown.
func TestRelativeDurationAges(t *testing.T) {
	p := routersOf(1, 2, hostSlots)[0]
	for _, c := range []struct {
		stated float64
		age    time.Duration
		want   float64
	}{
		{2, 0, 2}, {2, statedDurationLifetime / 2, 1.5}, {2, statedDurationLifetime, 1}, {2, time.Hour, 1}, {2, -second, 2},
		{100, 0, 3}, {1e-9, 0, 1.0 / 3}, {0.5, statedDurationLifetime / 2, 0.75},
	} {
		p.ReportDuration("t0", 10*second, c.stated)
		p.ReportDuration("t0", 10*second, 0)
		p.ReportDuration("t0", 10*second, math.NaN())
		if got := p.byID["t0"].duration.now(10*second+c.age, statedDurationLifetime); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%v after %v counts as %v, want %v", c.stated, c.age, got, c.want)
		}
	}
	if got := p.byID["t1"].duration.now(second, statedDurationLifetime); got != 1 {
		t.Errorf("an unknown duration counts as %v", got)
	}
}
