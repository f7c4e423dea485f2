package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// configBound is the time within which an accepted revision is in force everywhere.
const configBound = 3 * time.Second

// adminClient gives a frozen or cut daemon up quickly.
var adminClient = http.Client{Timeout: 500 * time.Millisecond}

// revisionOf returns the catalogue revision in force at a daemon; false means that it does not answer.
func revisionOf(f *fleet.Fleet, name string) (uint64, bool) {
	response, err := adminClient.Get(f.AdminURL(name) + "/status")
	if err != nil {
		return 0, false
	}
	defer func() { _ = response.Body.Close() }()
	var status struct {
		Revision uint64 `json:"catalogue_revision"`
	}
	return status.Revision, json.NewDecoder(response.Body).Decode(&status) == nil
}

func daemons(f *fleet.Fleet) []string { return append(f.Names("gate"), f.Names("entry")...) }

// awaitRevision waits until a revision is in force at the daemons and fails the test after the limit.
func awaitRevision(t *testing.T, f *fleet.Fleet, names []string, revision uint64, limit time.Duration) time.Duration {
	t.Helper()
	begin := time.Now()
	for _, name := range names {
		for {
			got, ok := revisionOf(f, name)
			if ok && got == revision {
				break
			}
			if time.Since(begin) > limit {
				t.Fatalf("%s is at revision %d after %s, want %d", name, got, limit, revision)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(begin)
}

// revisionWatch fails the test when a daemon shows a lower revision than it, or a predecessor, showed before.
type revisionWatch struct {
	stop    chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex
	reverts []string
	samples int
}

func watchRevisions(t *testing.T, f *fleet.Fleet) *revisionWatch {
	w := &revisionWatch{stop: make(chan struct{})}
	for _, name := range daemons(f) {
		w.running.Go(func() { w.follow(f, name) })
	}
	t.Cleanup(func() {
		close(w.stop)
		w.running.Wait()
		t.Logf("%d samples of revisions", w.samples)
		for _, revert := range w.reverts {
			t.Error(revert)
		}
	})
	return w
}

func (w *revisionWatch) follow(f *fleet.Fleet, name string) {
	const pause = 25 * time.Millisecond
	var highest uint64
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(pause):
		}
		revision, ok := revisionOf(f, name)
		// Revision 0 is a process that has no catalogue yet and is not ready.
		if !ok || revision == 0 {
			continue
		}
		w.sample(name, highest, revision)
		highest = max(highest, revision)
	}
}

func (w *revisionWatch) sample(name string, highest, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.samples++
	if revision < highest {
		w.reverts = append(w.reverts, fmt.Sprintf("%s went from revision %d back to %d", name, highest, revision))
	}
}

func configSpec() fleet.Spec {
	spec := fleet.Default()
	spec.Zones = []string{"a", "b", "c"}
	spec.ThroughLinks = true
	return spec
}

// addCustomer changes a catalogue so that a customer's key is known.
func addCustomer(name string) func(c *catalogue.Catalogue) {
	return func(c *catalogue.Catalogue) { c.Customers = append(c.Customers, fleet.Customer(name, 1)) }
}

func publish(t *testing.T, f *fleet.Fleet) uint64 {
	t.Helper()
	revision, err := f.Publish(func(*catalogue.Catalogue) {})
	must(t, err)
	return revision
}

// Guards against a revision that takes longer than the bound to reach every daemon.
func TestRevisionIsInForceInTime(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	var slowest time.Duration
	for i := range 10 {
		revision, err := f.Publish(addCustomer(fmt.Sprintf("new-%d", i)))
		must(t, err)
		slowest = max(slowest, awaitRevision(t, f, daemons(f), revision, configBound))
	}
	t.Logf("slowest of 10 revisions: %s", slowest)
}

// Guards against a daemon that goes back when the platform shows an older document.
func TestRevisionStaysWhenPlatformIsStale(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	old, err := f.Document(2, func(*catalogue.Catalogue) {})
	must(t, err)
	publish(t, f)
	revision := publish(t, f)
	awaitRevision(t, f, daemons(f), revision, configBound)
	must(t, f.PublishDocument(old))
	time.Sleep(configBound)
	awaitRevision(t, f, daemons(f), revision, configBound)
	for _, name := range []string{"gate-a1", "entry-b1"} {
		f.Kill(name)
		must(t, f.StartNode(name))
	}
	must(t, f.WaitReady(startLimit))
	awaitRevision(t, f, daemons(f), revision, configBound)
}

// Guards against a daemon that can't start, or starts with an old revision, while the platform is down.
func TestRestartWhilePlatformIsDown(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	revision := publish(t, f)
	awaitRevision(t, f, daemons(f), revision, configBound)
	must(t, f.PlatformMode(`{"down":true}`))
	for _, name := range []string{"gate-a1", "gate-c2", "entry-a1"} {
		f.Kill(name)
		must(t, f.StartNode(name))
		must(t, f.WaitReady(startLimit))
		awaitRevision(t, f, []string{name}, revision, configBound)
	}
	must(t, f.PlatformMode(`{}`))
	revision = publish(t, f)
	awaitRevision(t, f, daemons(f), revision, configBound)
}

// Guards against daemons that stay at an old revision, or bring it back, after a cut heals or a freeze ends.
func TestRevisionReachesBothSidesOfHealedCut(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	zone := []string{"gate-b1", "gate-b2"}
	cases := []struct {
		name          string
		begin, finish func(gate string) error
		gates         []string
	}{
		{"one zone cut", cut(f), heal(f), zone},
		{"all gates cut off from each other", cut(f), heal(f), f.Names("gate")},
		{"one zone frozen", f.Freeze, f.Thaw, zone},
	}
	for _, c := range cases {
		for _, gate := range c.gates {
			must(t, c.begin(gate))
		}
		time.Sleep(2500 * time.Millisecond)
		publish(t, f)
		time.Sleep(300 * time.Millisecond)
		revision := publish(t, f)
		for _, gate := range c.gates {
			must(t, c.finish(gate))
		}
		t.Logf("%s: everywhere %s after the end", c.name, awaitRevision(t, f, daemons(f), revision, configBound))
	}
}

func cut(f *fleet.Fleet) func(gate string) error {
	return func(gate string) error { return f.SetLink(gate, `"cut":true`) }
}

func heal(f *fleet.Fleet) func(gate string) error {
	return func(gate string) error { return f.SetLink(gate, `"cut":false`) }
}

// Guards against two operators' documents of one revision that are both in force.
func TestTwoOperatorsPublishOneRevision(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	for turn := range 4 {
		revision := uint64(2 + turn)
		names := []string{fmt.Sprintf("ann-%d", turn), fmt.Sprintf("bob-%d", turn)}
		for i := range names {
			// The order changes with the turn, so that the greater digest comes first and last.
			document, err := f.Document(revision, addCustomer(names[(i+turn)%2]))
			must(t, err)
			must(t, f.PublishDocument(document))
		}
		awaitRevision(t, f, daemons(f), revision, configBound)
		time.Sleep(configBound)
		checkOneOperatorWon(t, f, names)
	}
}

// checkOneOperatorWon asks every entry which of the customers it knows.
func checkOneOperatorWon(t *testing.T, f *fleet.Fleet, names []string) {
	t.Helper()
	winners := make(map[string]bool)
	for _, entry := range f.Names("entry") {
		known := ""
		for _, customer := range names {
			got := send(http.MethodGet, f.URL(entry)+"/v1/models", customer, nil, nil)
			if got.status == http.StatusOK {
				known += customer + " "
			}
		}
		winners[known] = true
	}
	if len(winners) != 1 || winners[""] || winners[names[0]+" "+names[1]+" "] {
		t.Errorf("the entries know the customers %v, want one and the same everywhere", winners)
	}
}

// Guards against an invalid revision that is taken over, or that keeps the next valid one out.
func TestInvalidRevisionIsSkipped(t *testing.T) {
	f := start(t, configSpec())
	watchRevisions(t, f)
	valid := publish(t, f)
	awaitRevision(t, f, daemons(f), valid, configBound)
	invalid, err := f.Document(valid+1, func(c *catalogue.Catalogue) { c.Pools[0].LoadMultiple = 0.5 })
	must(t, err)
	for _, document := range [][]byte{invalid, []byte("revision: 99\npools: [")} {
		must(t, f.PublishDocument(document))
		time.Sleep(configBound)
		awaitRevision(t, f, daemons(f), valid, configBound)
	}
	publish(t, f)
	next := publish(t, f)
	awaitRevision(t, f, daemons(f), next, configBound)
}
