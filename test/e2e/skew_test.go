package e2e

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// hotChatBody belongs to one chat that everyone continues, so that every request prefers the same engine.
func hotChatBody(turn string, tokens int) []byte {
	message := func(role, text string) map[string]string { return map[string]string{"role": role, "content": text} }
	body, _ := json.Marshal(map[string]any{
		"model": fleet.ModelPool, "stream": true, "max_tokens": tokens,
		"messages": []any{message("system", "roses"), message("user", "which rose"), message("user", turn)},
	})
	return body
}

// change is the start (1) or end (-1) of a run at an engine.
type change struct {
	at     int64
	engine int
	delta  int
}

func loadChanges(t *testing.T, f *fleet.Fleet) []change {
	t.Helper()
	var changes []change
	for i, name := range f.Names("engine") {
		for _, run := range runLog(t, f.RunLog(name)) {
			if run.Outcome == backend.Running {
				changes = append(changes, change{run.StartMS, i, 1})
			} else {
				changes = append(changes, change{run.EndMS, i, -1})
			}
		}
	}
	// At the same millisecond an end comes first, since the log does not tell the order.
	slices.SortFunc(changes, func(a, b change) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.delta, b.delta))
	})
	return changes
}

// digestAge is the age up to which the load of other engines counts.
const digestAge = 3 * time.Second

// zoneDelay is the one-way delay between zones of docs/design.md. Load counts from a gate's admission, which is not in
// the logs: a run that was admitted earlier elsewhere can begin up to this much later than one beside its gate.
const zoneDelay = 5 * time.Millisecond

// recentMax returns the greatest value of a load within digestAge before now.
type recentMax struct {
	at     []int64
	values []int
}

func (r *recentMax) add(at int64, value int) {
	for len(r.values) > 0 && r.values[len(r.values)-1] <= value {
		r.at, r.values = r.at[:len(r.at)-1], r.values[:len(r.values)-1]
	}
	r.at, r.values = append(r.at, at), append(r.values, value)
}

func (r *recentMax) get(now int64) int {
	for len(r.at) > 1 && r.at[1] <= now-digestAge.Milliseconds() {
		r.at, r.values = r.at[1:], r.values[1:]
	}
	if len(r.values) == 0 {
		return 0
	}
	return r.values[0]
}

// startsElsewhere counts the runs that begin at other engines within zoneDelay after a change.
func startsElsewhere(later []change, c change) int {
	count := 0
	for _, next := range later {
		if next.at > c.at+zoneDelay.Milliseconds() {
			break
		}
		if next.delta > 0 && next.engine != c.engine {
			count++
		}
	}
	return count
}

// checkLoadMultiple checks at the start of each run that the engine was within its limit, with the sum of loads as its
// gate may have known it: each engine's load at some time within digestAge, with the work on its way to other engines.
func checkLoadMultiple(t *testing.T, f *fleet.Fleet, multiple float64) {
	t.Helper()
	engines := len(f.Names("engine"))
	loads, recent := make([]int, engines), make([]recentMax, engines)
	over, worst := 0, 0.0
	changes := loadChanges(t, f)
	for position, c := range changes {
		loads[c.engine] += c.delta
		recent[c.engine].add(c.at, loads[c.engine])
		if c.delta < 0 {
			continue
		}
		sum, now := startsElsewhere(changes[position+1:], c), 0
		for i := range recent {
			sum += recent[i].get(c.at)
			now += loads[i]
		}
		limit := int(math.Ceil(multiple * float64(sum+1) / float64(engines)))
		if loads[c.engine] > limit {
			over++
		}
		worst = max(worst, float64(loads[c.engine])*float64(engines)/float64(now+1))
	}
	t.Logf("greatest load at an admission: %.2f times the mean of that moment; multiple %.2f", worst, multiple)
	if over > 0 {
		t.Errorf("%d runs began at an engine over its limit", over)
	}
}

// Guards against an engine that gets more than the set multiple of the mean load, since its gate counts too little:
// one hot chat, and a gate that is killed and comes back.
func TestLoadStaysWithinMultiple(t *testing.T) {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.EngineFlags = []string{"--token-time", "10ms", "--slots", "64"}
	f := start(t, spec)
	l := &load{stop: make(chan struct{}), codes: make(map[string]int)}
	entries := f.Names("entry")
	for worker := range 48 {
		l.running.Go(func() {
			for turn := 0; !l.stopped(); turn++ {
				body := hotChatBody(fmt.Sprintf("worker %d turn %d", worker, turn), 30)
				l.send(f.URL(entries[worker%len(entries)]), "rose", fmt.Sprint("worker ", worker), body)
			}
		})
	}
	time.Sleep(5 * time.Second)
	f.Kill("gate-a1")
	time.Sleep(4 * time.Second)
	must(t, f.StartNode("gate-a1"))
	time.Sleep(4 * time.Second)
	close(l.stop)
	l.running.Wait()
	t.Logf("%d whole answers, refused %v", l.whole.Load(), l.codes)
	checkLoadMultiple(t, f, spec.Model.LoadMultiple)
}
