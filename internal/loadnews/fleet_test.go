package loadnews

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
)

// Parameters of the simulated fleets.
const (
	gateCount      = 4
	targetsPerGate = 3
	entryCount     = 3
	loadMultiple   = 1.25
	maxLoad        = 12
	maxLatency     = 50 * time.Millisecond
	// loadWindow is the longest time for which a load is taken into account after it was measured, transit included.
	loadWindow = admission.StaleAfter + MaxAge + 2*maxLatency
)

// message is a call or a reply in transit.
type message struct {
	at  time.Duration
	run func()
}

// simulation is a fleet in which loads are carried by requests and replies only.
type simulation struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand
	now         time.Duration
	gates       [gateCount]*admission.Controller
	relays      [entryCount]*Relay
	inTransit   []message
	running     map[string][]admission.ID
	waiting     [gateCount]map[admission.ID]string
	loadTimes   [gateCount][]message // times of the entries of loadHistory
	loadHistory [gateCount][]int
	released    bool
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 0)), running: make(map[string][]admission.ID)}
	for g := range s.gates {
		c := admission.New(fmt.Sprint("g", g))
		c.SetPools([]admission.Pool{{
			Name: "p", LoadMultiple: loadMultiple, MaxInFlight: maxLoad, QueueLength: 64, QueueWait: time.Hour,
			Targets: gateCount * targetsPerGate,
		}})
		for i := range targetsPerGate {
			c.SetTarget(target(g, i), "z", "p")
			c.SetCap(0, target(g, i), admission.Uncapped(), nil)
		}
		s.gates[g] = c
		s.waiting[g] = make(map[admission.ID]string)
	}
	for i := range s.relays {
		s.relays[i] = NewRelay()
	}
	return s
}

func target(gate, i int) string { return fmt.Sprintf("t%d-%d", gate, i) }

// load returns the number of running requests of a gate.
func (s *simulation) load(gate int) int {
	sum := 0
	for i := range targetsPerGate {
		sum += len(s.running[target(gate, i)])
	}
	return sum
}

// send delivers a message after a random delay.
func (s *simulation) send(run func()) {
	at := s.now + time.Duration(s.random.Int64N(int64(maxLatency)))
	s.inTransit = append(s.inTransit, message{at, run})
}

// call sends a request from an entry to a random target of the gate.
func (s *simulation) call(entry, gate int) {
	name := target(gate, s.random.IntN(targetsPerGate))
	loads := s.relays[entry].UpdatesFor(s.now, "p", fmt.Sprint("g", gate), nil)
	s.send(func() {
		c := s.gates[gate]
		s.outcomes(gate, c.AcceptLoads(s.now, "p", loads, nil))
		decision, out := c.Submit(s.now, &admission.Request{Target: name}, nil)
		s.outcomes(gate, out)
		switch decision.Verdict {
		case admission.Start:
			s.start(gate, name, decision.ID)
		case admission.Wait:
			s.waiting[gate][decision.ID] = name
		}
		s.answer(entry, gate)
	})
}

// answer sends the loads of a gate to an entry.
func (s *simulation) answer(entry, gate int) {
	loads := s.gates[gate].PoolLoads("p")
	s.send(func() { s.relays[entry].Accept(s.now, loads) })
}

func (s *simulation) outcomes(gate int, out []admission.Outcome) {
	for _, outcome := range out {
		name := s.waiting[gate][outcome.ID]
		delete(s.waiting[gate], outcome.ID)
		if outcome.Started {
			s.start(gate, name, outcome.ID)
		}
	}
}

// start records a running request and checks the bound against the actual loads: the current ones while no request has
// ended yet, and otherwise the highest ones within the window.
func (s *simulation) start(gate int, name string, id admission.ID) {
	s.running[name] = append(s.running[name], id)
	s.recordLoad(gate)
	sum := 0
	for g := range gateCount {
		if s.released && g != gate {
			sum += s.maxLoadInWindow(g)
		} else {
			sum += s.load(g)
		}
	}
	bound := int(math.Ceil(loadMultiple*float64(sum)/(gateCount*targetsPerGate) - 1e-9))
	if load := len(s.running[name]); load > bound {
		s.t.Fatalf("seed %d at %v: %d requests running at %s, bound %d", s.seed, s.now, load, name, bound)
	}
}

// recordLoad appends the current load of a gate to its history.
func (s *simulation) recordLoad(gate int) {
	s.loadTimes[gate] = append(s.loadTimes[gate], message{at: s.now})
	s.loadHistory[gate] = append(s.loadHistory[gate], s.load(gate))
}

func (s *simulation) maxLoadInWindow(gate int) int {
	highest := s.load(gate)
	for i := len(s.loadHistory[gate]) - 1; i >= 0; i-- {
		highest = max(highest, s.loadHistory[gate][i])
		if s.now-s.loadTimes[gate][i].at > loadWindow {
			break
		}
	}
	return highest
}

// release ends a random request and answers it.
func (s *simulation) release(gate int) {
	name := target(gate, s.random.IntN(targetsPerGate))
	if len(s.running[name]) == 0 {
		return
	}
	s.released = true
	id := s.running[name][0]
	s.running[name] = s.running[name][1:]
	s.recordLoad(gate)
	s.outcomes(gate, s.gates[gate].Release(s.now, id, true, nil))
	s.answer(s.random.IntN(entryCount), gate)
}

// step advances the time by 1 ms and delivers the messages that have arrived.
func (s *simulation) step() {
	s.now += time.Millisecond
	arrived := s.inTransit
	s.inTransit = nil
	for _, m := range arrived {
		if m.at > s.now {
			s.inTransit = append(s.inTransit, m)
			continue
		}
		m.run()
	}
}

func (s *simulation) total() int {
	sum := 0
	for g := range gateCount {
		sum += s.load(g)
	}
	return sum
}

// Guards against load updates that let a target exceed the multiple of the mean load, also when calls and replies
// overtake each other, and against a limit that does not follow the demand within a few round trips.
func TestLimitFollowsNews(t *testing.T) {
	for seed := range uint64(100) {
		s := newSimulation(t, seed)
		for s.total() < gateCount*targetsPerGate*maxLoad*9/10 {
			s.step()
			s.call(s.random.IntN(entryCount), s.random.IntN(gateCount))
			if s.now > 2*time.Second {
				t.Fatalf("seed %d: only %d requests running after %v of full demand", seed, s.total(), s.now)
			}
		}
		for range 3000 {
			s.step()
			if s.random.IntN(10) < 3 {
				s.call(s.random.IntN(entryCount), s.random.IntN(gateCount))
			}
			if s.random.IntN(10) < 4 {
				s.release(s.random.IntN(gateCount))
			}
		}
	}
}
