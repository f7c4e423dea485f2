package e2e

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// The link to the witness delays each direction by onceLinkDelay and a run takes onceRunTime, so that each step of the
// protocol lasts long enough to be hit.
const (
	onceLinkDelay = 250 * time.Millisecond
	onceRunTime   = 400 * time.Millisecond
	// onceExpiry and onceGrace are short, so that a process can be frozen past the expiry of its tickets.
	onceExpiry = 3 * time.Second
	onceGrace  = 10 * time.Second
	// onceOrders are sent at each step, with 1 to 5 tries.
	onceOrders = 10
)

// onceStep is a moment of the protocol, as the time since the executor got the order.
type onceStep struct {
	name string
	// at is negative for a failure that happens before the order is sent.
	at time.Duration
	// intended says that the witness may get the intent although the executor fails here.
	intended bool
}

func onceSteps() []onceStep {
	const answered = 2*onceLinkDelay + onceRunTime
	return []onceStep{
		{"before the order", -1, false},
		{"intent on its way", onceLinkDelay / 2, true},
		{"intent recorded, nothing written", onceLinkDelay * 3 / 2, true},
		{"target running", 2*onceLinkDelay + onceRunTime/2, true},
		{"answered, outcome on its way", answered + onceLinkDelay/2, true},
		{"outcome stored", answered + 2*onceLinkDelay, true},
	}
}

// onceFailure is a failure and its repair, for an order's executor, witness and first entry.
type onceFailure struct {
	start, repair func(t *testing.T, f *fleet.Fleet, o *order) error
	// unknown is the rule for a failure at a step.
	unknown func(step onceStep) unknownRule
	// answered says that every order has to be answered.
	answered bool
	// wait is the time between the last try and the repair.
	wait time.Duration
}

func neverUnknown(onceStep) unknownRule   { return unknownNever }
func unknownIfItRan(onceStep) unknownRule { return unknownIfRan }

func unknownAfterIntent(step onceStep) unknownRule {
	if step.intended {
		return unknownAllowed
	}
	return unknownNever
}

func onceSpec() fleet.Spec {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.Engines = 1
	spec.Services = 4
	// The load limit must not queue orders, since the steps are timed.
	spec.Service.LoadMultiple = onceOrders
	spec.ServiceFlags = []string{"--run-time", onceRunTime.String()}
	spec.Timing = []string{"ticket_expiry: " + onceExpiry.String(), "ticket_grace: " + onceGrace.String()}
	spec.EntrySettings = []string{"stall_timeout: 2s"}
	spec.ThroughLinks = true
	return spec
}

// onceFleets bounds the fleets of checkOnce that run at the same time. They wait most of the time.
var onceFleets = make(chan struct{}, 3)

// checkOnce brings about the failure at each step and checks every order against the services' logs.
func checkOnce(t *testing.T, failure onceFailure) {
	t.Helper()
	t.Parallel()
	onceFleets <- struct{}{}
	t.Cleanup(func() { <-onceFleets })
	f := start(t, onceSpec())
	for i, step := range onceSteps() {
		checkOnceAt(t, f, failure, step, fmt.Sprintf("step%d", i))
	}
}

func checkOnceAt(t *testing.T, f *fleet.Fleet, failure onceFailure, step onceStep, label string) {
	t.Helper()
	orders := ordersOfOnePair(t, f, onceOrders, label)
	first := orders[0]
	delay := fmt.Sprintf(`"delay_ms":%d`, onceLinkDelay.Milliseconds())
	must(t, f.SetLink(first.ticket.Witness.Name, delay))
	fail := func() { must(t, failure.start(t, f, first)) }
	if step.at < 0 {
		fail()
	}
	var sent sync.WaitGroup
	for i, o := range orders {
		for try, at := range sendTimes(i, max(step.at, 0)) {
			entry := f.URL(f.Names("entry")[try%len(f.Names("entry"))])
			sent.Go(func() {
				time.Sleep(at)
				o.send(entry)
			})
		}
	}
	if step.at >= 0 {
		time.Sleep(step.at)
		fail()
	}
	sent.Wait()
	time.Sleep(failure.wait)
	must(t, f.SetLink(first.ticket.Witness.Name, `"delay_ms":0`))
	must(t, failure.repair(t, f, first))
	must(t, f.WaitReady(startLimit))
	// What a resumed process still does has to show in the logs.
	time.Sleep(2*onceLinkDelay + onceRunTime)
	runs := countRuns(runLogs(t, f, f.Names("service")))
	var count tally
	for _, o := range orders {
		o.check(t, runs[o.body], failure.unknown(step), &count)
	}
	t.Logf("%s: %s", step.name, count)
	if failure.answered && (count.answered < onceOrders || count.notRun > 0) {
		t.Errorf("%s: an order was refused", step.name)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func none(*testing.T, *fleet.Fleet, *order) error { return nil }

// Guards against an order that runs twice, or a false "not run", when its executor is killed.
func TestOnceWhenExecutorIsKilled(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, o *order) error { f.Kill(o.ticket.Executor.Name); return nil },
		repair:  func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.StartNode(o.ticket.Executor.Name) },
		unknown: unknownAfterIntent,
	})
}

// Guards against a new process at the executor's address that takes the tickets of the old one for its own.
func TestOnceWhenExecutorIsReplaced(t *testing.T) {
	checkOnce(t, onceFailure{
		start: func(_ *testing.T, f *fleet.Fleet, o *order) error {
			f.Kill(o.ticket.Executor.Name)
			return f.StartNode(o.ticket.Executor.Name)
		},
		repair:  none,
		unknown: unknownAfterIntent,
	})
}

// Guards against an executor that was frozen past the expiry of its tickets and still runs them when it wakes.
func TestOnceWhenExecutorIsFrozenPastExpiry(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Freeze(o.ticket.Executor.Name) },
		repair:  func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Thaw(o.ticket.Executor.Name) },
		unknown: unknownAfterIntent,
	})
}

// Guards against an order that runs after "not run" was answered because its executor can't be reached.
func TestOnceWhenExecutorIsCutOff(t *testing.T) {
	checkOnce(t, onceFailure{
		start: func(_ *testing.T, f *fleet.Fleet, o *order) error {
			return f.SetLink(o.ticket.Executor.Name, `"cut":true`)
		},
		repair: func(_ *testing.T, f *fleet.Fleet, o *order) error {
			return f.SetLink(o.ticket.Executor.Name, `"cut":false`)
		},
		unknown: unknownAfterIntent,
	})
}

// Guards against an order that a graceful stop of its executor cuts, seals falsely or lets the heir run again.
func TestOnceWhenExecutorIsStopped(t *testing.T) {
	checkOnce(t, onceFailure{
		start:    func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Terminate(o.ticket.Executor.Name) },
		repair:   func(_ *testing.T, f *fleet.Fleet, o *order) error { return awaitRestart(f, o.ticket.Executor.Name) },
		unknown:  neverUnknown,
		answered: true,
	})
}

// Guards against an intent or outcome that a graceful stop of the witness loses.
func TestOnceWhenWitnessIsStopped(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Terminate(o.ticket.Witness.Name) },
		repair:  func(_ *testing.T, f *fleet.Fleet, o *order) error { return awaitRestart(f, o.ticket.Witness.Name) },
		unknown: neverUnknown,
	})
}

// awaitRestart waits for the end of a process that was told to stop and starts it again.
func awaitRestart(f *fleet.Fleet, name string) error {
	code, err := f.Await(name, startLimit)
	if err != nil {
		return err
	}
	if code != 0 {
		return fmt.Errorf("%s exited with code %d", name, code)
	}
	return f.StartNode(name)
}

// Guards against an answer that needs the witness although the executor lives.
func TestOnceWhenWitnessIsKilled(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, o *order) error { f.Kill(o.ticket.Witness.Name); return nil },
		repair:  func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.StartNode(o.ticket.Witness.Name) },
		unknown: neverUnknown,
	})
}

// Guards against an executor that waits for a frozen witness, or runs an order without its record.
func TestOnceWhenWitnessIsFrozen(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Freeze(o.ticket.Witness.Name) },
		repair:  func(_ *testing.T, f *fleet.Fleet, o *order) error { return f.Thaw(o.ticket.Witness.Name) },
		unknown: neverUnknown,
	})
}

// Guards against an executor that runs an order whose intent was lost with the link to the witness.
func TestOnceWhenWitnessIsCutOff(t *testing.T) {
	checkOnce(t, onceFailure{
		start: func(_ *testing.T, f *fleet.Fleet, o *order) error {
			return f.SetLink(o.ticket.Witness.Name, `"cut":true`)
		},
		repair: func(_ *testing.T, f *fleet.Fleet, o *order) error {
			return f.SetLink(o.ticket.Witness.Name, `"cut":false`)
		},
		unknown: neverUnknown,
	})
}

// Guards against an order that is sent again to another target after the first one was killed during its run.
func TestOnceWhenTargetIsKilled(t *testing.T) {
	checkOnce(t, onceFailure{
		start: func(_ *testing.T, f *fleet.Fleet, _ *order) error {
			for _, name := range f.Names("service") {
				f.Kill(name)
			}
			return nil
		},
		repair: func(_ *testing.T, f *fleet.Fleet, _ *order) error {
			for _, name := range f.Names("service") {
				if err := f.StartNode(name); err != nil {
					return err
				}
			}
			return nil
		},
		unknown: unknownIfItRan,
	})
}

// Guards against an order that is sent again to another target because the first one broke off its answer.
func TestOnceWhenTargetCutsAnswer(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, _ *order) error { return faultServices(f, `{"cut_after_events":1}`) },
		repair:  func(_ *testing.T, f *fleet.Fleet, _ *order) error { return faultServices(f, `{}`) },
		unknown: unknownIfItRan,
	})
}

func faultServices(f *fleet.Fleet, faults string) error {
	for _, name := range f.Names("service") {
		if err := f.Faults(name, faults); err != nil {
			return err
		}
	}
	return nil
}

// Guards against an order that runs again when its caller repeats it through other entries after the first one died.
func TestOnceWhenEntryIsKilled(t *testing.T) {
	checkOnce(t, onceFailure{
		start:   func(_ *testing.T, f *fleet.Fleet, _ *order) error { f.Kill(f.Names("entry")[0]); return nil },
		repair:  func(_ *testing.T, f *fleet.Fleet, _ *order) error { return f.StartNode(f.Names("entry")[0]) },
		unknown: neverUnknown,
	})
}

// Guards against a "not run" from an entry that knows nothing yet, for an order that ran before its start.
func TestOnceAtEntryWithoutView(t *testing.T) {
	f := start(t, fleet.Default())
	entry := f.Names("entry")[0]
	const body = `{"part":"fresh-entry"}`
	header := ticketFor(t, f.URL(entry), body)
	if got := send("POST", f.URL(entry)+submitPath, "press", header, []byte(body)); got.status != 200 {
		t.Fatalf("status %d, %s", got.status, got.body)
	}
	for _, gate := range f.Names("gate") {
		must(t, f.Freeze(gate))
	}
	f.Kill(entry)
	must(t, f.StartNode(entry))
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		got := send("POST", f.URL(entry)+submitPath, "press", header, []byte(body))
		if got.err != nil {
			continue
		}
		if code, ran := got.errorCode(); ran != "unknown" {
			t.Fatalf("got %s with ran: %s for an order that ran", code, ran)
		}
		return
	}
	t.Fatal("the entry did not answer")
}

// Guards against an executor that works on an order for longer than the entry's stall timeout and is given up, so that
// the caller gets "unknown" although nothing failed.
func TestSlowOrderIsAnswered(t *testing.T) {
	spec := fleet.Default()
	spec.ServiceFlags = []string{"--run-time", "4s"}
	spec.EntrySettings = []string{"stall_timeout: 2s"}
	f := start(t, spec)
	entry := f.URL(f.Names("entry")[0])
	const body = `{"part":"slow"}`
	got := send("POST", entry+submitPath, "press", ticketFor(t, entry, body), []byte(body))
	if got.status != 200 {
		t.Fatalf("status %d, %s", got.status, got.body)
	}
}

// Guards against the same for a chat whose whole answer takes longer than the entry's stall timeout.
func TestSlowChatIsAnswered(t *testing.T) {
	spec := fleet.Default()
	spec.EngineFlags = []string{"--token-time", "100ms"}
	spec.EntrySettings = []string{"stall_timeout: 2s"}
	f := start(t, spec)
	entry := f.URL(f.Names("entry")[0])
	got := send("POST", entry+"/v1/chat/completions", "rose", nil, chatBody("slow", 40, false))
	if got.status != 200 {
		t.Fatalf("status %d, %s", got.status, got.body)
	}
	if runs := runLogs(t, f, f.Names("engine")); len(runs) != 1 {
		t.Fatalf("the engines ran the chat %d times", len(runs))
	}
}
