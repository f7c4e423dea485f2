package configsync

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
)

const scheduleCount = 40

// requireConverged fails the test unless all daemons are ready and hold the version.
func (w *simulation) requireConverged(want catalogue.Version) {
	w.t.Helper()
	for _, d := range w.daemons {
		if !d.machine.Ready() || d.applied != want {
			w.fail("%s has %v (ready: %v), want %v", d.name, d.applied, d.machine.Ready(), want)
		}
	}
}

// fault injects one random fault or change.
func (w *simulation) injectFault(revision *uint64, highest *catalogue.Version) {
	switch w.random.Intn(9) {
	case 0:
		w.partition(2 + w.random.Intn(2))
	case 1:
		w.platform.down = !w.platform.down
	case 2:
		w.platform.stale = !w.platform.stale
	case 3, 4:
		w.daemons[w.random.Intn(len(w.daemons))].start()
	case 5:
		w.loss = w.random.Float64() / 2
		w.faultAt = w.now
	case 6:
		w.publish(nil)
	case 7:
		// A second operator reuses the revision with other content.
		w.publishRevision(*revision, highest)
	default:
		*revision++
		w.publishRevision(*revision, highest)
	}
}

func (w *simulation) publishRevision(revision uint64, highest *catalogue.Version) {
	c := newCatalogue(w.t, revision, w.random.Intn(6))
	if c.Version().Compare(*highest) > 0 {
		*highest = c.Version()
	}
	w.publish(c)
}

// Checks requirement R7 under combinations of message loss, partitions, a platform that is down or stale, restarts,
// invalid revisions and two operators: no daemon reverts, and 3 s after the network recovers all hold the newest
// revision.
func TestRandomSchedulesConverge(t *testing.T) {
	for seed := int64(1); seed <= scheduleCount; seed++ {
		w := newSimulation(t, seed, 3, 3)
		revision := uint64(1) // a reuse of revision 1 may be replaced unread, so final values start at 2
		var highest catalogue.Version
		for range 5 {
			for range 3 + w.random.Intn(8) {
				w.injectFault(&revision, &highest)
				w.runFor(w.randomDuration(10*time.Millisecond, 3*time.Second))
			}
			w.heal()
			revision++
			w.publishRevision(revision, &highest)
			w.runFor(3 * time.Second)
			w.requireConverged(highest)
		}
		w.checkReadRates()
	}
	t.Logf("seeds 1 to %d", scheduleCount)
}

// checkReadRates checks the platform's read budget: no daemon reads more than 5 times in any second.
func (w *simulation) checkReadRates() {
	const perSecond = 5
	for _, d := range w.daemons {
		for i := perSecond; i < len(d.reads); i++ {
			if d.reads[i]-d.reads[i-perSecond] < time.Second {
				w.fail("%s reads the platform more than %d times in the second from %v", d.name, perSecond, d.reads[i-perSecond])
			}
		}
	}
}

// Checks the read budget while the platform is down, stale or healthy, when two watchers per zone have one long poll
// each.
func TestPlatformReadsStayBounded(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*platform)
		most    int
	}{
		{"waiting", func(*platform) {}, 6 * 60},
		{"down", func(p *platform) { p.down = true }, 6 * 60 * 2},
		{"stale", func(p *platform) { p.stale = true }, 6 * 60 * 2},
	}
	for _, test := range cases {
		w := newSimulation(t, 1, 3, 5)
		for revision := range uint64(4) {
			w.publish(newCatalogue(t, revision+1, 0))
		}
		w.runFor(5 * time.Second)
		test.prepare(w.platform)
		w.answerPendingReads()
		before := w.totalReads()
		w.runFor(time.Minute)
		reads := w.totalReads() - before
		t.Logf("seed 1, 15 gates, platform %s: %d reads in 60 s", test.name, reads)
		if reads > test.most {
			t.Errorf("platform %s: %d reads in 60 s, want at most %d", test.name, reads, test.most)
		}
		w.checkReadRates()
	}
}

func (w *simulation) totalReads() int {
	total := 0
	for _, d := range w.daemons {
		total += len(d.reads)
	}
	return total
}

// Guards against daemons that never become ready after all restart together, with the platform available from the start
// or only later.
func TestAllStartTogether(t *testing.T) {
	for _, downFor := range []time.Duration{0, 20 * time.Second} {
		w := newSimulation(t, 2, 3, 4)
		w.platform.down = downFor > 0
		c := newCatalogue(t, 5, 0)
		w.publish(c)
		w.runFor(downFor)
		w.heal()
		w.runFor(3 * time.Second)
		w.requireConverged(c.Version())
	}
}

// Guards against an invalid revision that hides the next valid one or replaces the previous one.
func TestInvalidRevisionIsSkipped(t *testing.T) {
	w := newSimulation(t, 3, 2, 2)
	first, last := newCatalogue(t, 1, 0), newCatalogue(t, 3, 1)
	w.publish(first)
	w.runFor(3 * time.Second)
	w.publish(nil)
	w.runFor(3 * time.Second)
	w.requireConverged(first.Version())
	w.publish(last)
	w.runFor(3 * time.Second)
	w.requireConverged(last.Version())
	for _, d := range w.daemons {
		if d.skipped[Invalid] != 1 {
			t.Errorf("seed 3: %s counted %d invalid revisions, want 1", d.name, d.skipped[Invalid])
		}
	}
}

// Guards against a restarted watcher that takes an old revision from a stale platform and serves it.
func TestRestartWithStalePlatform(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		w := newSimulation(t, seed, 2, 3)
		w.publish(newCatalogue(t, 1, 0))
		newest := newCatalogue(t, 2, 0)
		w.publish(newest)
		w.runFor(4 * time.Second)
		w.requireConverged(newest.Version())
		w.platform.published[1] = newCatalogue(t, 1, 0)
		for _, d := range w.daemons {
			d.start()
			w.runFor(2 * time.Second)
			w.requireConverged(newest.Version())
		}
	}
	t.Log("seeds 1 to 20")
}
