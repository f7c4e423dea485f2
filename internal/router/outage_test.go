package router_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// configBound is the platform's bound on the time between the confirmation of a configuration and its effect.
const configBound = 2 * time.Second

// storeReaders returns the routers with calls to the store in progress.
func (f *fleet) storeReaders() []*instance {
	var readers []*instance
	for _, inst := range f.routers {
		if inst.door.Pending() > 0 {
			readers = append(readers, inst)
		}
	}
	return readers
}

// awaitReaders waits until a few routers watch the store on behalf of all, and returns them.
func (f *fleet) awaitReaders() []*instance {
	f.t.Helper()
	const readers, settled = 3, 800 * time.Millisecond
	since := time.Now()
	await(f.t, "few routers read the store", func() bool {
		if len(f.storeReaders()) != readers {
			since = time.Now()
		}
		return time.Since(since) > settled
	})
	return f.storeReaders()
}

// requireRevokedKey checks that the routers reject the key of earlier configurations.
func requireRevokedKey(t *testing.T, routers []*instance) {
	t.Helper()
	for i, inst := range routers {
		if got := inst.send(context.Background(), post("/order/", fmt.Sprint("revoked-", i))); got.status != http.StatusUnauthorized {
			t.Errorf("%s accepts a key %v after its revocation: status %d", inst.config.Name, configBound, got.status)
		}
	}
}

// Guards against a configuration that is late because all readers lose the store without noticing, and most others too.
func TestReadersThatLoseTheStoreAreReplacedInTime(t *testing.T) {
	for _, others := range []int{0, 6} {
		t.Run(fmt.Sprint(others, " other routers lose it"), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 10)
			f.target("app-1", "app", platformtest.Behavior{})
			f.awaitReady()
			silenced := f.awaitReaders()
			for _, inst := range f.routers {
				if inst.door.Pending() == 0 && len(silenced) < 3+others {
					silenced = append(silenced, inst)
				}
			}
			for _, inst := range silenced {
				inst.door.Silence()
			}
			f.configure(map[string]any{"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"new"}}}})
			time.Sleep(configBound)
			requireRevokedKey(t, f.routers)
		})
	}
}

// addedRoute returns a change of the configuration that adds a route for a plain service.
func addedRoute(prefix string) map[string]any {
	return map[string]any{"routes": []any{map[string]any{
		"name": "added", "host": "h.example", "prefix": prefix, "kind": "safe", "service": "app",
		"timeout-ms": 3000, "target-latency-ms": 200, "max-attempts": 2,
	}}}
}

// Guards against changes that are missed after the store was restored from a backup, in which its revisions are given out
// again.
func TestChangesAfterStoreIsRestored(t *testing.T) {
	for _, lost := range []int{0, 1, 3} {
		for _, rewritten := range []int{0, 1, 5} {
			t.Run(fmt.Sprint(lost, " changes lost, ", rewritten, " written again"), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 5)
				f.target("app-1", "app", platformtest.Behavior{})
				f.awaitReady()
				f.awaitReaders()
				backup := f.store.Backup()
				for range lost {
					f.configure(nil)
				}
				time.Sleep(500 * time.Millisecond)
				f.store.Restore(backup)
				time.Sleep(500 * time.Millisecond)
				for range rewritten {
					f.configure(nil)
				}
				f.configure(addedRoute("/added/"))
				time.Sleep(configBound)
				for i, inst := range f.routers {
					if got := inst.send(context.Background(), get("/added/", fmt.Sprint("added-", i))); got.status != http.StatusOK {
						t.Errorf("%s does not serve a route %v after it was added: status %d", inst.config.Name, configBound, got.status)
					}
					if got := inst.send(context.Background(), get("/look/", fmt.Sprint("dropped-", i))); got.status != http.StatusNotFound {
						t.Errorf("%s serves a route %v after it was dropped: status %d", inst.config.Name, configBound, got.status)
					}
				}
			})
		}
	}
}

// Guards against a router that starts with the configuration of a restored store, although others have a newer one in force.
func TestStartAfterStoreIsRestored(t *testing.T) {
	f := newFleet(t, 4)
	f.target("app-1", "app", platformtest.Behavior{})
	f.awaitReady()
	f.awaitReaders()
	backup := f.store.Backup()
	f.configure(addedRoute("/added/"))
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(backup)
	time.Sleep(500 * time.Millisecond)
	restarted := f.routers[1]
	restarted.stop()
	if err := <-restarted.ended; err != nil {
		t.Fatal(err)
	}
	f.start(restarted)
	time.Sleep(configBound)
	for i, inst := range f.routers {
		if got := inst.send(context.Background(), get("/added/", fmt.Sprint("added-", i))); got.status != http.StatusOK {
			t.Errorf("%s does not serve a route of the newest configuration: status %d", inst.config.Name, got.status)
		}
	}
}

// Guards against entries of another writer after which routers end, or no longer follow the list of targets.
func TestOddEntriesDoNotStopTheList(t *testing.T) {
	odd := map[string]string{
		"nested":    strings.Repeat(`{"a":`, 100_000),
		"number":    `{"service":"app","addr":"127.0.0.1:80","zone":"a","slots":1` + strings.Repeat("0", 100_000) + `,"state":"ready","seq":1}`,
		"port":      `{"service":"app","addr":"127.0.0.1:70000","zone":"a","slots":6,"state":"ready","seq":1}`,
		"cold":      `{"service":"app","addr":"127.0.0.1:80","zone":"a","slots":6,"state":"well","seq":1,"cold-left-ms":1e300}`,
		"no\r\nid":  `{"service":"app","addr":"127.0.0.1:80","zone":"a","slots":6,"state":"ready","seq":1}`,
		"no bytes":  "",
		"null":      "null",
		"a list":    "[[]]",
		"long":      strings.Repeat("x", 500_000),
		"bad text":  "\xff\xfe",
		"app-1/odd": `{"service":"app","addr":"127.0.0.1:0","zone":"a","slots":6,"state":"ready","seq":1}`,
	}
	f := newFleet(t, 4)
	first := f.target("app-1", "app", platformtest.Behavior{})
	f.awaitReady()
	f.awaitReaders()
	for id, value := range odd {
		f.store.Put(platform.TargetPrefix+id, []byte(value))
	}
	f.target("app-2", "app", platformtest.Behavior{})
	f.store.Put(platform.TargetPrefix+"app-1", first.Entry("app", "draining"))
	time.Sleep(configBound)
	before := len(first.Runs())
	for i, inst := range f.routers {
		select {
		case err := <-inst.ended:
			t.Errorf("%s has ended: %v", inst.config.Name, err)
		default:
		}
		for n := range 5 {
			if got := inst.send(context.Background(), get("/look/", fmt.Sprint("look-", i, "-", n))); got.status != http.StatusOK {
				t.Errorf("%s: status %d, %v", inst.config.Name, got.status, got.err)
			}
		}
	}
	if got := len(first.Runs()) - before; got > 0 {
		t.Errorf("%d requests reached a target that drains", got)
	}
	const logDelay = 500 * time.Millisecond
	time.Sleep(logDelay)
	for id := range odd {
		for _, inst := range f.routers {
			if strings.Contains(inst.output.String(), fmt.Sprintf(`"target":%q`, id)) {
				t.Errorf("%s sent a request to %q", inst.config.Name, id)
			}
		}
	}
}

// Guards against changes that are late because open connections to the store have gone silent, without a reset, while new
// ones work.
func TestChangesAfterConnectionsHaveGoneSilent(t *testing.T) {
	for name, share := range map[string]float64{"of most routers": 0.7, "of all routers": 1} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 10)
			leaving := f.target("app-1", "app", platformtest.Behavior{})
			f.target("app-2", "app", platformtest.Behavior{})
			f.awaitReady()
			severed := f.awaitReaders()
			for _, inst := range f.routers {
				if inst.door.Pending() == 0 && len(severed) < int(share*float64(len(f.routers))) {
					severed = append(severed, inst)
				}
			}
			for _, inst := range severed {
				inst.door.Sever()
			}
			f.configure(map[string]any{"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key", "new"}}}})
			f.configure(map[string]any{"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"new"}}}})
			f.store.Put(platform.TargetPrefix+"app-1", leaving.Entry("app", "draining"))
			// For the platform's bounds this is a reset of the connections, from which they hold again after this time.
			time.Sleep(propagationBound)
			requireRevokedKey(t, f.routers)
			before := len(leaving.Arrivals())
			for i, inst := range f.routers {
				for j := range 4 {
					a := get("/look/", fmt.Sprint("r", i, j))
					a.header = map[string]string{"Authorization": "Bearer new"}
					if got := inst.send(context.Background(), a); got.status != http.StatusOK {
						t.Errorf("%s: status %d, %s", inst.config.Name, got.status, got.body)
					}
				}
			}
			if late := len(leaving.Arrivals()) - before; late > 0 {
				t.Errorf("%d requests reached a target %v after it began to drain", late, propagationBound)
			}
		})
	}
}
