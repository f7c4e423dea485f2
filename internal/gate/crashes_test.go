package gate

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
)

const (
	testTarget = "engine"
	oldProcess = uint64(7)
	newProcess = uint64(8)
)

// Guards against a crash that charges no request, and against charging requests that did not run at the crashed
// process, which would then be refused although they did not cause a crash.
func TestChargesOnlyRequestsOfTheCrashedProcess(t *testing.T) {
	type fixture struct {
		*crashDetector
		at time.Duration
	}
	begin := func(f *fixture) *trackedRun {
		r, _ := f.start(1, testTarget)
		return r
	}
	cases := []struct {
		name  string
		steps func(f *fixture) []crashguard.Charge
		want  int
	}{
		{"broke and refuses", func(f *fixture) []crashguard.Charge { return f.chargeAfterRefusal(begin(f)) }, 1},
		{"broke and lives", func(f *fixture) []crashguard.Charge { return f.chargeAfterAnswer(begin(f)) }, 0},
		{"broke and has restarted", func(f *fixture) []crashguard.Charge {
			r := begin(f)
			f.at += time.Second
			f.processes[testTarget].seen = 0
			_, first := f.observeIncarnation(testTarget, newProcess, f.at)
			return append(first, f.chargeAfterAnswer(r)...)
		}, 1},
		{"began after the restart was seen", func(f *fixture) []crashguard.Charge {
			f.observeIncarnation(testTarget, newProcess, f.at)
			f.at += time.Second
			return f.chargeAfterAnswer(begin(f))
		}, 0},
		{"hangs while the target restarts", func(f *fixture) []crashguard.Charge {
			begin(f)
			f.observeIncarnation(testTarget, oldProcess, f.at+1)
			_, charges := f.observeIncarnation(testTarget, newProcess, f.at+time.Second)
			return charges
		}, 1},
		{"began between two reports of different processes", func(f *fixture) []crashguard.Charge {
			f.at += time.Second
			begin(f)
			_, charges := f.observeIncarnation(testTarget, newProcess, f.at+1)
			return charges
		}, 0},
		{"caller left before the crash", func(f *fixture) []crashguard.Charge {
			f.abandon(begin(f))
			f.observeIncarnation(testTarget, oldProcess, f.at+1)
			_, charges := f.observeIncarnation(testTarget, newProcess, f.at+time.Second)
			return charges
		}, 1},
		{"link broke and the target was seen alive later", func(f *fixture) []crashguard.Charge {
			f.unresolved(begin(f))
			f.observeIncarnation(testTarget, oldProcess, f.at+1)
			_, charges := f.observeIncarnation(testTarget, newProcess, f.at+time.Second)
			return charges
		}, 0},
		{"host lost and restarted", func(f *fixture) []crashguard.Charge {
			f.unresolved(begin(f))
			_, charges := f.observeIncarnation(testTarget, newProcess, f.at+time.Second)
			return charges
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fixture{at: time.Second}
			f.crashDetector = newCrashDetector(func() time.Duration { return f.at })
			f.observeIncarnation(testTarget, oldProcess, 0)
			if got := len(c.steps(f)); got != c.want {
				t.Errorf("%d charges, want %d", got, c.want)
			}
			suspects, _ := f.suspects()
			if suspects != c.want {
				t.Errorf("%d suspects, want %d", suspects, c.want)
			}
		})
	}
}
