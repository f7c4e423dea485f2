package e2e

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Guards against a graceful stop that cuts a stream or refuses what could be served: every daemon is restarted in turn
// under streaming load.
func TestRollingRestartCutsNothing(t *testing.T) {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.EngineFlags = []string{"--token-time", "5ms", "--slots", "32"}
	f := start(t, spec)
	l := startLoad(f, "rose", 12, 60)
	for _, role := range []string{"gate", "entry"} {
		for _, name := range f.Names(role) {
			if err := f.Restart(name, startLimit); err != nil {
				t.Error(err)
			}
		}
	}
	l.finish(t)
	if l.whole.Load() == 0 || l.refused.Load() > 0 {
		t.Errorf("%d whole answers, %d refusals", l.whole.Load(), l.refused.Load())
	}
}

// Guards against new work at a target that is leaving, also while the configuration service is down.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	for _, down := range []bool{false, true} {
		name := "platform up"
		if down {
			name = "configuration service down"
		}
		t.Run(name, func(t *testing.T) {
			f := start(t, fleet.Default())
			l := startLoad(f, "rose", 8, 20)
			time.Sleep(time.Second)
			if err := f.SetVMs(map[string]string{"engine-01": "leaving"}); err != nil {
				t.Fatal(err)
			}
			if down {
				// The list is read before the platform fails; the loss has to change nothing after that.
				time.Sleep(300 * time.Millisecond)
				if err := f.PlatformMode(`{"down":true}`); err != nil {
					t.Fatal(err)
				}
			}
			told := time.Now()
			time.Sleep(5 * time.Second)
			l.finish(t)
			const bound = 3 * time.Second
			for _, start := range startsOf(t, f, "engine-01") {
				if late := start.Sub(told); late > bound {
					t.Errorf("engine-01 got work %s after it was leaving", late)
				}
			}
		})
	}
}

// finishOrders ends the load and fails unless every order was answered and none ran twice.
func (l *mixedLoad) finishOrders(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	l.finish(t)
	if len(l.counts) > 1 {
		t.Errorf("some orders were not answered: %v", l.counts)
	}
	for body, runs := range countRuns(runLogs(t, f, f.Names("service"))) {
		if runs > 1 {
			t.Errorf("%s ran %d times", body, runs)
		}
	}
}

// Guards against a graceful stop that refuses orders, or the tickets for them, while the gates are restarted in turn.
func TestRollingRestartRefusesNoOrder(t *testing.T) {
	spec := fleet.Default()
	spec.ServiceFlags = []string{"--run-time", "100ms"}
	f := start(t, spec)
	l := startMixedLoadOf(f, 12, "order")
	for _, name := range f.Names("gate") {
		must(t, f.Restart(name, startLimit))
	}
	l.finishOrders(t, f)
}

// Guards against refused orders while the gates of a fleet of three are restarted in turn, so that two are left at
// times and one of them owns the only target of the pool.
func TestRollingRestartOfThreeGatesRefusesNoOrder(t *testing.T) {
	spec := fleet.Default()
	spec.Zones, spec.GatesPerZone, spec.EntriesPerZone, spec.Services = []string{"a"}, 3, 1, 1
	spec.ServiceFlags = []string{"--run-time", "200ms"}
	f := start(t, spec)
	l := startMixedLoadOf(f, 24, "order")
	for _, name := range f.Names("gate") {
		must(t, f.Terminate(name))
		_, err := f.Await(name, startLimit)
		must(t, err)
		must(t, f.StartNode(name))
		// The gate takes its targets back within the time that a new owner is on probation.
		time.Sleep(2 * time.Second)
	}
	l.finishOrders(t, f)
}

// Guards against a refused ticket while the only owner of a pool's targets stops and still has an order to write.
func TestTicketWhileOwnerStops(t *testing.T) {
	spec := onceSpec()
	// Of three gates two are left, so that a new ticket has a witness.
	spec.Zones, spec.GatesPerZone, spec.Services = []string{"a"}, 3, 1
	f := start(t, spec)
	entry := f.URL(f.Names("entry")[0])
	first := newOrder(t, f, entry, `{"part":"first"}`)
	must(t, f.SetLink(first.ticket.Witness.Name, fmt.Sprintf(`"delay_ms":%d`, onceLinkDelay.Milliseconds())))
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		first.send(entry)
	}()
	time.Sleep(onceLinkDelay / 2)
	must(t, f.Terminate(first.ticket.Executor.Name))
	time.Sleep(onceLinkDelay / 2)
	second := newOrder(t, f, entry, `{"part":"second"}`)
	second.send(entry)
	<-sent
	for _, o := range []*order{first, second} {
		if got := o.replies[0]; got.status != http.StatusOK {
			t.Errorf("%s: status %d, %s", o.body, got.status, got.body)
		}
	}
}

// Guards against a graceful stop that waits for an heir which was killed just before, until the drain limit passes.
func TestStopEndsWhenHeirWasKilled(t *testing.T) {
	f := start(t, fleet.Default())
	gates := f.Names("gate")
	heir, stopping := gates[0], gates[1]
	f.Kill(heir)
	must(t, f.Terminate(stopping))
	must(t, f.StartNode(heir))
	if code, err := f.Await(stopping, startLimit); err != nil || code != 0 {
		t.Errorf("%s: exit code %d, %v", stopping, code, err)
	}
}
