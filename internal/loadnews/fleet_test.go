package loadnews

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
)

// Sizes of the random fleets.
const (
	gates     = 4
	perGate   = 3
	entries   = 3
	multiple  = 1.25
	maxLoad   = 12
	maxTravel = 50 * time.Millisecond
	// window is the longest time for which a load counts after it was measured, travel included.
	window = admission.StaleAfter + Lifetime + 2*maxTravel
)

// message is a call or an answer on its way.
type message struct {
	at  time.Duration
	run func()
}

// world is a fleet in which loads travel with requests only.
type world struct {
	t        *testing.T
	seed     uint64
	random   *rand.Rand
	now      time.Duration
	gates    [gates]*admission.Controller
	relays   [entries]*Relay
	travel   []message
	running  map[string][]admission.ID
	waiting  [gates]map[admission.ID]string
	history  [gates][]message // loads by time, kept for the window
	peak     [gates][]int
	released bool
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), running: make(map[string][]admission.ID)}
	for g := range w.gates {
		c := admission.New(fmt.Sprint("g", g))
		c.SetPools([]admission.Pool{{
			Name: "p", LoadMultiple: multiple, MaxInFlight: maxLoad, QueueLength: 64, QueueWait: time.Hour, Targets: gates * perGate,
		}})
		for i := range perGate {
			c.SetTarget(target(g, i), "z", "p")
			c.SetCap(0, target(g, i), admission.Full(), nil)
		}
		w.gates[g] = c
		w.waiting[g] = make(map[admission.ID]string)
	}
	for i := range w.relays {
		w.relays[i] = NewRelay()
	}
	return w
}

func target(gate, i int) string { return fmt.Sprintf("t%d-%d", gate, i) }

// load is a gate's number of running requests.
func (w *world) load(gate int) int {
	sum := 0
	for i := range perGate {
		sum += len(w.running[target(gate, i)])
	}
	return sum
}

// send delivers a message after a random time.
func (w *world) send(run func()) {
	at := w.now + time.Duration(w.random.Int64N(int64(maxTravel)))
	w.travel = append(w.travel, message{at, run})
}

// call sends a request through an entry to a target.
func (w *world) call(entry, gate int) {
	name := target(gate, w.random.IntN(perGate))
	loads := w.relays[entry].For(w.now, "p", fmt.Sprint("g", gate), nil)
	w.send(func() {
		c := w.gates[gate]
		w.outcomes(gate, c.AcceptLoads(w.now, "p", loads, nil))
		decision, out := c.Submit(w.now, &admission.Request{Target: name}, nil)
		w.outcomes(gate, out)
		switch decision.Verdict {
		case admission.Start:
			w.start(gate, name, decision.ID)
		case admission.Wait:
			w.waiting[gate][decision.ID] = name
		}
		w.answer(entry, gate)
	})
}

// answer brings the loads of a gate to an entry.
func (w *world) answer(entry, gate int) {
	loads := w.gates[gate].PoolLoads("p")
	w.send(func() { w.relays[entry].Accept(w.now, loads) })
}

func (w *world) outcomes(gate int, out []admission.Outcome) {
	for _, outcome := range out {
		name := w.waiting[gate][outcome.ID]
		delete(w.waiting[gate], outcome.ID)
		if outcome.Started {
			w.start(gate, name, outcome.ID)
		}
	}
}

// start counts a request and checks the bound by true loads: those of this moment as long as no request has ended,
// and else the highest ones within the window.
func (w *world) start(gate int, name string, id admission.ID) {
	w.running[name] = append(w.running[name], id)
	w.note(gate)
	sum := 0
	for g := range gates {
		if w.released && g != gate {
			sum += w.highest(g)
		} else {
			sum += w.load(g)
		}
	}
	bound := int(math.Ceil(multiple*float64(sum)/(gates*perGate) - 1e-9))
	if load := len(w.running[name]); load > bound {
		w.t.Fatalf("seed %d at %v: %d requests at %s, bound %d", w.seed, w.now, load, name, bound)
	}
}

// note keeps a gate's load for the window.
func (w *world) note(gate int) {
	w.history[gate] = append(w.history[gate], message{at: w.now})
	w.peak[gate] = append(w.peak[gate], w.load(gate))
}

func (w *world) highest(gate int) int {
	highest := w.load(gate)
	for i := len(w.peak[gate]) - 1; i >= 0; i-- {
		highest = max(highest, w.peak[gate][i])
		if w.now-w.history[gate][i].at > window {
			break
		}
	}
	return highest
}

// release ends a random request and answers it.
func (w *world) release(gate int) {
	name := target(gate, w.random.IntN(perGate))
	if len(w.running[name]) == 0 {
		return
	}
	w.released = true
	id := w.running[name][0]
	w.running[name] = w.running[name][1:]
	w.note(gate)
	w.outcomes(gate, w.gates[gate].Release(w.now, id, true, nil))
	w.answer(w.random.IntN(entries), gate)
}

// step delivers what has arrived.
func (w *world) step() {
	w.now += time.Millisecond
	arrived := w.travel
	w.travel = nil
	for _, m := range arrived {
		if m.at > w.now {
			w.travel = append(w.travel, m)
			continue
		}
		m.run()
	}
}

func (w *world) total() int {
	sum := 0
	for g := range gates {
		sum += w.load(g)
	}
	return sum
}

// Guards against news that let a target exceed the multiple of the mean of what runs, also when calls and answers
// overtake each other, and against a limit that does not follow the demand within a few round trips.
func TestLimitFollowsNews(t *testing.T) {
	for seed := range uint64(100) {
		w := newWorld(t, seed)
		for w.total() < gates*perGate*maxLoad*9/10 {
			w.step()
			w.call(w.random.IntN(entries), w.random.IntN(gates))
			if w.now > 2*time.Second {
				t.Fatalf("seed %d: %d requests run after %v of full demand", seed, w.total(), w.now)
			}
		}
		for range 3000 {
			w.step()
			if w.random.IntN(10) < 3 {
				w.call(w.random.IntN(entries), w.random.IntN(gates))
			}
			if w.random.IntN(10) < 4 {
				w.release(w.random.IntN(gates))
			}
		}
	}
}
