package backpressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The platform's bound on requests to a target that warms up, in a deployment with cold-per-s 10.
const (
	coldPerSecond = 10.0
	coldBound     = coldPerSecond*1.5 + 5
)

// Guards against a rate with which two groups of routers exceed the bound, and against a limit where the platform states none.
func TestWarmupRate(t *testing.T) {
	for _, test := range []struct{ perSecond, bound, want float64 }{
		{10, 20, 5}, {20, 35, 8.75}, {2, 8, 2}, {2, 4, 1}, {1, 0, minRate}, {0, 5, 0}, {-1, 5, 0}, {math.NaN(), 5, 0},
	} {
		if got := WarmupRate(test.perSecond, test.bound); got != test.want {
			t.Errorf("%v a second, at most %v: rate %v, want %v", test.perSecond, test.bound, got, test.want)
		}
	}
}

// Guards against a fleet that sends a target that warms up more requests in any second than it tolerates, under more demand
// than it may take: on a day of bursts 21 requests reached a target that tolerates 20.
func TestFleetKeepsTheBoundOfTargetsThatWarmUp(t *testing.T) {
	const step, interval, loss = 5 * time.Millisecond, 250 * time.Millisecond, 0.05
	const begin, length, duration = 2 * time.Second, 3 * time.Second, 5500 * time.Millisecond
	const targets = 4
	for _, count := range []int{69, 195} {
		for _, test := range []struct {
			name string
			// group returns which routers hear each other at a time, by the number of a router.
			group func(now time.Duration, router int) int
			// restarts reports whether a router restarts at a time. It then knows no others for one interval.
			restarts func(now time.Duration, router int) bool
		}{
			{"undisturbed", nil, nil},
			{"a zone restarts", nil, func(now time.Duration, router int) bool { return now == 3*time.Second && router%3 == 0 }},
			{"one after the other", nil, func(now time.Duration, router int) bool {
				return now == begin+time.Duration(router)*15*time.Millisecond
			}},
			{"split from the begin", func(_ time.Duration, router int) int { return router % 2 }, nil},
			{"split", func(now time.Duration, router int) int { return router % 2 * int(now/(3*time.Second)) }, nil},
			{"five hear no one", func(_ time.Duration, router int) int { return max(router-(count-6), 0) }, nil},
		} {
			t.Run(fmt.Sprint(test.name, " ", count), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(11, uint64(count)))
				routers, known := make([]*Tracker, count), make([][targets]bool, count)
				setRouters := func(now time.Duration, i int, alone bool) {
					var others []string
					for j := range count {
						if j != i && !alone && (test.group == nil || test.group(now, i) == test.group(now, j)) {
							others = append(others, fmt.Sprint("router-", j))
						}
					}
					routers[i].SetRouters(now, fmt.Sprint("router-", i), others)
				}
				for i := range routers {
					routers[i] = newTracker(uint64(i))
				}
				var arrivals [targets][]time.Duration
				for now := begin; now < duration; now += step {
					for i := range routers {
						if test.restarts != nil && test.restarts(now, i) {
							// It reads the entries before it hears from others.
							routers[i] = newTracker(uint64(i))
							setRouters(now, i, true)
							for target := range targets {
								if known[i][target] {
									routers[i].SetWarmup(now, uint64(target), WarmupRate(coldPerSecond, coldBound), begin+time.Duration(target)*interval/2+length)
								}
							}
						} else if now%interval == 0 {
							setRouters(now, i, false)
						}
						for target := range targets {
							// The entry of a target arrives with a digest, unless that is lost. The targets follow each other.
							listed := begin + time.Duration(target)*interval/2
							if now >= listed && !known[i][target] && (now-begin)%interval == 0 && rng.Float64() >= loss {
								known[i][target] = true
								routers[i].SetWarmup(now, uint64(target), WarmupRate(coldPerSecond, coldBound), listed+length)
							}
							if known[i][target] && routers[i].Admission(now, uint64(target)) == Open {
								routers[i].Took(now, uint64(target))
								if now < listed+length {
									arrivals[target] = append(arrivals[target], now)
								}
							}
						}
					}
				}
				for target, times := range arrivals {
					most, first := 0, 0
					for k, at := range times {
						for at-times[first] > time.Second {
							first++
						}
						most = max(most, k-first+1)
					}
					t.Logf("target %d: at most %d requests in a second, %d in all", target, most, len(times))
					if most > coldBound {
						t.Errorf("target %d got %d requests in a second, want at most %v", target, most, coldBound)
					}
					if len(times) == 0 {
						t.Errorf("target %d got no requests while it warmed up", target)
					}
				}
			})
		}
	}
}

// Guards against a warm-up limit that is treated as a stated one, or that lifts or outlives the other one of the two.
func TestWarmupAndStatedLimit(t *testing.T) {
	const s = time.Second
	rate := WarmupRate(coldPerSecond, coldBound)
	for _, test := range []struct {
		name  string
		steps func(*Tracker)
		at    time.Duration
		// count is the number of requests that are admitted at once, at 100 per second at most; admission holds after them.
		count     int
		admission Admission
	}{
		{"begins empty", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 4*s) }, 1 * s, 0, Cold},
		{"fills", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 4*s) }, 3 * s, 1, Cold},
		{"ends by the clock", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 4*s) }, 4 * s, 100, Open},
		{"longer by a later entry", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 2*s); tr.SetWarmup(1*s, target, rate, 4*s) }, 3 * s, 1, Cold},
		{"ended by a later entry", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 4*s); tr.SetWarmup(2*s, target, rate, 0) }, 2 * s, 100, Open},
		{"no rate", func(tr *Tracker) { tr.SetWarmup(1*s, target, 0, 4*s) }, 2 * s, 100, Open},
		{"no stated limit", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 4*s); tr.StatedLimit(2*s, target, 0, false) }, 2 * s, 1, Cold},
		{"cold again", func(tr *Tracker) { tr.SetWarmup(1*s, target, rate, 2*s); tr.SetWarmup(3*s, target, rate, 6*s) }, 3 * s, 0, Cold},
		{"stated limit is smaller", func(tr *Tracker) {
			tr.SetWarmup(1*s, target, rate, 4*s)
			tr.StatedLimit(1*s, target, 0.5, true)
		}, 2 * s, 0, Limited},
		{"stated limit is larger", func(tr *Tracker) { tr.StatedLimit(0, target, 50, true); tr.SetWarmup(1*s, target, rate, 4*s) }, 1 * s, 0, Cold},
		{"stated limit remains", func(tr *Tracker) { tr.StatedLimit(1*s, target, 2, true); tr.SetWarmup(1*s, target, rate, 2*s) }, 20 * s, 1, Limited},
		{"stated limit ends", func(tr *Tracker) {
			tr.SetWarmup(1*s, target, rate, 4*s)
			tr.StatedLimit(1*s, target, 0.5, true)
			tr.StatedLimit(3*s, target, 0, false)
		}, 3*s + 600*time.Millisecond, 1, Cold},
	} {
		tracker := newTracker(1)
		test.steps(tracker)
		count := 0
		for ; count < 100 && tracker.Admission(test.at, target) == Open; count++ {
			tracker.Took(test.at, target)
		}
		if got := tracker.Admission(test.at, target); count != test.count || got != test.admission {
			t.Errorf("%s: %d requests, then admission %v; want %d, then %v", test.name, count, got, test.count, test.admission)
		}
	}
	tracker := newTracker(1)
	tracker.SetRouters(0, "router", nil)
	tracker.SetWarmup(1*s, target, rate, 8*s)
	tracker.StatedLimit(2*s, target, 0, false)
	_, recovering := tracker.Recovering(2*s, target)
	_, _, limited := tracker.Limit(2*s, target)
	if updates := tracker.TakeUpdates(2*s, fleetUpdates); recovering || limited || len(updates) > 0 || tracker.ConfirmationDue(7*s, target) {
		t.Errorf("recovering %v, limited %v, updates %v, confirmation due %v", recovering, limited, updates, tracker.ConfirmationDue(7*s, target))
	}
	if !tracker.WarmsUp(7*s, target) {
		t.Error("the limit was forgotten before its end")
	}
	if tracker.TakeUpdates(9*s, fleetUpdates); len(tracker.limits) > 0 {
		t.Error("the limit is kept after its end")
	}
}

// Guards against a refused request that is told to return before the target may take it, or long after it is warm.
func TestWaitForTargetThatWarmsUp(t *testing.T) {
	const s = time.Second
	others := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	first, last := 0, 0
	for i, self := range others {
		tracker := newTracker(uint64(i))
		tracker.SetRouters(0, self, append(append([]string{}, others[:i]...), others[i+1:]...))
		tracker.SetWarmup(1*s, target, 5, 4*s)
		switch wait, mine := tracker.Wait(1*s, target); {
		case mine && wait == s:
			first++
		case mine && wait == 3*s:
			last++
		default:
			t.Errorf("%s: wait %v, %v", self, wait, mine)
		}
	}
	if first != 5 || last != 3 {
		t.Errorf("%d routers wait for a token and %d for the end", first, last)
	}
}
