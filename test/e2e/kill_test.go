package e2e

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Guards against callers that are refused because a gate was killed, although targets with room are left and the
// request could have waited for their owners. Requests that were at the killed gate may end with an error.
func TestKilledGateCausesNoRefusals(t *testing.T) {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.EngineFlags = []string{"--token-time", "10ms", "--slots", "64"}
	f := start(t, spec)
	l := startLoad(f, "rose", 16, 10)
	time.Sleep(3 * time.Second)
	f.Kill("gate-a1")
	pause := l.longestPause(5 * time.Second)
	close(l.stop)
	l.running.Wait()
	t.Logf("%d whole answers, refused %v, %d ended with an error, no answer for %s", l.whole.Load(), l.codes, len(l.problems), pause)
	if refused := l.refused.Load(); refused > 0 {
		t.Errorf("%d requests refused, want none", refused)
	}
}

// longestPause watches the load and returns the longest time without a whole answer.
func (l *load) longestPause(watch time.Duration) time.Duration {
	var longest time.Duration
	count, since := l.whole.Load(), time.Now()
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if now := l.whole.Load(); now != count {
			count, since = now, time.Now()
		}
		longest = max(longest, time.Since(since))
	}
	return longest.Round(10 * time.Millisecond)
}
