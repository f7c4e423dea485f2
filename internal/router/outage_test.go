package router_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

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
	const readers, settled = 3, 1500 * time.Millisecond
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
