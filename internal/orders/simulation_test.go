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

// clockStep is the step of the model world's clock.
const clockStep = 20 * time.Millisecond

// testCatalogue returns a catalogue with one model pool of the given version and engines.
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
	t       testing.TB
	seed    int64
	random  *rand.Rand
	now     time.Duration
	pending []scheduledCall
	gates   []*fakeGate
	engines map[string]*fakeEngine
	// loads holds the times at which engines started to read the weight store.
	loads []time.Duration
}

type scheduledCall struct {
	at  time.Duration
	run func()
}

// fakeGate is one process that may be frozen; a frozen one handles no events.
type fakeGate struct {
	sim     *simulation
	name    string
	machine *Machine
	frozen  bool
	// freezeAfter is the number of orders after which the process freezes before the write, 0 for never.
	freezeAfter int
	// pendingWrites is a sender that passed the check of NotAfter and was frozen before its write.
	pendingWrites []func()
	// inFlight counts unanswered orders by engine.
	inFlight map[string]int
}

// fakeEngine is an engine: it takes an order, is busy while it loads, and then reports the new state.
type fakeEngine struct {
	name          string
	checksFencing bool
	history       []timedStatus
	running       []runningOrder
	// lateOrders counts orders that were written after their owner had been frozen.
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
	w := &simulation{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), engines: map[string]*fakeEngine{}}
	for i := range gates {
		g := &fakeGate{sim: w, name: fmt.Sprint("gate-", i), inFlight: map[string]int{}}
		settings := Settings{Self: g.name, Incarnation: w.random.Uint64()}
		g.machine = New(settings, rand.New(rand.NewSource(w.random.Int63())))
		w.gates = append(w.gates, g)
	}
	for i := range engines {
		name := engineName(i)
		w.engines[name] = &fakeEngine{name: name, checksFencing: checksFencing, history: []timedStatus{{}}}
	}
	w.setViews(w.gates)
	return w
}

// setViews gives every gate a view in which the listed ones are live.
func (w *simulation) setViews(live []*fakeGate) {
	for _, g := range w.gates {
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

func (w *simulation) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *simulation) schedule(delay time.Duration, run func()) {
	w.pending = append(w.pending, scheduledCall{w.now + delay, run})
}

func (w *simulation) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int63n(int64(high-low)))
}

func (w *simulation) runFor(d time.Duration) {
	w.runWhile(d, func() bool { return true })
}

// runWhile runs for at most a time, while the condition holds.
func (w *simulation) runWhile(d time.Duration, holds func() bool) {
	for end := w.now + d; w.now < end && holds(); {
		w.now += clockStep
		due := w.dueCalls()
		for _, message := range due {
			message.run()
		}
		for _, g := range w.gates {
			if g.frozen {
				continue
			}
			g.step(LeaseRenewed{w.now + 1500*time.Millisecond})
			g.step(Tick{})
		}
	}
}

func (w *simulation) dueCalls() []scheduledCall {
	var due, rest []scheduledCall
	for _, message := range w.pending {
		if message.at <= w.now {
			due = append(due, message)
		} else {
			rest = append(rest, message)
		}
	}
	w.pending = rest
	return due
}

// step handles an event, or loses it while the gate is frozen.
func (g *fakeGate) step(event Event) {
	if g.frozen {
		return
	}
	for _, effect := range g.machine.Step(g.sim.now, event) {
		g.perform(effect)
	}
}

func (g *fakeGate) perform(effect Effect) {
	w := g.sim
	switch e := effect.(type) {
	case ReadStatus:
		w.schedule(w.randomDuration(clockStep, 5*clockStep), func() {
			status := w.engines[e.Target].statusAt(w.now - w.randomDuration(0, DefaultReportLag-500*time.Millisecond))
			w.schedule(clockStep, func() { g.step(StatusRead{e.Read, status}) })
		})
	case SendOrder:
		g.send(e)
	case RequestPermit:
		issuer := w.gates[slices.IndexFunc(w.gates, func(other *fakeGate) bool { return other.name == e.Issuer })]
		w.schedule(w.randomDuration(clockStep, 3*clockStep), func() { issuer.step(PermitRequested{e.Request, g.name}) })
	case AnswerPermit:
		to := w.gates[slices.IndexFunc(w.gates, func(other *fakeGate) bool { return other.name == e.To })]
		w.schedule(w.randomDuration(clockStep, 3*clockStep), func() { to.step(e.Answer) })
	}
}

// send writes an order, or freezes the process before or after the check of NotAfter.
func (g *fakeGate) send(order SendOrder) {
	w := g.sim
	g.inFlight[order.Target]++
	if g.inFlight[order.Target] > 1 {
		w.fail("%s has two orders in flight to %s", g.name, order.Target)
	}
	g.freezeAfter--
	if g.freezeAfter == 0 {
		g.frozen = true
		passedCheck := w.random.Intn(2) == 0
		g.pendingWrites = append(g.pendingWrites, func() { g.finishSend(order, passedCheck) })
		return
	}
	w.schedule(w.randomDuration(0, 3*clockStep), func() { g.finishSend(order, false) })
}

func (g *fakeGate) finishSend(order SendOrder, passedCheck bool) {
	if !passedCheck && (g.frozen || g.sim.now > order.NotAfter) {
		g.answer(order, NotSent)
		return
	}
	g.write(order, passedCheck)
}

func (g *fakeGate) write(order SendOrder, late bool) {
	w := g.sim
	w.schedule(w.randomDuration(clockStep, 5*clockStep), func() {
		result := w.engines[order.Target].acceptOrder(w, order, late)
		if w.random.Intn(20) == 0 {
			result = Unanswered
		}
		g.answer(order, result)
	})
}

func (g *fakeGate) answer(order SendOrder, result OrderResult) {
	g.inFlight[order.Target]--
	g.step(OrderAnswered{order.Order, result})
}

// statusAt returns the engine's state at a time.
func (m *fakeEngine) statusAt(at time.Duration) Status {
	i := len(m.history) - 1
	for i > 0 && m.history[i].at > at {
		i--
	}
	return m.history[i].status
}

func (m *fakeEngine) currentStatus() Status { return m.history[len(m.history)-1].status }

func (m *fakeEngine) record(now time.Duration, status Status) {
	m.history = append(m.history, timedStatus{now, status})
}

// acceptOrder handles an order. An engine that checks fencing numbers drops the order it works on for a higher one.
func (m *fakeEngine) acceptOrder(w *simulation, order SendOrder, late bool) OrderResult {
	status := m.currentStatus()
	if m.checksFencing && order.Fence <= status.Fence {
		m.fencedOrders++
		return Fenced
	}
	if late {
		m.lateOrders++
	}
	m.checkOverlap(order.Desired, late)
	if m.checksFencing {
		m.running = nil
	}
	if order.Desired.needsWeights(status) {
		w.loads = append(w.loads, w.now)
	}
	job := runningOrder{order.Desired, late}
	m.running = append(m.running, job)
	status.Fence, status.Busy = max(status.Fence, order.Fence), true
	m.record(w.now, status)
	w.schedule(w.randomDuration(time.Second, 3*time.Second), func() { m.finish(w, job) })
	return Accepted
}

// checkOverlap records two orders that an engine without fencing works on at once. A write that was frozen for
// longer than any wait can't be kept apart by time; that it does not win is checked at the end.
func (m *fakeEngine) checkOverlap(desired Desired, late bool) {
	for _, other := range m.running {
		if !m.checksFencing && !late && !other.late {
			m.overlap = fmt.Sprintf("works on %v and %v", other.desired, desired)
		}
	}
}

func (m *fakeEngine) finish(w *simulation, job runningOrder) {
	i := slices.IndexFunc(m.running, func(r runningOrder) bool { return r.desired.equal(job.desired) && r.late == job.late })
	if i < 0 {
		return
	}
	m.running = slices.Delete(m.running, i, i+1)
	status := m.currentStatus()
	status.Model, status.Version, status.Role = job.desired.Model, job.desired.Version, job.desired.Role
	status.Adapters, status.Busy = job.desired.Adapters, len(m.running) > 0
	m.record(w.now, status)
}

// checkConverged fails unless every engine has the version and no order overlapped.
func (w *simulation) checkConverged(version string) {
	w.t.Helper()
	for _, e := range w.engines {
		if status := e.currentStatus(); status.Version != version || status.Busy {
			w.fail("%s has %+v, want version %s", e.name, status, version)
		}
		if e.overlap != "" {
			w.fail("%s %s", e.name, e.overlap)
		}
	}
}

// checkLoadRate fails when more loads start in any time than the issuer's bound allows.
func (w *simulation) checkLoadRate() {
	w.t.Helper()
	for i, first := range w.loads {
		for j := i; j < len(w.loads); j++ {
			span := w.loads[j] - first
			allowed := int((span+DefaultPermitLifetime)/DefaultPermitInterval) + 1
			if count := j - i + 1; count > allowed {
				w.fail("%d loads in %v, at most %d are allowed", count, span, allowed)
			}
		}
	}
}
