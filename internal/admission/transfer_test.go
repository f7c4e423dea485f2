package admission

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// scheduleSeeds returns the seeds 0 to count-1, or only the one that AMARANTH_SEED sets.
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

// failingSim is a fleetSim whose gates are also killed, restarted and frozen.
type failingSim struct {
	*fleetSim
	killed      []bool
	frozenUntil []time.Duration
	epoch       uint64
}

func (s *failingSim) stopped(i int) bool { return s.killed[i] || s.frozenUntil[i] > s.now }

// injectGateFault kills, freezes or restarts a random gate. It leaves at least one other gate running, because a gate
// that starts and reaches no other can't know the shares.
func (s *failingSim) injectGateFault() {
	i := s.rng.Intn(len(s.gates))
	othersRunning := 0
	for j := range s.gates {
		if j != i && !s.stopped(j) {
			othersRunning++
		}
	}
	switch action := s.rng.Intn(4); {
	case othersRunning == 0:
	case action == 0:
		s.killed[i] = true
		s.inTransit = slices.DeleteFunc(s.inTransit, func(message usageMessage) bool { return message.to == i })
	case action == 1:
		s.frozenUntil[i] = s.now + time.Duration(s.rng.Intn(25000))*time.Millisecond
	default:
		if s.killed[i] {
			s.restart(i)
		}
	}
}

// restart starts a new process of a gate. Like a real gate, it receives the usage of the running gates before it is
// ready.
func (s *failingSim) restart(i int) {
	s.epoch += 1000
	c := s.newGate(s.names[i], s.epoch)
	for j, other := range s.gates {
		if j != i && !s.stopped(j) {
			for _, usage := range other.Usages() {
				c.SetUsage(s.now, usage)
			}
		}
	}
	s.gates[i], s.running[i], s.killed[i], s.frozenUntil[i] = c, nil, false, 0
	s.updateView(i)
}

// updateView sets a gate's view of the fleet. The view lists all running gates and, at random, some of the stopped
// ones, so that gates disagree on whether a stopped gate has left.
func (s *failingSim) updateView(i int) {
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
		s.generateLoad(i, c)
		c.Tick(s.now, nil)
		if s.rng.Intn(20) == 0 {
			s.updateView(i)
		}
		if s.now%shareInterval == 0 {
			s.broadcast(i)
		}
	}
}

// receive delivers messages to one gate. The age of a message does not include the time that it waited for a frozen
// gate.
func (s *failingSim) receive(i int) {
	s.inTransit = slices.DeleteFunc(s.inTransit, func(message usageMessage) bool {
		if message.to != i || message.arrivesAt > s.now {
			return false
		}
		message.usage.Age = message.arrivesAt - message.sentAt + simTick
		s.gates[i].SetUsage(s.now, message.usage)
		return true
	})
}

func (s *failingSim) broadcast(from int) {
	for to := range s.gates {
		if to == from || s.killed[to] || s.partition[from] != s.partition[to] || s.rng.Float64() < s.loss {
			continue
		}
		delay := time.Duration(s.rng.Int63n(int64(s.maxDelay) + 1))
		for _, usage := range s.gates[from].Usages() {
			s.inTransit = append(s.inTransit, usageMessage{to, usage, s.now, s.now + delay})
		}
	}
}

// fractionSums returns the sums of the running gates' fractions of the two limits.
func (s *failingSim) fractionSums() (rate, concurrent float64) {
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
	fleet := newFleetSim(seed, gates, limits)
	return &failingSim{fleet, make([]bool, gates), make([]time.Duration, gates), 1 << 32}
}

// Guards against a share that two gates use at once, or that is lost for good, when messages with grants are lost,
// delayed or repeated and gates are partitioned, killed, restarted and frozen.
func TestShareSumUnderFailures(t *testing.T) {
	maxSum := 0.0
	for _, seed := range scheduleSeeds(t, 40) {
		s := newFailingSim(seed, 3+int(seed%6))
		faultsEnd := 5 * time.Minute
		for s.now < faultsEnd+time.Minute {
			switch {
			case s.now == faultsEnd:
				clear(s.partition)
				s.loss, s.maxDelay = 0, simTick
				for i := range s.gates {
					s.frozenUntil[i] = min(s.frozenUntil[i], s.now)
					if s.killed[i] {
						s.restart(i)
					}
				}
			case s.now < faultsEnd && s.rng.Intn(10) == 0:
				s.injectMessageFault(s.rng.Intn(messageFaultKinds), 100)
			case s.now < faultsEnd && s.rng.Intn(50) == 0:
				s.injectGateFault()
			}
			s.tick()
			rate, concurrent := s.fractionSums()
			maxSum = max(maxSum, rate, concurrent)
			if bound := 1 + Tolerance + 1e-6; rate > bound || concurrent > bound {
				t.Fatalf("seed %d at %v: the shares add up to %.3f and %.3f of the limits", seed, s.now, rate, concurrent)
			}
		}
		if rate, concurrent := s.fractionSums(); rate < 0.9 || concurrent < 0.9 {
			t.Errorf("seed %d: a minute after the last failure the shares add up to %.3f and %.3f of the limits", seed, rate, concurrent)
		}
	}
	t.Logf("the shares added up to at most %.3f of the limit", maxSum)
}

// Guards against a small share of a rate limit that refuses the second of two requests in quick succession after an
// idle time.
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

// Guards against shares that are slow to reach the gates with demand: all demand arrives at two of four gates, then at
// the two others.
func TestSharesFollowDemandQuickly(t *testing.T) {
	s := newFleetSim(1, 4, Customer{Name: "c", RequestsPerSecond: 40, Concurrent: 40})
	rateShares := func(gates ...int) (sum float64) {
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
	if got := rateShares(0, 1); got < 0.9*40 {
		t.Errorf("2 s after the demand arrived its gates have %.1f of 40 requests/s", got)
	}
	s.demand = []float64{0, 0, 8, 8}
	run(5 * time.Second)
	if got := rateShares(2, 3); got < 0.8*40 {
		t.Errorf("5 s after the demand moved its gates have %.1f of 40 requests/s", got)
	}
}
