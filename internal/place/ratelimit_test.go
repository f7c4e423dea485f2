package place

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// limitedTracker returns a tracker of targets, the first of which state a rate limit.
func limitedTracker(now time.Duration, count, limited int, rate float64) *LoadTracker {
	tracker := New(2, rand.New(rand.NewPCG(1, 2)))
	tracker.SetTargets(now, targets(count, 64), second)
	tracker.Statements().SetRouters(now, "router", nil)
	for _, target := range targets(count, 64)[:limited] {
		tracker.Stated(now, target, routes.Statements{RateLimit: rate, HasRateLimit: true})
	}
	return tracker
}

// coldTracker returns a tracker of targets, the first of which warm up for a minute, at a rate for all processes together.
func coldTracker(now time.Duration, count, cold int, rate float64) *LoadTracker {
	tracker := limitedTracker(now, count, 0, 0)
	tracker.SetWarmupRates(map[string]float64{"s": rate})
	tracker.SetTargets(now, warmingUp(targets(count, 64), cold, now+time.Minute), second)
	return tracker
}

// warmingUp lets the first targets of a list warm up until a time.
func warmingUp(list []routes.Target, cold int, until time.Duration) []routes.Target {
	for i := range list[:cold] {
		list[i].WarmupUntil = until
	}
	return list
}

// choosers are all ways in which a target is chosen: for prompts, for plain requests, and for runs that move.
var choosers = map[string]func(p *LoadTracker, now time.Duration) (Choice, bool){
	"prompt": func(p *LoadTracker, now time.Duration) (Choice, bool) {
		choice, refusal := p.Choose(now, Query{Service: "s", Prompt: Prompt{Key: 1, Tokens: 8000}, PromptTokens: 9000, Remaining: second})
		return choice, refusal == nil
	},
	"plain": func(p *LoadTracker, now time.Duration) (Choice, bool) {
		choice, refusal := p.Choose(now, Query{Service: "s", Remaining: second})
		return choice, refusal == nil
	},
	"move": func(p *LoadTracker, now time.Duration) (Choice, bool) {
		return p.ChooseDestination(now, p.byID["t2"].target, "a", nil)
	},
}

// trackers are the trackers of targets with a limit, by its source.
var trackers = map[string]func(now time.Duration, count, limited int, rate float64) *LoadTracker{
	"stated": limitedTracker, "cold": coldTracker,
}

// Guards against requests beyond a limit by any way on which a target is chosen, and against runs that move to a target that
// warms up.
func TestEveryChoiceAsksForTheLimit(t *testing.T) {
	for source, newTracker := range trackers {
		t.Run(source, func(t *testing.T) { testEveryChoiceAsksForTheLimit(t, source, newTracker) })
	}
}

func testEveryChoiceAsksForTheLimit(t *testing.T, source string, newTracker func(time.Duration, int, int, float64) *LoadTracker) {
	const rate, seconds = 2.0, 5
	for name, choose := range choosers {
		p := newTracker(0, 3, 2, rate)
		sent := map[string]int{}
		for i := range 500 {
			now := time.Duration(i) * seconds * second / 500
			choice, ok := choose(p, now)
			if !ok {
				continue
			}
			p.Start(now, choice, Prompt{Key: 1, Tokens: 8000})
			p.PromptRead(choice)
			p.End(choice.Target.ID, now, Good, time.Millisecond)
			sent[choice.Target.ID]++
		}
		for _, id := range []string{"t0", "t1"} {
			if most := int(rate*seconds) + 1; sent[id] > most {
				t.Errorf("%s: %s got %d requests in %d s, want at most %d", name, id, sent[id], seconds, most)
			}
			if source == "cold" && name == "move" && sent[id] > 0 {
				t.Errorf("%d runs moved to %s", sent[id], id)
			}
		}
	}
}

// Guards against a choice of a target that has stated that it leaves, by any way and whatever the list of targets says
// later, and against a successor that is passed over for it.
func TestEveryChoicePassesOverLeavingTargets(t *testing.T) {
	for name, choose := range choosers {
		for _, test := range []struct {
			name string
			then func(p *LoadTracker, leaving routes.Target)
			want bool
		}{
			{"stated", func(*LoadTracker, routes.Target) {}, false},
			{"later response without it", func(p *LoadTracker, leaving routes.Target) { p.Stated(3*second, leaving, routes.Statements{}) }, false},
			{"entry gone and back", func(p *LoadTracker, _ routes.Target) {
				p.SetTargets(3*second, targets(3, 64)[1:], 0)
				p.SetTargets(4*second, targets(3, 64)[1:], 0)
				p.SetTargets(5*second, targets(3, 64), 0)
			}, false},
			{"started again", func(p *LoadTracker, leaving routes.Target) {
				list := targets(3, 64)
				list[0].StartedAt++
				p.SetTargets(3*second, list, 0)
				p.Stated(4*second, leaving, routes.Statements{Leaving: true})
			}, true},
			{"other target at the address", func(p *LoadTracker, _ routes.Target) {
				list := targets(3, 64)
				list[0].ID = "next"
				p.SetTargets(3*second, list, 0)
			}, true},
		} {
			p := limitedTracker(0, 3, 0, 0)
			leaving := targets(3, 64)[0]
			p.Stated(2*second, leaving, routes.Statements{Leaving: true})
			test.then(p, leaving)
			chosen := map[string]bool{}
			for i := range 200 {
				now := 6*second + time.Duration(i)*10*time.Millisecond
				if choice, ok := choose(p, now); ok {
					p.Start(now, choice, Prompt{}) // stays in progress, so that the load passes through all targets
					chosen[choice.Target.Address] = true
				}
			}
			if chosen[leaving.Address] != test.want || len(chosen) == 0 {
				t.Errorf("%s, %s: chosen %v, want the address of the leaving target: %v", name, test.name, chosen, test.want)
			}
		}
	}
}

// Guards against a choice of a target that has asked for a pause, by any way, and against a burst at its end.
func TestEveryChoicePassesOverPausedTargets(t *testing.T) {
	const pause, step = 3 * second, 10 * time.Millisecond
	for name, choose := range choosers {
		p := limitedTracker(0, 3, 0, 0)
		paused := targets(3, 64)[0]
		p.Stated(second, paused, routes.Statements{RetryAfter: pause})
		choicesUntil := func(from, until time.Duration) int {
			count := 0
			for now := from; now < until; now += step {
				if choice, ok := choose(p, now); ok {
					p.Start(now, choice, Prompt{}) // stays in progress, so that the load passes through all targets
					if choice.Target.ID == paused.ID {
						count++
					}
				}
			}
			return count
		}
		if count := choicesUntil(second, second+pause); count > 0 {
			t.Errorf("%s: chosen %d times during the pause", name, count)
		}
		if count := choicesUntil(second+pause, second+pause+second/2); count != 1 {
			t.Errorf("%s: chosen %d times before the first response after the pause, want 1", name, count)
		}
		p.Stated(second+pause+second/2, paused, routes.Statements{})
		if count := choicesUntil(second+pause+second/2, 2*second+pause); count < 2 {
			t.Errorf("%s: chosen %d times after the first response", name, count)
		}
	}
}

// Guards against clients that return before any target takes requests, or after a pause that only some have asked for.
func TestRetryAfterIsTheShortestPause(t *testing.T) {
	p := limitedTracker(0, 3, 0, 0)
	list := targets(3, 64)
	p.Stated(0, list[0], routes.Statements{RetryAfter: 5 * second})
	p.Stated(0, list[1], routes.Statements{RetryAfter: 3 * second})
	if wait, passedOver := p.RejectedRetryAfter(second, "s"); passedOver {
		t.Errorf("Retry-After %v although a target takes requests", wait)
	}
	p.Stated(0, list[2], routes.Statements{RetryAfter: 8 * second})
	wait, passedOver := p.RejectedRetryAfter(second, "s")
	_, refusal := p.Choose(second, Query{Service: "s", Remaining: 6 * second})
	if refusal == nil {
		t.Fatal("a target that has asked for a pause was chosen")
	}
	for _, wait := range []time.Duration{wait, refusal.RetryAfter} {
		if wait < 2*second || wait > 2*second+maxReturnSpread || !passedOver {
			t.Errorf("Retry-After %v, want 2 s and up to %v more", wait, maxReturnSpread)
		}
	}
}

// Guards against requests that wait for a target although none may take them, and against clients that all return at
// the same time.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	testRequestsBeyondAllLimits(t, limitedTracker(0, 3, 3, 1), reason.OverLimit)
	testRequestsBeyondAllLimits(t, coldTracker(0, 3, 3, 1), reason.Cold)
	// The reason is that of the target that may be chosen first.
	p := coldTracker(0, 4, 3, 1)
	p.Stated(0, targets(4, 64)[3], routes.Statements{RetryAfter: second / 2})
	testRequestsBeyondAllLimits(t, p, reason.OverLimit)
	p.Stated(0, targets(4, 64)[3], routes.Statements{RetryAfter: 2 * second})
	testRequestsBeyondAllLimits(t, p, reason.Cold)
}

func testRequestsBeyondAllLimits(t *testing.T, p *LoadTracker, want reason.Reason) {
	t.Helper()
	times := map[time.Duration]bool{}
	refused := 0
	for range 20 {
		choice, refusal := p.Choose(second/100, Query{Service: "s", Remaining: 6 * second})
		if refusal == nil {
			p.Start(second/100, choice, Prompt{})
			continue
		}
		refused++
		times[refusal.RetryAfter] = true
		if refusal.Reason != want || refusal.RetryAfter < minLimitRetryAfter || refusal.RetryAfter > 2*second {
			t.Errorf("refusal %+v", refusal)
		}
	}
	if refused < 17 || len(times) < refused/2 {
		t.Errorf("%d of 20 requests refused with %d different times", refused, len(times))
	}
}

// Guards against targets without a limit that drown in the requests of those with one: clients leave before a response
// begins, and nobody is served in time.
func TestTargetsWithoutLimitAreNotFlooded(t *testing.T) {
	for source, newTracker := range trackers {
		t.Run(source, func(t *testing.T) { testTargetsWithoutLimitAreNotFlooded(t, newTracker(0, 12, 11, 0.2)) })
	}
}

func testTargetsWithoutLimitAreNotFlooded(t *testing.T, p *LoadTracker) {
	// One of twelve engines has no limit. It answers a request every 25 ms, one after the other, and gets three times as many.
	const service, clientPatience, duration = 25 * time.Millisecond, 2 * second, 20 * second
	rng := rand.New(rand.NewPCG(5, 5))
	free := rendezvous.Hash("t11")
	type pending struct {
		choice Choice
		at     time.Duration
	}
	var queue []pending
	busyUntil, served, abandoned := time.Duration(0), 0, 0
	for now := time.Duration(0); now < duration; now += time.Duration(rng.ExpFloat64() * float64(service) / 3) {
		for len(queue) > 0 && max(busyUntil, queue[0].at)+service <= now {
			busyUntil = max(busyUntil, queue[0].at) + service
			if busyUntil-queue[0].at < clientPatience {
				served++
			} else {
				abandoned++
			}
			p.PromptRead(queue[0].choice)
			p.End(queue[0].choice.Target.ID, busyUntil, Good, service)
			queue = queue[1:]
		}
		choice, refusal := p.Choose(now, Query{Service: "s", Prompt: Prompt{Key: rng.Uint64N(30) + 1, Tokens: 2000}, PromptTokens: 2100, Remaining: 6 * second})
		if refusal != nil {
			continue
		}
		p.Start(now, choice, Prompt{})
		if rendezvous.Hash(choice.Target.ID) != free {
			p.PromptRead(choice)
			p.End(choice.Target.ID, now, Good, service)
			continue
		}
		queue = append(queue, pending{choice, now})
	}
	t.Logf("%d served in time, %d too late", served, abandoned)
	if abandoned > 0 {
		t.Errorf("%d requests answered after their clients had left", abandoned)
	}
	if most := float64(duration / service); float64(served) < 0.8*most {
		t.Errorf("%d requests answered in time, want at least 0.8 of %v", served, most)
	}
}

// Guards against prompts that stay on the targets that took them over, which are then loaded far above the others.
func TestPromptsReturnAfterLimitsHaveEnded(t *testing.T) {
	const prompts, count, limited = 60, 12, 9
	p := limitedTracker(0, count, limited, 0.2)
	place := func(now time.Duration) map[string]int {
		holders := map[string]int{}
		for key := range uint64(prompts) {
			choice, refusal := p.Choose(now, query(key+1, 8000))
			if refusal != nil {
				t.Fatalf("refusal %+v", refusal)
			}
			p.Start(now, choice, query(key+1, 8000).Prompt)
			p.PromptRead(choice)
			p.End(choice.Target.ID, now, Good, time.Millisecond)
			holders[choice.Target.ID]++
		}
		return holders
	}
	before := place(second)
	for _, target := range targets(count, 64)[:limited] {
		p.Stated(2*second, target, routes.Statements{})
	}
	after := place(3 * second)
	share := func(holders map[string]int) int {
		kept := 0
		for _, target := range targets(count, 64)[limited:] {
			kept += holders[target.ID]
		}
		return kept
	}
	if share(before) < prompts-limited || share(after) > 2*prompts*(count-limited)/count {
		t.Errorf("the targets without a limit had %d of %d prompts during the limits, %d after them", share(before), prompts, share(after))
	}
}

// Load parameters of the hanamichi-rose-large deployment, of whose engines most state a rate limit for some seconds.
const (
	largeRouters = 195
	largeEngines = 78
	largeLimited = 55
	largeSlots   = 64
	// largeLimit is the stated limit in requests a second, about half of what an engine gets without it.
	largeLimit   = 3.0
	largeRate    = 550
	largePrompts = 1500
	largeTokens  = 7000
	// Answers take largeAnswer on average, a tenth of them ten times as long as the others.
	largeAnswer = 800 * time.Millisecond
)

// limitedFleetResult holds the outcome of a simulation of a fleet with rate limits.
type limitedFleetResult struct {
	// overloaded is the largest fraction of the requests in any window of the platform's rule on loads that reached an
	// engine above the load limit.
	overloaded float64
	// noticedAfter is the time from the end of the limits until every engine has got a request.
	noticedAfter time.Duration
	// mostAtLimited is the largest number of requests that a limited engine got in a window of the rule on limits.
	mostAtLimited int
}

// simulateLimitedFleet simulates a fleet whose engines have limits from begin to end. They state them or, if warmupRate is
// above 0, are known to warm up.
func simulateLimitedFleet(t *testing.T, seed uint64, warmupRate float64) limitedFleetResult {
	t.Helper()
	const begin, end, duration = 1 * second, 6 * second, 14 * second
	const loadWindow = 5 * second
	limitedAfter, stableWindow, limitWindow := 3*second, 3*second, 4*second
	if warmupRate > 0 {
		limitedAfter, limitWindow = 0, second
	}
	rng := rand.New(rand.NewPCG(seed, 0))
	list := targets(largeEngines, largeSlots)
	index := map[string]int{}
	for i, target := range list {
		index[target.ID] = i
	}
	addresses := make([]string, largeRouters)
	for i := range addresses {
		addresses[i] = fmt.Sprint("router-", i)
	}
	routers := make([]*LoadTracker, largeRouters)
	for i := range routers {
		routers[i] = New(2, rand.New(rand.NewPCG(seed, uint64(i)+1)))
		routers[i].SetTargets(0, list, second)
		routers[i].Statements().SetRouters(0, addresses[i], slices.Delete(slices.Clone(addresses), i, i+1))
		routers[i].SetCachesKnown()
		routers[i].SetWarmupRates(map[string]float64{"s": warmupRate})
	}
	cold := false
	type event struct {
		at time.Duration
		do func(now time.Duration)
	}
	var scheduled []event
	schedule := func(at time.Duration, do func(time.Duration)) {
		i, _ := slices.BinarySearchFunc(scheduled, at, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
		scheduled = slices.Insert(scheduled, i, event{at, do})
	}
	load := make([]int, largeEngines)
	atLimited := make([][]time.Duration, largeLimited)
	asked := make([]bool, largeEngines)
	running, missing := 0, largeLimited
	var result limitedFleetResult
	var requests, overloaded []time.Duration
	lastExchange := time.Duration(0)
	for now := time.Duration(0); now < duration; now += time.Duration(rng.ExpFloat64() * float64(second) / largeRate) {
		if now-lastExchange >= fleetInterval {
			lastExchange = now
			exchangeReports(rng, now, routers, fleetExchange{relays: true})
			for _, sender := range routers {
				updates := sender.Statements().TakeUpdates(now, 16)
				for _, i := range rng.Perm(largeRouters)[:fleetFanout] {
					for _, update := range updates {
						routers[i].Statements().Merge(now, update)
					}
				}
			}
		}
		if now >= begin && warmupRate > 0 && !cold {
			cold = true
			for _, router := range routers {
				router.SetTargets(now, warmingUp(targets(largeEngines, largeSlots), largeLimited, end), second)
			}
		}
		for len(scheduled) > 0 && scheduled[0].at <= now {
			next := scheduled[0]
			scheduled = scheduled[1:]
			next.do(next.at)
		}
		router := routers[rng.IntN(largeRouters)]
		q := query(rng.Uint64N(largePrompts)+1, largeTokens)
		choice, refusal := router.Choose(now, q)
		if refusal != nil {
			t.Fatalf("refused at %v: %+v", now, refusal)
		}
		router.Start(now, choice, q.Prompt)
		i := index[choice.Target.ID]
		if now >= end+stableWindow {
			requests = append(requests, now)
			if mean := float64(running) / largeEngines; float64(load[i]) > 2*mean+3 {
				overloaded = append(overloaded, now)
			}
		}
		load[i]++
		running++
		limited := i < largeLimited && now >= begin && now < end
		if limited && now >= begin+limitedAfter {
			atLimited[i] = append(atLimited[i], now)
		}
		if now >= end && i < largeLimited && !asked[i] {
			asked[i] = true
			if missing--; missing == 0 {
				result.noticedAfter = now - end
			}
		}
		answer := time.Duration(rng.ExpFloat64() * float64(largeAnswer) / 1.9)
		if rng.IntN(10) == 0 {
			answer *= 10
		}
		schedule(now+50*time.Millisecond, func(at time.Duration) {
			router.PromptRead(choice)
			router.Report(choice.Target.ID, at, routes.Load{Running: load[i], Slots: largeSlots})
			router.Stated(at, choice.Target, routes.Statements{RateLimit: largeLimit, HasRateLimit: limited && warmupRate == 0})
		})
		schedule(now+50*time.Millisecond+answer, func(at time.Duration) {
			router.End(choice.Target.ID, at, Good, at-now)
			load[i]--
			running--
		})
	}
	if missing > 0 {
		result.noticedAfter = duration
	}
	for _, at := range requests {
		if over := countWithin(overloaded, at, loadWindow); over >= 20 {
			result.overloaded = max(result.overloaded, float64(over)/float64(countWithin(requests, at, loadWindow)))
		}
	}
	for _, times := range atLimited {
		for _, at := range times {
			result.mostAtLimited = max(result.mostAtLimited, countWithin(times, at, limitWindow))
		}
	}
	return result
}

// countWithin returns the number of sorted times in the window that begins at from.
func countWithin(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	last, _ := slices.BinarySearch(times, from+window)
	return last - first
}

// Guards against engines that get far more requests than the others after the limits of those have ended: no router knows
// the end while no router has a reason to ask them.
func TestLargeFleetSpreadsLoadAfterLimits(t *testing.T) {
	// Of the requests in five seconds 3 in 100 may reach engines above the load limit. A limited engine may get 1.5 times
	// what its limit allows in four seconds, and 5 more.
	const mostOverloaded, mostAtLimited = 0.03, 1.5*4*largeLimit + 5
	result := simulateLimitedFleet(t, 1, 0)
	t.Logf("%.3f of the requests at engines above the load limit, each engine asked within %v, at most %d requests at a limited engine",
		result.overloaded, result.noticedAfter, result.mostAtLimited)
	if result.overloaded > mostOverloaded {
		t.Errorf("%.3f of the requests reached engines above the load limit, want at most %v", result.overloaded, mostOverloaded)
	}
	if result.mostAtLimited > mostAtLimited {
		t.Errorf("a limited engine got %d requests in 4 s, want at most %v", result.mostAtLimited, mostAtLimited)
	}
}

// Guards against a service in which most targets warm up that refuses requests, floods those that are warm, sends the others
// more than they tolerate, or does not return to normal afterwards.
func TestLargeFleetServesWhileMostTargetsWarmUp(t *testing.T) {
	// The engines tolerate 10 requests a second, and may get 1.5 times as many and 5 more in any second.
	const perSecond, mostOverloaded = 10, 0.03
	const mostAtCold = 1.5*perSecond + 5
	result := simulateLimitedFleet(t, 1, backpressure.WarmupRate(perSecond, mostAtCold))
	t.Logf("%.3f of the requests at engines above the load limit, each engine asked within %v, at most %d requests at an engine that warms up",
		result.overloaded, result.noticedAfter, result.mostAtLimited)
	if result.overloaded > mostOverloaded {
		t.Errorf("%.3f of the requests reached engines above the load limit, want at most %v", result.overloaded, mostOverloaded)
	}
	if result.mostAtLimited > mostAtCold || result.mostAtLimited == 0 {
		t.Errorf("an engine that warms up got %d requests in a second, want 1 to %v", result.mostAtLimited, mostAtCold)
	}
}

// Guards against routers that send a target which has just started more than it tolerates, on a day of bursts: 21 requests
// in a second were seen, and 20 are allowed. New targets are preferred, since they are the least loaded.
func TestFleetKeepsTheBoundOfNewTargetsInBursts(t *testing.T) {
	// The deployment sends 303 prompts a second to 60 engines, and four times as many in a burst.
	const routerCount, engines, slots, added, burst, perSecond, bound = 69, 60, 64, 3, 4 * 303, 10, 20
	const begin, end = 1 * second, 4 * second
	most := func(rate float64) int {
		rng := rand.New(rand.NewPCG(3, 3))
		list := targets(engines, slots)
		var addresses []string
		for i := range routerCount {
			addresses = append(addresses, fmt.Sprint("router-", i))
		}
		routers := make([]*LoadTracker, routerCount)
		for i := range routers {
			routers[i] = New(2, rand.New(rand.NewPCG(3, uint64(i))))
			routers[i].SetTargets(0, list[added:], second)
			routers[i].Statements().SetRouters(0, addresses[i], slices.Delete(slices.Clone(addresses), i, i+1))
			routers[i].SetWarmupRates(map[string]float64{"s": rate})
		}
		arrivals, result, exchanged, listed := map[string][]time.Duration{}, 0, time.Duration(0), false
		var ends []func()
		for now := time.Duration(0); now < end; now += second / burst {
			if now >= begin && !listed {
				listed = true
				for _, router := range routers {
					router.SetTargets(now, warmingUp(targets(engines, slots), added, end), second)
				}
			}
			if now-exchanged >= fleetInterval {
				exchanged = now
				exchangeReports(rng, now, routers, fleetExchange{relays: true})
			}
			router := routers[rng.IntN(routerCount)]
			q := query(rng.Uint64(), 600)
			if rng.IntN(2) == 0 {
				q.Prompt = Prompt{}
			}
			choice := choose(t, router, now, q)
			router.Start(now, choice, q.Prompt)
			// Each request ends after those that came in the next second.
			ends = append(ends, func() { router.PromptRead(choice); router.End(choice.Target.ID, now, Good, second) })
			if len(ends) > burst {
				ends[0]()
				ends = ends[1:]
			}
			if choice.Target.WarmupUntil > now {
				times := append(arrivals[choice.Target.ID], now)
				arrivals[choice.Target.ID] = times
				result = max(result, countWithin(times, now-second, second+1))
			}
		}
		return result
	}
	unlimited, got := most(0), most(backpressure.WarmupRate(perSecond, bound))
	t.Logf("at most %d requests in a second at a target, %d without a limit", got, unlimited)
	if unlimited <= bound {
		t.Errorf("at most %d requests in a second without a limit: the test's load is too low", unlimited)
	}
	if got > bound || got == 0 {
		t.Errorf("a target that warms up got %d requests in a second, want 1 to %d", got, bound)
	}
}

// Guards against decisions that change where a service has no limit for targets that warm up.
func TestNoWarmupLimitWithoutRate(t *testing.T) {
	unknown, known := limitedTracker(0, 6, 0, 0), limitedTracker(0, 6, 0, 0)
	unknown.SetTargets(0, targets(6, 64), second)
	known.SetWarmupRates(map[string]float64{"other": 5})
	known.SetTargets(0, warmingUp(targets(6, 64), 4, time.Minute), second)
	for _, p := range []*LoadTracker{unknown, known} {
		// Targets are compared in this order, with a random part.
		slices.SortFunc(p.services["s"].targets, func(a, b *targetState) int { return cmp.Compare(a.target.ID, b.target.ID) })
	}
	for i := range 300 {
		now := time.Duration(i) * 5 * time.Millisecond
		for name, choose := range choosers {
			want, wantOK := choose(unknown, now)
			got, ok := choose(known, now)
			if want.Target.ID != got.Target.ID || ok != wantOK {
				t.Fatalf("%s: request %d goes to %q, %v, want %q, %v", name, i, got.Target.ID, ok, want.Target.ID, wantOK)
			}
			if ok {
				unknown.Start(now, want, Prompt{})
				known.Start(now, got, Prompt{})
			}
		}
	}
}
