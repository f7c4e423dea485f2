package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// zonedFleet starts routers that obey evacuations, and a target in each zone.
func zonedFleet(t *testing.T, routers int, service string, behavior platformtest.Behavior, zones ...string) (*fleet, []*platformtest.Target) {
	t.Helper()
	f := newFleetWith(t, routers, func(config *router.Config) {
		config.Evacuations = true
		config.Prefixes[directory.Config] = platform.OperatorPrefix
	})
	var all []*platformtest.Target
	for i, zone := range zones {
		target := platformtest.StartTarget(t, fmt.Sprint("e-", i), func(*http.Request) platformtest.Behavior { return behavior })
		entry := target.Entry(service, "ready")
		entry["zone"] = zone
		f.store.Put(platform.TargetPrefix+target.ID, entry)
		all = append(all, target)
	}
	f.awaitReady()
	for _, inst := range f.routers {
		inst.awaitLines(t, "target_listed", len(zones))
	}
	return f, all
}

func (inst *instance) awaitLines(t *testing.T, text string, count int) {
	t.Helper()
	await(t, fmt.Sprint(count, " lines with ", text), func() bool { return strings.Count(inst.output.String(), text) >= count })
}

func (f *fleet) evacuate(zone string) { f.store.Put(platform.EvacuationPrefix+zone, map[string]any{}) }

// Guards against requests to a zone that the operator evacuates, also by a router that can't read the store, against a
// zone that gets none after the evacuation, and against requests that wait, or all return at once, when all zones are
// evacuated.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	const requests = 40
	f, targets := zonedFleet(t, 2, "app", platformtest.Behavior{}, "a", "b")
	f.routers[1].door.Refuse()
	f.evacuate("a")
	for _, inst := range f.routers {
		inst.awaitLines(t, directory.EvacuationBegun, 1)
	}
	began := time.Now()
	for i := range requests {
		if got := f.sendTo(i, "/look/"); got.status != http.StatusOK {
			t.Errorf("status %d, %s, %v", got.status, got.body, got.err)
		}
	}
	if in, out := requestsSince(targets[0], began), requestsSince(targets[1], began); in > 0 || out != requests {
		t.Errorf("%d requests inside the zone, %d outside", in, out)
	}
	f.evacuate("b")
	for _, inst := range f.routers {
		inst.awaitLines(t, "all zones of services are evacuated", 1)
	}
	began = time.Now()
	returns := map[string]bool{}
	for i := range requests {
		got := f.sendTo(i, "/look/")
		text := got.header.Get("Retry-After")
		wait, err := strconv.ParseFloat(text, 64)
		if err != nil || got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "evacuated") || wait < 1 || wait > 2 || got.took > callWait/4 {
			t.Errorf("status %d after %v, Retry-After %q, %s", got.status, got.took, text, got.body)
		}
		returns[text] = true
	}
	if len(returns) < requests/2 {
		t.Errorf("%d clients return at %d different times", requests, len(returns))
	}
	if count := requestsSince(targets[0], began) + requestsSince(targets[1], began); count > 0 {
		t.Errorf("%d requests while all zones are evacuated", count)
	}
	f.store.Remove(platform.EvacuationPrefix + "a")
	for _, inst := range f.routers {
		inst.awaitLines(t, directory.EvacuationEnded, 1)
	}
	if got := f.sendTo(0, "/look/"); got.status != http.StatusOK || requestsSince(targets[0], began) != 1 {
		t.Errorf("after the evacuation: status %d, %s", got.status, got.body)
	}
}

// Guards against a router that starts after the store was restored from a copy without the key, and sends to the zone
// before the operator has had time to write it again.
func TestEvacuationOutlastsRestoredStore(t *testing.T) {
	f, targets := zonedFleet(t, 1, "app", platformtest.Behavior{}, "a", "b")
	backup := f.store.Backup()
	f.evacuate("a")
	f.routers[0].awaitLines(t, directory.EvacuationBegun, 1)
	f.store.Restore(backup)
	f.routers[0].awaitLines(t, directory.EvacuationRetained, 1)
	late := &instance{config: f.routers[0].config, door: platformtest.StartStoreEndpoint(t, f.store)}
	late.config.FrontAddress, late.config.ReadyAddress, late.config.PeerAddress = platformtest.FreeAddress(t), platformtest.FreeAddress(t), platformtest.FreeAddress(t)
	f.routers = append(f.routers, late)
	f.start(late)
	f.awaitReady()
	late.awaitLines(t, directory.EvacuationBegun, 1)
	began := time.Now()
	for i := range 20 {
		if got := f.sendTo(i, "/look/"); got.status != http.StatusOK {
			t.Errorf("status %d, %s, %v", got.status, got.body, got.err)
		}
	}
	for _, inst := range f.routers {
		if strings.Contains(inst.output.String(), directory.EvacuationEnded) {
			t.Fatal("the evacuation has ended while requests were sent")
		}
	}
	if count := requestsSince(targets[0], began); count > 0 {
		t.Errorf("%d requests reached the zone", count)
	}
	for _, inst := range f.routers {
		inst.awaitLines(t, directory.EvacuationEnded, 1)
	}
}

// Guards against a stalled stream in an evacuated zone that is moved, since it would continue there if that fails, and
// against one that is cut although its run goes on.
func TestStreamOfEvacuatedZoneIsNotMoved(t *testing.T) {
	const count = 60
	f, targets := zonedFleet(t, 1, "llm", platformtest.Behavior{
		Events: count, Work: 20 * time.Millisecond, StallAfter: 40, Stall: 600 * time.Millisecond, Move: http.StatusOK,
	}, "a", "b")
	// A router that has just started leaves the store to others for a second; the key would arrive after the stall.
	f.routers[0].awaitLines(t, `"msg":"store read","prefix":"op/"`, 2)
	source, done := f.startStream(targets)
	f.evacuate(map[bool]string{true: "a", false: "b"}[source == targets[0]])
	if got := <-done; got.err != nil || got.body != events(count) {
		t.Errorf("the stream was cut: %v, %q", got.err, got.body)
	}
	if run := source.Runs()[0]; run.Moved || run.Cut || run.Copied {
		t.Errorf("moved %v, cut %v, copied %v", run.Moved, run.Cut, run.Copied)
	}
	if !strings.Contains(f.routers[0].output.String(), "target is evacuated") {
		t.Error("the stream was not considered for a move")
	}
}

// Guards against a moved run that continues at its source although the source's zone is evacuated since the run was
// stopped.
func TestStoppedRunDoesNotReturnToEvacuatedZone(t *testing.T) {
	f, targets := zonedFleet(t, 1, "llm", platformtest.Behavior{}, "a", "b")
	zones := []string{"a", "b"}
	var once sync.Once
	for i, target := range targets {
		target.SetBehavior(func(r *http.Request) platformtest.Behavior {
			behavior := platformtest.Behavior{Events: 30, Work: 10 * time.Millisecond, StallAfter: 6, Stall: time.Second, Move: http.StatusOK}
			if !platformtest.ContinuesRun(r) {
				return behavior
			}
			once.Do(func() {
				f.evacuate(zones[1-i])
				for end := time.Now().Add(callWait / 2); time.Now().Before(end); time.Sleep(time.Millisecond) {
					if strings.Contains(f.routers[0].output.String(), directory.EvacuationBegun) {
						return
					}
				}
				t.Error("the evacuation was not noticed")
			})
			return platformtest.Behavior{NotRun: true}
		})
	}
	got := f.routers[0].send(context.Background(), post("/chat/", "1"))
	if got.err == nil {
		t.Errorf("the stream ended as complete: %q", got.body)
	}
	arrivals := 0
	for _, target := range targets {
		arrivals += len(target.Arrivals())
	}
	if arrivals != 2 {
		t.Errorf("%d requests, want one that was stopped and one to its destination", arrivals)
	}
}
