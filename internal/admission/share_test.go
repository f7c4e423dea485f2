package admission

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"
)

// usageMessage is a usage report in transit between two gates.
type usageMessage struct {
	to        int
	usage     Usage
	sentAt    time.Duration
	arrivesAt time.Duration
}

// fleetSim runs the Controllers of a fleet under delay, loss, partitions and flapping views.
type fleetSim struct {
	rng        *rand.Rand
	now        time.Duration
	gates      []*Controller
	names      []string
	demand     []float64 // requests that each gate submits per tick
	partition  []int     // gates in different partitions exchange no messages
	hiddenPeer []int     // for each gate, the index of a peer temporarily missing from its view, or -1
	hideUntil  time.Duration
	inTransit  []usageMessage
	loss       float64
	minDelay   time.Duration
	maxDelay   time.Duration
	limits     Customer
	running    [][]ID
}

const simTick = 100 * time.Millisecond

func newFleetSim(seed int64, gates int, limits Customer) *fleetSim {
	s := &fleetSim{rng: rand.New(rand.NewSource(seed)), limits: limits, maxDelay: simTick}
	for range gates {
		s.join()
	}
	s.setViews()
	return s
}

// join adds a gate. If the simulation has started, the gate receives the usage of every other gate before it is ready.
func (s *fleetSim) join() {
	name := fmt.Sprint("g", len(s.gates))
	c := s.newGate(name, uint64(1000*(len(s.gates)+1)))
	if s.now > 0 {
		for _, other := range s.gates {
			for _, usage := range other.Usages() {
				c.SetUsage(s.now, usage)
			}
		}
	}
	s.gates = append(s.gates, c)
	s.names = append(s.names, name)
	s.demand = append(s.demand, 1)
	s.partition = append(s.partition, 0)
	s.hiddenPeer = append(s.hiddenPeer, -1)
	s.running = append(s.running, nil)
}

// newGate returns the Controller of a gate with one target.
func (s *fleetSim) newGate(name string, epoch uint64) *Controller {
	c := New(name)
	c.SetEpoch(epoch)
	c.SetCustomers([]Customer{s.limits})
	c.SetPools([]Pool{{Name: "p", LoadMultiple: 1e6, MaxInFlight: 1e6, Targets: 1}})
	c.SetTarget("t-"+name, "z", "p")
	c.SetCap(s.now, "t-"+name, Uncapped(), nil)
	return c
}

func (s *fleetSim) setViews() {
	for i, c := range s.gates {
		view := slices.Clone(s.names)
		if s.hiddenPeer[i] >= 0 {
			view = slices.Delete(view, s.hiddenPeer[i], s.hiddenPeer[i]+1)
		}
		c.SetGates(s.now, view)
	}
}

// tick advances the simulation by one tick: it delivers messages, submits requests, updates shares and sends usage.
func (s *fleetSim) tick() {
	s.now += simTick
	s.deliver()
	for i, c := range s.gates {
		s.generateLoad(i, c)
		c.Tick(s.now, nil)
	}
	if s.now%shareInterval == 0 {
		s.send()
	}
}

func (s *fleetSim) generateLoad(i int, c *Controller) {
	for len(s.running[i]) > 0 && s.rng.Intn(5) == 0 {
		c.Release(s.now, s.running[i][0], true, nil)
		s.running[i] = s.running[i][1:]
	}
	for n := s.demand[i]; n > s.rng.Float64(); n-- {
		d, _ := c.Submit(s.now, &Request{Target: "t-" + s.names[i], Customer: s.limits.Name}, nil)
		if d.Verdict == Start {
			s.running[i] = append(s.running[i], d.ID)
		}
	}
}

func (s *fleetSim) send() {
	for from, c := range s.gates {
		for to := range s.gates {
			if from == to || s.partition[from] != s.partition[to] || s.rng.Float64() < s.loss {
				continue
			}
			delay := s.minDelay + time.Duration(s.rng.Int63n(int64(s.maxDelay-s.minDelay)+1))
			for _, usage := range c.Usages() {
				s.inTransit = append(s.inTransit, usageMessage{to, usage, s.now, s.now + delay})
			}
		}
	}
}

func (s *fleetSim) deliver() {
	kept := s.inTransit[:0]
	for _, message := range s.inTransit {
		if message.arrivesAt > s.now {
			kept = append(kept, message)
			continue
		}
		message.usage.Age = s.now - message.sentAt
		s.gates[message.to].SetUsage(s.now, message.usage)
	}
	s.inTransit = kept
}

// limitSums returns the sums of the gates' shares of the two limits, in requests/s and requests.
func (s *fleetSim) limitSums() (rate, concurrent float64) {
	for _, c := range s.gates {
		status := c.Snapshot(s.now).Customers[0]
		rate += status.RateLimit
		concurrent += float64(status.ConcurrencyLimit)
	}
	return rate, concurrent
}

// messageFaultKinds is the number of changes among which injectMessageFault chooses.
const messageFaultKinds = 5

// injectMessageFault makes the change with the given number: new demands, loss, delay, partitions, or an end of the
// faults.
func (s *fleetSim) injectMessageFault(change int, maxDemand float64) {
	switch change {
	case 0:
		for i := range s.demand {
			s.demand[i] = float64(s.rng.Intn(3)) * s.rng.Float64() * maxDemand
		}
	case 1:
		s.loss = s.rng.Float64()
	case 2:
		s.maxDelay = time.Duration(s.rng.Intn(5000)) * time.Millisecond
	case 3:
		for i := range s.partition {
			s.partition[i] = s.rng.Intn(2)
		}
	case 4:
		clear(s.partition)
		s.loss, s.maxDelay = 0, simTick
	}
}

// injectFault makes a random change to the fleet: a message fault, or a view that lacks a peer. At times it also adds a
// gate.
func (s *fleetSim) injectFault() {
	if change := s.rng.Intn(messageFaultKinds + 1); change < messageFaultKinds {
		s.injectMessageFault(change, 5)
	} else {
		s.hiddenPeer[s.rng.Intn(len(s.gates))] = s.rng.Intn(len(s.gates))
		s.hideUntil = s.now + 5*time.Second
		s.setViews()
	}
	if s.rng.Intn(20) == 0 && len(s.gates) < 12 {
		s.join()
		s.setViews()
	}
}

// Guards against a customer that exceeds its fleet-wide limits because gates act on different views and usage: the sum
// of the shares may exceed a limit by at most 10%, or by one request per gate, under delay, loss, partitions,
// flapping views and joining gates.
func TestShareSumStaysWithinTolerance(t *testing.T) {
	limits := []Customer{
		{Name: "large", RequestsPerSecond: 1000, Concurrent: 400},
		{Name: "small", RequestsPerSecond: 5, Concurrent: 3},
		{Name: "medium", RequestsPerSecond: 60, Concurrent: 45},
	}
	for seed := range int64(30) {
		s := newFleetSim(seed, 2+int(seed%7), limits[seed%3])
		for s.now < 5*time.Minute {
			s.tick()
			if s.hideUntil > 0 && s.now > s.hideUntil {
				for i := range s.hiddenPeer {
					s.hiddenPeer[i] = -1
				}
				s.hideUntil = 0
				s.setViews()
			}
			if s.rng.Intn(10) == 0 {
				s.injectFault()
			}
			gates := float64(len(s.gates))
			rate, concurrent := s.limitSums()
			rateLimit, concurrentLimit := s.limits.RequestsPerSecond, float64(s.limits.Concurrent)
			if rate > rateLimit+max(Tolerance*rateLimit, gates)+1e-6 {
				t.Fatalf("seed %d at %v: rate shares of %v gates add up to %v, limit %v", seed, s.now, gates, rate, rateLimit)
			}
			if concurrent > concurrentLimit+max(Tolerance*concurrentLimit, gates)+1e-6 {
				t.Fatalf("seed %d at %v: concurrency shares of %v gates add up to %v, limit %v", seed, s.now, gates, concurrent, concurrentLimit)
			}
		}
	}
}

// Guards against gates that enlarge their shares into the same unallocated part because the usage with the others'
// enlargements is still in transit: demand moves from one gate to all others at once while messages take 1.4 s.
func TestSimultaneousEnlargement(t *testing.T) {
	s := newFleetSim(1, 4, Customer{Name: "c", RequestsPerSecond: 1000, Concurrent: 1000})
	s.minDelay, s.maxDelay = 1400*time.Millisecond, 1400*time.Millisecond
	s.demand = []float64{20, 0, 0, 0}
	for s.now < 4*time.Minute {
		s.tick()
		if s.now == 2*time.Minute {
			s.demand = []float64{0, 20, 20, 20}
		}
		if rate, _ := s.limitSums(); rate > 1000*(1+Tolerance)+1e-6 {
			t.Fatalf("at %v the shares add up to %v, limit 1000", s.now, rate)
		}
	}
}

// Guards against an initial share that breaks the tolerance or is zero.
func TestFirstShare(t *testing.T) {
	cases := []struct {
		name  string
		limit float64
		fleet fleetTotals
		want  float64
	}{
		{"alone", 100, fleetTotals{gates: 1}, 1},
		{"nothing known of the others", 100, fleetTotals{gates: 4}, 0.25},
		{"joining a fleet", 100, fleetTotals{gates: 5, known: 4, allocated: 1}, 0.02},
		{"an even part is left", 100, fleetTotals{gates: 4, known: 2, recentlyStarted: 2, allocated: 0.5}, 0.25},
		{"joining an old fleet that gates have left", 100, fleetTotals{gates: 4, known: 2, recentlyStarted: 1, allocated: 0.5}, 0.025},
		{"less is left", 100, fleetTotals{gates: 4, known: 2, recentlyStarted: 2, allocated: 0.6}, 0.025},
		{"joining under a small limit", 4, fleetTotals{gates: 5, known: 4, allocated: 1}, 0.25},
		{"more gates than requests", 4, fleetTotals{gates: 10}, 0.25},
	}
	for _, tc := range cases {
		var s share
		if s.start(0, tc.limit, tc.fleet); s.fraction != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, s.fraction, tc.want)
		}
	}
}

// Guards against shares that don't follow demand, that change during a partition, or that are not rebalanced after it.
func TestSharesFollowDemandAndSurvivePartition(t *testing.T) {
	s := newFleetSim(1, 4, Customer{Name: "c", RequestsPerSecond: 100, Concurrent: 200})
	s.tick()
	rateShare := func(i int) float64 { return s.gates[i].Snapshot(s.now).Customers[0].RateLimit }
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.tick()
		}
	}
	if rateShare(0) != 25 {
		t.Fatalf("first share is %v, want an even split", rateShare(0))
	}
	s.demand = []float64{10, 0, 0, 0}
	run(time.Minute)
	if rateShare(0) < 75 {
		t.Fatalf("share of the only gate with demand is %v of 100 after a minute", rateShare(0))
	}
	s.partition = []int{0, 0, 1, 1}
	run(3 * time.Second)
	before := []float64{rateShare(0), rateShare(2)}
	s.demand = []float64{0, 0, 10, 10}
	run(time.Minute)
	if after := []float64{rateShare(0), rateShare(2)}; !slices.Equal(before, after) {
		t.Fatalf("shares %v became %v during a partition", before, after)
	}
	clear(s.partition)
	run(2 * time.Minute)
	if rateShare(2) < 30 || rateShare(3) < 30 {
		t.Fatalf("shares of the gates with demand are %v and %v after the partition", rateShare(2), rateShare(3))
	}
}

// Guards against the loss of a gate's share to the fleet when the gate leaves for good. Until departedRetention has
// elapsed, the other gates must not take the share.
func TestShareOfDepartedGateIsDivided(t *testing.T) {
	s := newFleetSim(1, 4, Customer{Name: "c", RequestsPerSecond: 100, Concurrent: 200})
	for s.now < 10*time.Second {
		s.tick()
	}
	s.gates, s.names, s.inTransit = s.gates[:3], s.names[:3], nil
	s.setViews()
	for s.now < 10*time.Second+departedRetention {
		s.tick()
		if rate, _ := s.limitSums(); rate > 75 {
			t.Fatalf("at %v: sum of the shares grew to %v while the gate that left may come back", s.now, rate)
		}
	}
	for s.now < 2*time.Minute {
		s.tick()
	}
	if rate, _ := s.limitSums(); rate < 95 {
		t.Fatalf("the shares of the three remaining gates add up to %v of 100", rate)
	}
}
