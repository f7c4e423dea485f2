package orders

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
)

// clockStep is the step of the simulation's virtual clock.
const clockStep = 20 * time.Millisecond

// testCatalogue returns a catalogue with one model pool that has the given version and number of engines.
func testCatalogue(t testing.TB, revision uint64, version string, checksFencing bool, engines int) *catalogue.Catalogue {
	t.Helper()
	var b strings.Builder
	fmt.Fprintf(&b, "revision: %d\npools:\n- name: rose\n  owner: o\n  kind: model\n  version: %s\n", revision, version)
	fmt.Fprintf(&b, "  checks_fencing: %v\n  targets:\n", checksFencing)
	for i := range engines {
		fmt.Fprintf(&b, "  - {name: %s, address: '10.0.0.%d:80', zone: a}\n", engineName(i), i+1)
	}
	c, err := catalogue.Parse([]byte(b.String()))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func engineName(i int) string { return fmt.Sprintf("rose-%d", i) }

// simulation runs gates and engines on one virtual clock.
type simulation struct {
	t            testing.TB
	seed         int64
	random       *rand.Rand
	now          time.Duration
	pendingCalls []scheduledCall
	gates        []*fakeGate
	engines      map[string]*fakeEngine
	// loads holds the times at which engines started to load from the weight store.
	loads []time.Duration
}

type scheduledCall struct {
	at  time.Duration
	run func()
}

// fakeGate is a gate process that can be frozen. While frozen, it handles no events.
type fakeGate struct {
	sim     *simulation
	name    string
	machine *Machine
	frozen  bool
	// freezeAfter is the number of the order at which the process freezes before the write; 0 means never.
	freezeAfter int
	// pendingWrites holds sends that were interrupted by a freeze, before or after the check of NotAfter.
	pendingWrites []func()
	// inFlight is the number of unanswered orders by engine.
	inFlight map[string]int
}

// fakeEngine simulates an engine: it accepts an order, is busy while it carries it out, and then reports the new state.
type fakeEngine struct {
	name          string
	checksFencing bool
	history       []timedStatus
	running       []runningOrder
	// lateOrders counts accepted orders whose write was delayed by a freeze after the check of NotAfter.
	lateOrders   int
	fencedOrders int
	overlap      string
}

type timedStatus struct {
	at     time.Duration
	status Status
}

type runningOrder struct {
	desired Desired
	late    bool
}

func newSimulation(t testing.TB, seed int64, gates, engines int, checksFencing bool) *simulation {
	s := &simulation{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), engines: map[string]*fakeEngine{}}
	for i := range gates {
		g := &fakeGate{sim: s, name: fmt.Sprint("gate-", i), inFlight: map[string]int{}}
		settings := Settings{Self: g.name, Incarnation: s.random.Uint64()}
		g.machine = New(settings, rand.New(rand.NewSource(s.random.Int63())))
		s.gates = append(s.gates, g)
	}
	for i := range engines {
		name := engineName(i)
		s.engines[name] = &fakeEngine{name: name, checksFencing: checksFencing, history: []timedStatus{{}}}
	}
	s.setViews(s.gates)
	return s
}

// setViews gives every gate a view in which the listed gates are live.
func (s *simulation) setViews(live []*fakeGate) {
	for _, g := range s.gates {
		g.setView(live)
	}
}

func (g *fakeGate) setView(live []*fakeGate) {
	view := &membership.View{}
	for _, other := range live {
		member := membership.Member{Gate: membership.Gate{Name: other.name}, State: membership.Live}
		view.Gates = append(view.Gates, member)
	}
	g.step(ViewChanged{view})
}

func (s *simulation) fail(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

func (s *simulation) schedule(delay time.Duration, run func()) {
	s.pendingCalls = append(s.pendingCalls, scheduledCall{s.now + delay, run})
}

func (s *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int63n(int64(high-low)))
}

func (s *simulation) runFor(d time.Duration) {
	s.runWhile(d, func() bool { return true })
}

// runWhile runs the simulation while the condition holds, for at most d.
func (s *simulation) runWhile(d time.Duration, condition func() bool) {
	for end := s.now + d; s.now < end && condition(); {
		s.now += clockStep
		due := s.dueCalls()
		for _, call := range due {
			call.run()
		}
		for _, g := range s.gates {
			if g.frozen {
				continue
			}
			g.step(LeaseRenewed{s.now + 1500*time.Millisecond})
			g.step(Tick{})
		}
	}
}

func (s *simulation) dueCalls() []scheduledCall {
	var due, remaining []scheduledCall
	for _, call := range s.pendingCalls {
		if call.at <= s.now {
			due = append(due, call)
		} else {
			remaining = append(remaining, call)
		}
	}
	s.pendingCalls = remaining
	return due
}

// step handles an event; a frozen gate drops it.
func (g *fakeGate) step(event Event) {
	if g.frozen {
		return
	}
	for _, effect := range g.machine.Step(g.sim.now, event) {
		g.perform(effect)
	}
}

func (g *fakeGate) perform(effect Effect) {
	s := g.sim
	switch e := effect.(type) {
	case ReadStatus:
		s.schedule(s.randomDuration(clockStep, 5*clockStep), func() {
			status := s.engines[e.Target].statusAt(s.now - s.randomDuration(0, DefaultReportLag-500*time.Millisecond))
			s.schedule(clockStep, func() { g.step(StatusRead{e.Read, status}) })
		})
	case SendOrder:
		g.send(e)
	case RequestPermit:
		issuer := s.gates[slices.IndexFunc(s.gates, func(other *fakeGate) bool { return other.name == e.Issuer })]
		s.schedule(s.randomDuration(clockStep, 3*clockStep), func() { issuer.step(PermitRequested{e.Request, g.name}) })
	case AnswerPermit:
		to := s.gates[slices.IndexFunc(s.gates, func(other *fakeGate) bool { return other.name == e.To })]
		s.schedule(s.randomDuration(clockStep, 3*clockStep), func() { to.step(e.Answer) })
	}
}

// send writes an order, or freezes the process before or after the check of NotAfter.
func (g *fakeGate) send(order SendOrder) {
	s := g.sim
	g.inFlight[order.Target]++
	if g.inFlight[order.Target] > 1 {
		s.fail("%s has more than one order in flight to %s", g.name, order.Target)
	}
	g.freezeAfter--
	if g.freezeAfter == 0 {
		g.frozen = true
		passedCheck := s.random.Intn(2) == 0
		g.pendingWrites = append(g.pendingWrites, func() { g.finishSend(order, passedCheck) })
		return
	}
	s.schedule(s.randomDuration(0, 3*clockStep), func() { g.finishSend(order, false) })
}

func (g *fakeGate) finishSend(order SendOrder, passedCheck bool) {
	if !passedCheck && (g.frozen || g.sim.now > order.NotAfter) {
		g.answer(order, NotSent)
		return
	}
	g.write(order, passedCheck)
}

func (g *fakeGate) write(order SendOrder, late bool) {
	s := g.sim
	s.schedule(s.randomDuration(clockStep, 5*clockStep), func() {
		result := s.engines[order.Target].acceptOrder(s, order, late)
		if s.random.Intn(20) == 0 {
			result = Unanswered
		}
		g.answer(order, result)
	})
}

func (g *fakeGate) answer(order SendOrder, result OrderResult) {
	g.inFlight[order.Target]--
	g.step(OrderAnswered{order.Order, result})
}

// statusAt returns the engine's state at the given time.
func (e *fakeEngine) statusAt(at time.Duration) Status {
	i := len(e.history) - 1
	for i > 0 && e.history[i].at > at {
		i--
	}
	return e.history[i].status
}

func (e *fakeEngine) currentStatus() Status { return e.history[len(e.history)-1].status }

func (e *fakeEngine) record(now time.Duration, status Status) {
	e.history = append(e.history, timedStatus{now, status})
}

// acceptOrder handles an order. An engine that checks fencing numbers abandons its current order for one with a higher
// number.
func (e *fakeEngine) acceptOrder(s *simulation, order SendOrder, late bool) OrderResult {
	status := e.currentStatus()
	if e.checksFencing && order.Fence <= status.Fence {
		e.fencedOrders++
		return Fenced
	}
	if late {
		e.lateOrders++
	}
	e.checkOverlap(order.Desired, late)
	if e.checksFencing {
		e.running = nil
	}
	if order.Desired.needsWeights(status) {
		s.loads = append(s.loads, s.now)
	}
	job := runningOrder{order.Desired, late}
	e.running = append(e.running, job)
	status.Fence, status.Busy = max(status.Fence, order.Fence), true
	e.record(s.now, status)
	s.schedule(s.randomDuration(time.Second, 3*time.Second), func() { e.finish(s, job) })
	return Accepted
}

// checkOverlap records whether an engine without fencing carries out two orders at the same time. Hold-off times can't
// prevent this for a write that was frozen for longer than any of them, so late orders are exempt; checkConverged
// verifies at the end that they do not prevail.
func (e *fakeEngine) checkOverlap(desired Desired, late bool) {
	for _, other := range e.running {
		if !e.checksFencing && !late && !other.late {
			e.overlap = fmt.Sprintf("carries out %v and %v at the same time", other.desired, desired)
		}
	}
}

func (e *fakeEngine) finish(s *simulation, job runningOrder) {
	i := slices.IndexFunc(e.running, func(r runningOrder) bool { return r.desired.equal(job.desired) && r.late == job.late })
	if i < 0 {
		return
	}
	e.running = slices.Delete(e.running, i, i+1)
	status := e.currentStatus()
	status.Model, status.Version, status.Role = job.desired.Model, job.desired.Version, job.desired.Role
	status.Adapters, status.Busy = job.desired.Adapters, len(e.running) > 0
	e.record(s.now, status)
}

// checkConverged fails the test unless every engine is idle with the version and no orders overlapped.
func (s *simulation) checkConverged(version string) {
	s.t.Helper()
	for _, e := range s.engines {
		if status := e.currentStatus(); status.Version != version || status.Busy {
			s.fail("%s has status %+v, want version %s and not busy", e.name, status, version)
		}
		if e.overlap != "" {
			s.fail("%s %s", e.name, e.overlap)
		}
	}
}

// checkLoadRate fails the test if more loads start within any period than the issuer's bound allows.
func (s *simulation) checkLoadRate() {
	s.t.Helper()
	for i, first := range s.loads {
		for j := i; j < len(s.loads); j++ {
			span := s.loads[j] - first
			allowed := int((span+DefaultPermitLifetime)/DefaultPermitInterval) + 1
			if count := j - i + 1; count > allowed {
				s.fail("got %d loads within %v, want at most %d", count, span, allowed)
			}
		}
	}
}
