package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform"
)

// Guards against requests to an evacuated zone from evac-ms after the order until its removal, also by a router that is
// killed and starts again during the evacuation, and against a zone that gets none afterwards.
func TestEvacuation(t *testing.T) {
	const evacuationBound, evacuated, after = 5 * time.Second, 8 * time.Second, 4 * time.Second
	zones := map[string]string{"llm-1": "b", "llm-3": "b", "app-5": "b"}
	w := newWorld(t, seedOfCI, func(w *world) { w.bounds, w.zones = "evac-ms = 5000\n", zones })
	w.awaitServing("at the start")
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		running.Go(func() { w.call(ctx, rng) })
	}
	w.store.Put(platform.EvacuationPrefix+"b", map[string]any{})
	acknowledged := time.Now()
	restarted := w.routers[1]
	restarted.kill()
	time.Sleep(time.Second)
	restarted.start(t)
	time.Sleep(evacuated - time.Since(acknowledged))
	removed := time.Now()
	w.store.Remove(platform.EvacuationPrefix + "b")
	time.Sleep(after)
	stop()
	running.Wait()
	before, during, later := 0, 0, 0
	for _, target := range w.targets {
		if zones[target.ID] == "" {
			continue
		}
		for _, arrival := range target.Arrivals() {
			switch {
			case arrival.At.Before(acknowledged):
				before++
			case arrival.At.After(removed):
				later++
			case arrival.At.After(acknowledged.Add(evacuationBound)):
				during++
			}
		}
	}
	t.Logf("%d requests in the zone before, %d from the bound to the end, %d after", before, during, later)
	if before == 0 || during > 0 || later == 0 {
		t.Errorf("%d requests in the evacuated zone, %d before, %d after", during, before, later)
	}
	served := map[int]int{}
	for _, r := range w.records {
		if r.at.After(acknowledged.Add(evacuationBound)) && r.at.Before(removed) && r.status == http.StatusOK && r.whole {
			served[r.router]++
		}
	}
	for _, router := range w.routers {
		if served[router.number] == 0 {
			t.Errorf("router %d served nothing during the evacuation", router.number)
		}
	}
	if t.Failed() {
		w.keepLogs()
	}
}
