package admission

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// scheduleSeeds returns the seeds of the random schedules, or the one that AMARANTH_SEED names.
func scheduleSeeds(t *testing.T, count int64) []int64 {
	t.Helper()
	if text := os.Getenv("AMARANTH_SEED"); text != "" {
		seed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []int64{seed}
	}
	seeds := make([]int64, count)
	for i := range seeds {
		seeds[i] = int64(i)
	}
	return seeds
}

// failingSim is a fleet whose gates are also killed, restarted and frozen.
type failingSim struct {
	*fleetSim
	dead   []bool
	frozen []time.Duration // until when
	epoch  uint64
}

func (s *failingSim) stopped(i int) bool { return s.dead[i] || s.frozen[i] > s.now }

// fail kills, freezes or restarts one random gate. One gate runs at any time: a gate that starts and reaches none can't
// know their shares.
func (s *failingSim) fail() {
	i := s.rng.Intn(len(s.gates))
	others := 0
	for j := range s.gates {
		if j != i && !s.stopped(j) {
			others++
		}
	}
	switch action := s.rng.Intn(4); {
	case others == 0:
	case action == 0:
		s.dead[i] = true
		s.queue = slices.DeleteFunc(s.queue, func(g usageMessage) bool { return g.to == i })
	case action == 1:
		s.frozen[i] = s.now + time.Duration(s.rng.Intn(25000))*time.Millisecond
	default:
		if s.dead[i] {
			s.restart(i)
		}
	}
}

// restart starts a new process of a gate with the usage of the running gates, which a gate collects before it is ready.
func (s *failingSim) restart(i int) {
	s.epoch += 1000
	c := s.newGate(s.names[i], s.epoch)
	for j, other := range s.gates {
		if j != i && !s.stopped(j) {
			for _, use := range other.Uses() {
				c.SetUse(s.now, use)
			}
		}
	}
	s.gates[i], s.running[i], s.dead[i], s.frozen[i] = c, nil, false, 0
	s.view(i)
}

// view sets a gate's view of the fleet. Gates disagree for a time on whether a gate that stopped has left.
func (s *failingSim) view(i int) {
	var names []string
	for j, name := range s.names {
		if !s.stopped(j) || s.rng.Intn(2) == 0 {
			names = append(names, name)
		}
	}
	s.gates[i].SetGates(s.now, names)
}

func (s *failingSim) tick() {
	s.now += simTick
	for i, c := range s.gates {
		if s.stopped(i) {
			continue
		}
		s.receive(i)
		s.load(i, c)
		c.Tick(s.now, nil)
		if s.rng.Intn(20) == 0 {
			s.view(i)
		}
		if s.now%shareInterval == 0 {
			s.broadcast(i)
		}
	}
}

// receive delivers to one gate. A message that waited for a frozen gate seems as young as if it had been read at once.
func (s *failingSim) receive(i int) {
	s.queue = slices.DeleteFunc(s.queue, func(g usageMessage) bool {
		if g.to != i || g.arrives > s.now {
			return false
		}
		g.use.Age = g.arrives - g.sent + simTick
		s.gates[i].SetUse(s.now, g.use)
		return true
	})
}

func (s *failingSim) broadcast(from int) {
	for to := range s.gates {
		if to == from || s.dead[to] || s.partition[from] != s.partition[to] || s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(s.rng.Int63n(int64(s.maxDelay) + 1))
		for _, use := range s.gates[from].Uses() {
			s.queue = append(s.queue, usageMessage{to, use, s.now, s.now + delay})
		}
	}
}

// sum returns the sum of the rate shares, and of the concurrency shares, that gates use now.
func (s *failingSim) sum() (rate, concurrent float64) {
	for i, c := range s.gates {
		if !s.stopped(i) {
			shares := c.customers[s.limits.Name].shares
			rate += shares[rateLimit].fraction
			concurrent += shares[concurrencyLimit].fraction
		}
	}
	return rate, concurrent
}

func newFailingSim(seed int64, gates int) *failingSim {
	limits := Customer{Name: "c", RequestsPerSecond: 1000, Concurrent: 1000}
	sim := newFleetSim(seed, gates, limits)
	return &failingSim{sim, make([]bool, gates), make([]time.Duration, gates), 1 << 32}
}

// Guards against a share that two gates use at once, or that no gate gets back, when messages with grants are lost,
// late or repeated and gates are partitioned, killed, restarted and frozen.
func TestShareSumUnderFailures(t *testing.T) {
	worst := 0.0
	for _, seed := range scheduleSeeds(t, 40) {
		s := newFailingSim(seed, 3+int(seed%6))
		calm := 5 * time.Minute
		for s.now < calm+time.Minute {
			switch {
			case s.now == calm:
				clear(s.partition)
				s.loss, s.maxDelay = 0, simTick
				for i := range s.gates {
					s.frozen[i] = min(s.frozen[i], s.now)
					if s.dead[i] {
						s.restart(i)
					}
				}
			case s.now < calm && s.rng.Intn(10) == 0:
				s.disturbMessages(s.rng.Intn(messageFaults), 100)
			case s.now < calm && s.rng.Intn(50) == 0:
				s.fail()
			}
			s.tick()
			rate, concurrent := s.sum()
			worst = max(worst, rate, concurrent)
			if most := 1 + Tolerance + 1e-6; rate > most || concurrent > most {
				t.Fatalf("seed %d at %v: the shares add up to %.3f and %.3f of the limits", seed, s.now, rate, concurrent)
			}
		}
		if rate, concurrent := s.sum(); rate < 0.9 || concurrent < 0.9 {
			t.Errorf("seed %d: a minute after the last failure the shares add up to %.3f and %.3f of the limits", seed, rate, concurrent)
		}
	}
	t.Logf("the shares added up to at most %.3f of the limit", worst)
}

// Guards against a small share that refuses the second of two close requests after a pause.
func TestSmallShareAllowsBurst(t *testing.T) {
	c := newController(fixedLimit(100), "a")
	c.SetCustomers([]Customer{{Name: "c", RequestsPerSecond: 1}})
	var verdicts []Verdict
	for range 3 {
		verdicts = append(verdicts, submit(c, burstDuration, Request{Target: "a", Customer: "c"}).Verdict)
	}
	if !slices.Equal(verdicts, []Verdict{Start, Start, Refuse}) {
		t.Fatalf("%v after %v", verdicts, burstDuration)
	}
}

// Guards against shares that take long to reach the gates with demand: all demand comes to two of four gates, then
// to the two others.
func TestSharesFollowDemandQuickly(t *testing.T) {
	s := newFleetSim(1, 4, Customer{Name: "c", RequestsPerSecond: 40, Concurrent: 40})
	part := func(gates ...int) (sum float64) {
		for _, i := range gates {
			sum += s.gates[i].Snapshot(s.now).Customers[0].RateLimit
		}
		return sum
	}
	run := func(d time.Duration) {
		for end := s.now + d; s.now < end; {
			s.tick()
		}
	}
	s.demand = []float64{0, 0, 0, 0}
	run(10 * time.Second)
	s.demand = []float64{8, 8, 0, 0}
	run(2 * time.Second)
	if got := part(0, 1); got < 0.9*40 {
		t.Errorf("2 s after the demand came its gates have %.1f of 40 requests/s", got)
	}
	s.demand = []float64{0, 0, 8, 8}
	run(5 * time.Second)
	if got := part(2, 3); got < 0.8*40 {
		t.Errorf("5 s after the demand moved its gates have %.1f of 40 requests/s", got)
	}
}
