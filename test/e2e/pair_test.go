package e2e

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

const (
	// pairCutTime is longer than the suspicion time, D and L together.
	pairCutTime = 10 * time.Second
	// pairOrders are sent through the cut, with 1 to 5 tries each.
	pairOrders = 20
	// settleTime bounds the return to one full owner of each target after the end of a cut.
	settleTime = 10 * time.Second
)

// fleetStatus is the part of a gate's status that concerns views and ownership.
type fleetStatus struct {
	View        membership.View   `json:"view"`
	Permissions map[string]string `json:"permissions"`
}

func statusOf(t *testing.T, f *fleet.Fleet, gate string) fleetStatus {
	t.Helper()
	var status fleetStatus
	got := send(http.MethodGet, f.AdminURL(gate)+"/status", "rose", nil, nil)
	must(t, got.err)
	must(t, json.Unmarshal([]byte(got.body), &status))
	return status
}

// admitters returns the gates that admit to each target, with their modes.
func admitters(t *testing.T, f *fleet.Fleet) map[string][]string {
	t.Helper()
	found := make(map[string][]string)
	for _, gate := range f.Names("gate") {
		for target, permission := range statusOf(t, f, gate).Permissions {
			mode, _, _ := strings.Cut(permission, ",")
			if mode != "none" {
				found[target] = append(found[target], gate+" "+mode)
			}
		}
	}
	return found
}

// checkOwners requires that some gate admits to each target, and at most one in full.
func checkOwners(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	owners := admitters(t, f)
	t.Logf("owners before the end: %v", owners)
	for _, target := range append(f.Names("engine"), f.Names("service")...) {
		full := 0
		for _, owner := range owners[target] {
			if strings.HasSuffix(owner, " full") {
				full++
			}
		}
		if len(owners[target]) == 0 || full > 1 {
			t.Errorf("%s has the owners %v", target, owners[target])
		}
	}
}

// allFull reports whether each target has one owner, which admits in full.
func allFull(t *testing.T, f *fleet.Fleet) bool {
	t.Helper()
	owners := admitters(t, f)
	for _, target := range append(f.Names("engine"), f.Names("service")...) {
		if got := owners[target]; len(got) != 1 || !strings.HasSuffix(got[0], " full") {
			return false
		}
	}
	return true
}

func awaitAllFull(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	begin := time.Now()
	for !allFull(t, f) {
		if time.Since(begin) > settleTime {
			t.Fatalf("owners %s after the end of the cut: %v", settleTime, admitters(t, f))
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("one full owner of each target %s after the end", time.Since(begin).Round(100*time.Millisecond))
}

// pairCut is a change of the traffic of an order's executor, and what has to hold while it lasts.
type pairCut struct {
	spec func(*fleet.Spec)
	// set changes the traffic; condition is a JSON field of the link's condition.
	set func(t *testing.T, f *fleet.Fleet, o *order, condition string)
	// begin and end are the conditions during the cut and after it.
	begin, end string
	during     func(t *testing.T, f *fleet.Fleet, o *order)
}

// check brings the cut about under load. No order may run twice, "not run" has to be true, the load limit has to hold,
// and after the end everything is as before.
func (c pairCut) check(t *testing.T) {
	t.Helper()
	spec := notRunSpec()
	if c.spec != nil {
		c.spec(&spec)
	}
	f := start(t, spec)
	orders := ordersOfOnePair(t, f, pairOrders, "pair")
	l := startMixedLoad(f, 24)
	time.Sleep(time.Second)
	c.set(t, f, orders[0], c.begin)
	entries := f.Names("entry")
	var sent sync.WaitGroup
	for i, o := range orders {
		for try, at := range sendTimes(i, 0) {
			sent.Go(func() {
				time.Sleep(time.Duration(i)*pairCutTime/pairOrders + at)
				o.send(f.URL(entries[try%len(entries)]))
			})
		}
	}
	time.Sleep(pairCutTime)
	checkOwners(t, f)
	if c.during != nil {
		c.during(t, f, orders[0])
	}
	c.set(t, f, orders[0], c.end)
	sent.Wait()
	awaitAllFull(t, f)
	l.finish(t)
	checkOrders(t, f, orders)
	checkLoadMultiple(t, f, spec.Model.LoadMultiple)
}

// checkOrders checks the orders, and that none of the load's orders ran twice.
func checkOrders(t *testing.T, f *fleet.Fleet, orders []*order) {
	t.Helper()
	runs := countRuns(runLogs(t, f, f.Names("service")))
	var count tally
	for _, o := range orders {
		o.check(t, runs[o.body], unknownAllowed, &count)
	}
	t.Log(count)
	for body, n := range runs {
		if n > 1 && strings.Contains(body, `"order"`) {
			t.Errorf("%s ran %d times", body, n)
		}
	}
}

func traffic(t *testing.T, f *fleet.Fleet, from, to, condition string) {
	t.Helper()
	must(t, f.SetTraffic(from, to, condition))
}

func bothWays(t *testing.T, f *fleet.Fleet, o *order, condition string) {
	t.Helper()
	traffic(t, f, o.ticket.Executor.Name, o.ticket.Witness.Name, condition)
	traffic(t, f, o.ticket.Witness.Name, o.ticket.Executor.Name, condition)
}

// checkHeardByRelay requires that the two gates of a pair still count each other as live.
func checkHeardByRelay(t *testing.T, f *fleet.Fleet, o *order) {
	t.Helper()
	for _, pair := range [][2]string{{o.ticket.Executor.Name, o.ticket.Witness.Name}, {o.ticket.Witness.Name, o.ticket.Executor.Name}} {
		view := statusOf(t, f, pair[0]).View
		member, _ := view.Gate(pair[1])
		if member.State != membership.Live || !member.Heard || member.Direct {
			t.Errorf("at %s the other gate is %+v, want live by relay", pair[0], member)
		}
	}
}

const (
	cutOn   = `"cut":true`
	cutOff  = `"cut":false`
	lossOn  = `"freeze":true`
	lossOff = `"freeze":false`
)

// Guards against two owners, orders that run twice and overload when two gates of a zone don't hear each other, but all
// others hear both.
func TestPairOfOneZoneIsCut(t *testing.T) {
	pairCut{
		spec:   func(spec *fleet.Spec) { spec.Zones, spec.GatesPerZone = []string{"a"}, 4 },
		set:    bothWays,
		begin:  cutOn,
		end:    cutOff,
		during: checkHeardByRelay,
	}.check(t)
}

// Guards against the same for gates of two zones, with connections that stay open and whose messages come late.
func TestPairOfTwoZonesLosesPackets(t *testing.T) {
	pairCut{set: bothWays, begin: lossOn, end: lossOff}.check(t)
}

// Guards against an executor whose intents come late, after the order was sealed or settled.
func TestExecutorDoesNotReachWitness(t *testing.T) {
	pairCut{
		set: func(t *testing.T, f *fleet.Fleet, o *order, condition string) {
			traffic(t, f, o.ticket.Executor.Name, o.ticket.Witness.Name, condition)
		},
		begin: lossOn,
		end:   lossOff,
	}.check(t)
}

// Guards against an executor that runs an order on an acknowledgement which comes after it answered "not run".
func TestWitnessDoesNotReachExecutor(t *testing.T) {
	pairCut{
		set: func(t *testing.T, f *fleet.Fleet, o *order, condition string) {
			traffic(t, f, o.ticket.Witness.Name, o.ticket.Executor.Name, condition)
		},
		begin: lossOn,
		end:   lossOff,
	}.check(t)
}

// Guards against an owner that still hears all others, so that it admits in full, while none hears it and another gate
// takes its targets over.
func TestGateIsHeardByNone(t *testing.T) {
	pairCut{
		set: func(t *testing.T, f *fleet.Fleet, o *order, condition string) {
			for _, other := range append(f.Names("gate"), f.Names("entry")...) {
				if other != o.ticket.Executor.Name {
					traffic(t, f, o.ticket.Executor.Name, other, condition)
				}
			}
		},
		begin: lossOn,
		end:   lossOff,
	}.check(t)
}
