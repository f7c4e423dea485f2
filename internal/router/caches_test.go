package router_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// promptIn returns a request whose prompt shares a part with others. The prompt is long, so that one additional request
// at an engine, which other routers report for up to 250 ms after its end, does not move it to another engine as it
// would a short one.
func promptIn(part, id string) call {
	a := get("/chat/1", id)
	a.prompt = []routes.Part{{ID: part, Tokens: 8000}, {ID: id, Tokens: 100}}
	return a
}

// cachedFleet is a fleet whose engines each have one prompt cached.
type cachedFleet struct {
	*fleet
	engines []*platformtest.Target
}

func newCachedFleet(t *testing.T, routers int) *cachedFleet {
	t.Helper()
	f := &cachedFleet{fleet: newFleet(t, routers)}
	for i := range 6 {
		engine := f.target(fmt.Sprint("i-", i), "llm", platformtest.Behavior{Events: 2})
		engine.SetCached(f.prompt(i))
		f.engines = append(f.engines, engine)
	}
	return f
}

func (f *cachedFleet) prompt(i int) string { return fmt.Sprintf("aa%02d", i) }

// awaitCaches waits until the router has finished discovering the caches.
func (f *cachedFleet) awaitCaches(inst *instance) {
	f.t.Helper()
	await(f.t, "the caches are known", func() bool { return strings.Contains(inst.output.String(), "caches known") })
	// Cache lists are broadcast in datagrams, which may arrive shortly after the sender has logged that its share is
	// known.
	time.Sleep(100 * time.Millisecond)
}

// check fails unless the router sends each prompt to the engine that has it cached.
func (f *cachedFleet) check(round string, inst *instance) {
	f.t.Helper()
	for i, engine := range f.engines {
		id := fmt.Sprintf("%s%s%d", round, strings.TrimPrefix(inst.config.Name, "vm-"), i)
		if got := inst.send(context.Background(), promptIn(f.prompt(i), id)); got.status != 200 {
			f.t.Fatalf("%s: status %d, %v", id, got.status, got.err)
		}
		runs := engine.Runs()
		if len(runs) == 0 || runs[len(runs)-1].RequestID != id {
			f.t.Errorf("%s: request %s did not run at %s, which has its prompt cached: %s", inst.config.Name, id, engine.ID, inst.lineOf(id))
		}
	}
}

// lineOf returns the router's log line of an attempt, which is written within half a second.
func (inst *instance) lineOf(id string) string {
	time.Sleep(time.Second)
	for line := range strings.Lines(inst.output.String()) {
		if strings.Contains(line, `"request":"`+id+`"`) {
			return line
		}
	}
	return "not logged"
}

// checkLists fails unless each engine was queried exactly once for its cache contents.
func (f *cachedFleet) checkLists() {
	f.t.Helper()
	for _, engine := range f.engines {
		if engine.CacheListCalls() != 1 {
			f.t.Errorf("%s received %d cache list requests, want 1", engine.ID, engine.CacheListCalls())
		}
	}
}

// Guards against prompts being processed again after all routers were lost: each engine is queried once for its cache
// contents, and all routers send the prompts to the engines that have them cached. A router that restarts alone learns
// the same from a peer.
func TestRestartedRoutersKnowCaches(t *testing.T) {
	f := newCachedFleet(t, 3)
	f.awaitReady()
	for _, inst := range f.routers {
		f.awaitCaches(inst)
	}
	for _, inst := range f.routers {
		f.check("e", inst)
	}
	// By then the other routers announce that they know the caches.
	time.Sleep(2 * time.Second)
	last := f.routers[2]
	last.stop()
	<-last.ended
	f.start(last)
	f.awaitReady()
	f.awaitCaches(last)
	f.check("f", last)
	f.checkLists()
}

// Guards against engines that are never queried: a router that starts slightly later mistakes a peer that has queried
// only its own share for one that knows all caches.
func TestLateRouterAsksItsShare(t *testing.T) {
	f := newCachedFleet(t, 2)
	time.Sleep(900 * time.Millisecond)
	late := &instance{config: f.routers[0].config, door: platformtest.StartStoreEndpoint(t, f.store)}
	late.config.Name, late.config.FrontAddress = "vm-2", platformtest.FreeAddress(t)
	late.config.ReadyAddress, late.config.PeerAddress = platformtest.FreeAddress(t), platformtest.FreeAddress(t)
	f.routers = append(f.routers, late)
	f.start(late)
	f.awaitReady()
	for _, inst := range f.routers {
		f.awaitCaches(inst)
	}
	for _, inst := range f.routers {
		f.check("g", inst)
	}
	f.checkLists()
}

// Guards against a first start in which every router reads the complete store, although a few could read it for all:
// the store has a rate limit, and its calls are charged for.
func TestFirstStartReadsTheStoreOnce(t *testing.T) {
	const count, ranges = 12, 2
	f := newFleetWith(t, count, func(config *router.Config) { config.FirstStart = true })
	f.target("i-1", "llm", platformtest.Behavior{Events: 2})
	f.awaitReady()
	if calls := f.store.Calls(); calls >= count*ranges {
		t.Errorf("%d store calls for %d routers and %d ranges, want fewer than one per router and range", calls, count, ranges)
	}
	for _, inst := range f.routers {
		if got := inst.send(context.Background(), get("/chat/1", "c"+inst.config.Name)); got.status != 200 {
			t.Errorf("%s: status %d, %v", inst.config.Name, got.status, got.err)
		}
	}
}
