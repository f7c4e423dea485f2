package e2e

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

const (
	regionCutTime = 10 * time.Second
	// regionOrders have their executor in one region and their witness in the other.
	regionOrders = 20
)

func regionSpec() fleet.Spec {
	spec := notRunSpec()
	spec.Zones = []string{"a", "b", "c", "d"}
	spec.Regions = []string{"r1", "r1", "r2", "r2"}
	spec.Services = 4
	return spec
}

// daemonsOf returns the daemons of some zones with a role, or of all roles.
func daemonsOf(f *fleet.Fleet, zones ...string) []string {
	return slices.DeleteFunc(daemons(f), func(name string) bool { return !slices.Contains(zones, f.Zone(name)) })
}

// cutRegions sets the condition of all traffic between two regions, and between the second one and the platform.
func cutRegions(t *testing.T, f *fleet.Fleet, condition string) {
	t.Helper()
	first, second := daemonsOf(f, "a", "b"), daemonsOf(f, "c", "d")
	for _, b := range second {
		must(t, f.SetPlatformLink(b, condition))
		for _, a := range first {
			traffic(t, f, a, b, condition)
			traffic(t, f, b, a, condition)
		}
	}
}

// ordersAcross gets tickets whose executor and witness are in different regions.
func ordersAcross(t *testing.T, f *fleet.Fleet) []*order {
	t.Helper()
	var orders []*order
	entries := f.Names("entry")
	for i := 0; len(orders) < regionOrders; i++ {
		o := newOrder(t, f, f.URL(entries[i%len(entries)]), fmt.Sprintf(`{"part":"across-%d"}`, i))
		if o.ticket.Executor.Region != o.ticket.Witness.Region {
			orders = append(orders, o)
		}
	}
	return orders
}

// Guards against orders that run twice, false refusals, overload and lost revisions when two regions lose contact.
func TestRegionsLoseContact(t *testing.T) {
	for _, c := range []struct{ name, begin, end string }{
		{"connections refused", cutOn, cutOff},
		{"packets lost", lossOn, lossOff},
	} {
		t.Run(c.name, func(t *testing.T) { checkRegionCut(t, c.begin, c.end) })
	}
}

func checkRegionCut(t *testing.T, begin, end string) {
	spec := regionSpec()
	f := start(t, spec)
	watchRevisions(t, f)
	orders := ordersAcross(t, f)
	loads := []*mixedLoad{startMixedLoadAt(f, 16, "a", "b"), startMixedLoadAt(f, 16, "c", "d")}
	time.Sleep(time.Second)
	cutRegions(t, f, begin)
	var sent sync.WaitGroup
	for i, o := range orders {
		for try, at := range sendTimes(i, 0) {
			sent.Go(func() {
				time.Sleep(time.Duration(i)*regionCutTime/regionOrders + at)
				o.send(f.URL(f.Names("entry")[try%len(f.Names("entry"))]))
			})
		}
	}
	time.Sleep(regionCutTime / 2)
	revision := publish(t, f)
	t.Logf("in force in the region with the platform after %s", awaitRevision(t, f, daemonsOf(f, "a", "b"), revision, configBound))
	before := []int{loads[0].answers(), loads[1].answers()}
	time.Sleep(regionCutTime / 2)
	for i, l := range loads {
		if got := l.answers() - before[i]; got == 0 {
			t.Errorf("region %d got no answer in the second half of the cut", i+1)
		}
	}
	t.Logf("owners before the end: %v", admitters(t, f))
	cutRegions(t, f, end)
	t.Logf("in force everywhere %s after the end", awaitRevision(t, f, daemons(f), revision, configBound))
	awaitAllFull(t, f)
	sent.Wait()
	for _, l := range loads {
		l.finish(t)
	}
	checkOrders(t, f, orders)
	checkLoadMultiple(t, f, spec.Model.LoadMultiple)
}
