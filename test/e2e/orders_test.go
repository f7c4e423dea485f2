package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/orders"
	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// ordersLimit bounds the time to reconcile all engines of a small fleet: a new permit issuer waits for 10 s, and a
// new owner of an engine that ignores fencing numbers for 7 s.
const ordersLimit = 90 * time.Second

func getJSON(location string, into any) error {
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Get(location)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

// awaitVersion waits until every engine reports the version.
func awaitVersion(t *testing.T, f *fleet.Fleet, version string) {
	t.Helper()
	begin := time.Now()
	for _, name := range f.Names("engine") {
		for !hasVersion(f, name, version) {
			if time.Since(begin) > ordersLimit {
				t.Fatalf("%s does not have version %s after %s", name, version, ordersLimit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	t.Logf("all engines have version %s after %s", version, time.Since(begin).Round(100*time.Millisecond))
}

func hasVersion(f *fleet.Fleet, name, version string) bool {
	var status engine.Status
	err := getJSON(f.URL(name)+"/status", &status)
	return err == nil && status.Model == fleet.ModelPool && status.Version == version && !status.Busy
}

func publishVersion(t *testing.T, f *fleet.Fleet, version string) {
	t.Helper()
	if _, err := f.Publish(func(c *catalogue.Catalogue) { c.Pools[0].Version = version }); err != nil {
		t.Fatal(err)
	}
}

// weightReads returns when engines started to read the weight store, in order.
func weightReads(t *testing.T, f *fleet.Fleet) []time.Duration {
	t.Helper()
	var reads []time.Duration
	for _, name := range f.Names("engine") {
		for _, run := range logOf(t, f, name) {
			if run.WeightReads > 0 {
				reads = append(reads, time.Duration(run.StartMS)*time.Millisecond)
			}
		}
	}
	slices.Sort(reads)
	return reads
}

// checkWeightRate fails when more reads start in any time than the permits allow, and logs the busiest second.
func checkWeightRate(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	reads := weightReads(t, f)
	busiest := 0
	for i := range reads {
		for j := i; j < len(reads); j++ {
			span, count := reads[j]-reads[i], j-i+1
			if span < time.Second {
				busiest = max(busiest, count)
			}
			if allowed := int((span+orders.DefaultPermitLifetime)/orders.DefaultPermitInterval) + 1; count > allowed {
				t.Errorf("%d weight reads in %s, at most %d are allowed", count, span, allowed)
			}
		}
	}
	t.Logf("%d weight reads, at most %d in one second", len(reads), busiest)
}

// Guards against engines that stay at an old version, against a weight store that all engines read at once, and
// against a new version that leaves callers without an engine.
func TestNewVersionIsLoadedEverywhere(t *testing.T) {
	spec := fleet.Default()
	spec.Engines = 12
	f := start(t, spec)
	l := startLoad(f, "rose", 6, 20)
	publishVersion(t, f, "v2")
	awaitVersion(t, f, "v2")
	l.finish(t)
	if l.whole.Load() == 0 {
		t.Error("no request was answered")
	}
	checkWeightRate(t, f)
	if reads := len(weightReads(t, f)); reads != spec.Engines {
		t.Errorf("%d weight reads for %d engines", reads, spec.Engines)
	}
}

// Guards against an owner that was frozen in the middle of its orders and undoes those of its successor when it wakes.
func TestFrozenOwnerDoesNotWin(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("engines check fencing %v", checksFencing), func(t *testing.T) {
			spec := fleet.Default()
			spec.Zones = []string{"a"}
			spec.Engines = 6
			spec.Model.ChecksFencing = checksFencing
			spec.EngineFlags = []string{"--load-time", "1s"}
			f := start(t, spec)
			publishVersion(t, f, "v2")
			awaitVersion(t, f, "v2")
			publishVersion(t, f, "v3")
			frozen := freezeOwner(t, f)
			time.Sleep(3 * time.Second)
			publishVersion(t, f, "v4")
			awaitVersion(t, f, "v4")
			if err := f.Thaw(frozen); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Second)
			awaitVersion(t, f, "v4")
			checkWeightRate(t, f)
		})
	}
}

// freezeOwner freezes the first gate that waits for the answer to an order.
func freezeOwner(t *testing.T, f *fleet.Fleet) string {
	t.Helper()
	var status struct {
		Orders []orders.EngineStatus `json:"orders"`
	}
	for begin := time.Now(); time.Since(begin) < ordersLimit; time.Sleep(5 * time.Millisecond) {
		for _, gate := range f.Names("gate") {
			if err := getJSON(f.AdminURL(gate)+"/status", &status); err != nil {
				t.Fatal(err)
			}
			if slices.ContainsFunc(status.Orders, func(e orders.EngineStatus) bool { return e.Phase == "ordering" }) {
				if err := f.Freeze(gate); err != nil {
					t.Fatal(err)
				}
				return gate
			}
		}
	}
	t.Fatal("no gate sends an order")
	return ""
}

// Guards against an engine that is left without its model after a restart, and against requests to one that has none.
func TestEmptyEngineIsLoadedAgain(t *testing.T) {
	spec := fleet.Default()
	spec.EmptyEngines = true
	f := start(t, spec)
	time.Sleep(time.Second)
	early := send(http.MethodPost, f.URL("entry-a1")+"/v1/chat/completions", "rose", nil, chatBody("early", 5, false))
	if code, ran := early.errorCode(); early.status != http.StatusServiceUnavailable || ran != "no" {
		t.Errorf("status %d, code %s, ran %s while no engine has a model", early.status, code, ran)
	}
	awaitVersion(t, f, "v1")
	for _, name := range f.Names("engine") {
		for _, run := range logOf(t, f, name) {
			if run.Kind == "run" {
				t.Errorf("%s got request %s without a model", name, run.RequestID)
			}
		}
	}
	f.Kill("engine-01")
	if err := f.StartNode("engine-01"); err != nil {
		t.Fatal(err)
	}
	awaitVersion(t, f, "v1")
	checkWeightRate(t, f)
	if got := send(http.MethodPost, f.URL("entry-a1")+"/v1/chat/completions", "rose", nil, chatBody("hello", 5, false)); got.status != http.StatusOK {
		t.Errorf("status %d: %s", got.status, got.body)
	}
}
