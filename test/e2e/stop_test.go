package e2e

import (
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
