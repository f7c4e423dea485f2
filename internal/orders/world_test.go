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

// tick is the step of the model world's clock.
const tick = 20 * time.Millisecond

// content returns a catalogue with one model pool of the given version and engines.
func content(t testing.TB, revision uint64, version string, checksFencing bool, engines int) *catalogue.Catalogue {
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

// world runs gates and engines on one virtual clock.
type world struct {
	t       testing.TB
	seed    int64
	random  *rand.Rand
	now     time.Duration
	pending []message
	gates   []*gate
	engines map[string]*model
	// loads holds the times at which engines started to read the weight store.
	loads []time.Duration
}

type message struct {
	at  time.Duration
	run func()
}

// gate is one process that may be frozen; a frozen one handles no events.
type gate struct {
	world   *world
	name    string
	machine *Machine
	frozen  bool
	// freezeAfter is the number of orders after which the process freezes before the write, 0 for never.
	freezeAfter int
	// stuck is a sender that passed the check of NotAfter and was frozen before its write.
	stuck []func()
	// inFlight counts unanswered orders by engine.
	inFlight map[string]int
}

// model is an engine: it takes an order, is busy while it loads, and then reports the new state.
type model struct {
	name          string
	checksFencing bool
	history       []timedStatus
	running       []running
	// late counts orders that were written after their owner had been frozen.
	late    int
	fenced  int
	unsound string
}

type timedStatus struct {
	at     time.Duration
	status Status
}

type running struct {
	desired Desired
	late    bool
}

func newWorld(t testing.TB, seed int64, gates, engines int, checksFencing bool) *world {
	w := &world{t: t, seed: seed, random: rand.New(rand.NewSource(seed)), engines: map[string]*model{}}
	for i := range gates {
		g := &gate{world: w, name: fmt.Sprint("gate-", i), inFlight: map[string]int{}}
		settings := Settings{Self: g.name, Incarnation: w.random.Uint64()}
		g.machine = New(settings, rand.New(rand.NewSource(w.random.Int63())))
		w.gates = append(w.gates, g)
	}
	for i := range engines {
		name := engineName(i)
		w.engines[name] = &model{name: name, checksFencing: checksFencing, history: []timedStatus{{}}}
	}
	w.setViews(w.gates)
	return w
}

// setViews gives every gate a view in which the listed ones are live.
func (w *world) setViews(live []*gate) {
	for _, g := range w.gates {
		g.setView(live)
	}
}

func (g *gate) setView(live []*gate) {
	view := &membership.View{}
	for _, other := range live {
		member := membership.Member{Gate: membership.Gate{Name: other.name}, State: membership.Live}
		view.Gates = append(view.Gates, member)
	}
	g.step(ViewChanged{view})
}

func (w *world) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("seed %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func (w *world) after(delay time.Duration, run func()) {
	w.pending = append(w.pending, message{w.now + delay, run})
}

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int63n(int64(high-low)))
}

func (w *world) runFor(d time.Duration) {
	w.runWhile(d, func() bool { return true })
}

// runWhile runs for at most a time, while the condition holds.
func (w *world) runWhile(d time.Duration, holds func() bool) {
	for end := w.now + d; w.now < end && holds(); {
		w.now += tick
		due := w.takeDue()
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

func (w *world) takeDue() []message {
	var due, rest []message
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
func (g *gate) step(event Event) {
	if g.frozen {
		return
	}
	for _, effect := range g.machine.Step(g.world.now, event) {
		g.perform(effect)
	}
}

func (g *gate) perform(effect Effect) {
	w := g.world
	switch e := effect.(type) {
	case ReadStatus:
		w.after(w.between(tick, 5*tick), func() {
			status := w.engines[e.Target].report(w.now - w.between(0, DefaultReportLag-500*time.Millisecond))
			w.after(tick, func() { g.step(StatusRead{e.Read, status}) })
		})
	case SendOrder:
		g.send(e)
	case RequestPermit:
		issuer := w.gates[slices.IndexFunc(w.gates, func(other *gate) bool { return other.name == e.Issuer })]
		w.after(w.between(tick, 3*tick), func() { issuer.step(PermitRequested{e.Request, g.name}) })
	case AnswerPermit:
		to := w.gates[slices.IndexFunc(w.gates, func(other *gate) bool { return other.name == e.To })]
		w.after(w.between(tick, 3*tick), func() { to.step(e.Answer) })
	}
}

// send writes an order, or freezes the process before or after the check of NotAfter.
func (g *gate) send(order SendOrder) {
	w := g.world
	g.inFlight[order.Target]++
	if g.inFlight[order.Target] > 1 {
		w.fail("%s has two orders in flight to %s", g.name, order.Target)
	}
	g.freezeAfter--
	if g.freezeAfter == 0 {
		g.frozen = true
		passedCheck := w.random.Intn(2) == 0
		g.stuck = append(g.stuck, func() { g.continueSend(order, passedCheck) })
		return
	}
	w.after(w.between(0, 3*tick), func() { g.continueSend(order, false) })
}

func (g *gate) continueSend(order SendOrder, passedCheck bool) {
	if !passedCheck && (g.frozen || g.world.now > order.NotAfter) {
		g.answer(order, NotSent)
		return
	}
	g.write(order, passedCheck)
}

func (g *gate) write(order SendOrder, late bool) {
	w := g.world
	w.after(w.between(tick, 5*tick), func() {
		result := w.engines[order.Target].take(w, order, late)
		if w.random.Intn(20) == 0 {
			result = Unanswered
		}
		g.answer(order, result)
	})
}

func (g *gate) answer(order SendOrder, result OrderResult) {
	g.inFlight[order.Target]--
	g.step(OrderAnswered{order.Order, result})
}

// report returns the engine's state at a time.
func (m *model) report(at time.Duration) Status {
	i := len(m.history) - 1
	for i > 0 && m.history[i].at > at {
		i--
	}
	return m.history[i].status
}

func (m *model) present() Status { return m.history[len(m.history)-1].status }

func (m *model) record(now time.Duration, status Status) {
	m.history = append(m.history, timedStatus{now, status})
}

// take handles an order. An engine that checks fencing numbers drops the order it works on for a higher one.
func (m *model) take(w *world, order SendOrder, late bool) OrderResult {
	status := m.present()
	if m.checksFencing && order.Fence <= status.Fence {
		m.fenced++
		return Fenced
	}
	if late {
		m.late++
	}
	m.checkOverlap(order.Desired, late)
	if m.checksFencing {
		m.running = nil
	}
	if order.Desired.needsWeights(status) {
		w.loads = append(w.loads, w.now)
	}
	job := running{order.Desired, late}
	m.running = append(m.running, job)
	status.Fence, status.Busy = max(status.Fence, order.Fence), true
	m.record(w.now, status)
	w.after(w.between(time.Second, 3*time.Second), func() { m.finish(w, job) })
	return Accepted
}

// checkOverlap records two orders that an engine without fencing works on at once. A write that was frozen for
// longer than any wait can't be kept apart by time; that it does not win is checked at the end.
func (m *model) checkOverlap(desired Desired, late bool) {
	for _, other := range m.running {
		if !m.checksFencing && !late && !other.late {
			m.unsound = fmt.Sprintf("works on %v and %v", other.desired, desired)
		}
	}
}

func (m *model) finish(w *world, job running) {
	i := slices.IndexFunc(m.running, func(r running) bool { return r.desired.equal(job.desired) && r.late == job.late })
	if i < 0 {
		return
	}
	m.running = slices.Delete(m.running, i, i+1)
	status := m.present()
	status.Model, status.Version, status.Role = job.desired.Model, job.desired.Version, job.desired.Role
	status.Adapters, status.Busy = job.desired.Adapters, len(m.running) > 0
	m.record(w.now, status)
}

// conform fails unless every engine has the version and no order overlapped.
func (w *world) conform(version string) {
	w.t.Helper()
	for _, e := range w.engines {
		if status := e.present(); status.Version != version || status.Busy {
			w.fail("%s has %+v, want version %s", e.name, status, version)
		}
		if e.unsound != "" {
			w.fail("%s %s", e.name, e.unsound)
		}
	}
}

// checkRate fails when more loads start in any time than the issuer's bound allows.
func (w *world) checkRate() {
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
