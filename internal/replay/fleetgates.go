package replay

import (
	"fmt"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/loadnews"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// gatesPerZone gives a deployment 6 to 8 gates, which is its number of VMs.
const gatesPerZone = 2

// simulatedGate is one gate's admission.
type simulatedGate struct {
	name, zone string
	controller *admission.Controller
	waiting    map[admission.ID]func(now time.Duration, started bool)
}

// gates are the gates of a simulated fleet, each with the admission controller that a real gate has.
type gates struct {
	pool      *catalogue.Pool
	customers []admission.Customer
	all       []*simulatedGate
	owner     []*simulatedGate
	open      []bool
}

func newGates(pool *catalogue.Pool, cluster *Cluster, customers []Customer) *gates {
	g := &gates{pool: pool, owner: make([]*simulatedGate, len(cluster.Load)), open: make([]bool, len(cluster.Load))}
	for _, c := range customers {
		g.customers = append(g.customers, admission.Customer{Name: c.Name, Weight: c.Weight})
	}
	view := &membership.View{}
	byName := make(map[string]*simulatedGate)
	for _, zone := range cluster.zones() {
		for i := range gatesPerZone {
			gate := &simulatedGate{name: fmt.Sprintf("gate-%s-%d", zone, i+1), zone: zone, waiting: make(map[admission.ID]func(time.Duration, bool))}
			gate.controller = admission.New(gate.name)
			view.Gates = append(view.Gates, membership.Member{
				Gate: membership.Gate{Name: gate.name, Zone: zone}, State: membership.Live,
			})
			byName[gate.name] = gate
			g.all = append(g.all, gate)
		}
	}
	for i := range g.owner {
		owner, _ := ownership.Owner(view, pool.Targets[i].Name, pool.Targets[i].Zone)
		g.owner[i] = byName[owner.Name]
	}
	return g
}

// configure follows the targets that open and close, as a view does.
func (g *gates) configure(now time.Duration, cluster *Cluster) {
	open := 0
	for _, is := range cluster.Open {
		if is {
			open++
		}
	}
	for _, gate := range g.all {
		gate.controller.SetPools([]admission.Pool{{
			Name: g.pool.Name, LoadMultiple: g.pool.LoadMultiple, MaxInFlight: g.pool.MaxInFlight,
			QueueLength: g.pool.QueueLength, QueueWait: time.Duration(g.pool.QueueWait), Targets: open,
		}})
		gate.controller.SetCustomers(g.customers)
	}
	for i, is := range cluster.Open {
		if g.open[i] == is {
			continue
		}
		g.open[i] = is
		gate, name := g.owner[i], g.pool.Targets[i].Name
		if is {
			gate.controller.SetTarget(name, g.pool.Targets[i].Zone, g.pool.Name)
			gate.wake(now, gate.controller.SetCap(now, name, admission.Uncapped(), nil))
			continue
		}
		gate.wake(now, gate.controller.DropTarget(now, name, reason.TargetLeaving, nil))
	}
}

// gossip gives every gate the digests of those that it reaches.
func (g *gates) gossip(now time.Duration, cluster *Cluster) {
	for _, from := range g.all {
		snapshot := from.controller.Snapshot(now)
		for _, to := range g.all {
			if to == from || !cluster.connected(from.zone, to.zone) {
				continue
			}
			for _, digest := range snapshot.Digests {
				to.controller.SetPoolDigest(now, digest)
			}
			for _, target := range snapshot.Targets {
				to.controller.SetTargetLoad(now, target.Target, target.InFlight, 0)
			}
		}
	}
	g.tick(now)
}

// tick lets time pass in every controller.
func (g *gates) tick(now time.Duration) {
	for _, gate := range g.all {
		gate.wake(now, gate.controller.Tick(now, nil))
	}
}

// wake ends the waits of turns.
func (gate *simulatedGate) wake(now time.Duration, outcomes []admission.Outcome) {
	for _, outcome := range outcomes {
		ended := gate.waiting[outcome.ID]
		delete(gate.waiting, outcome.ID)
		ended(now, outcome.Started)
	}
}

// submit asks the owner of a target; ended is called when a wait ends.
func (g *gates) submit(now time.Duration, target int, request *admission.Request, ended func(id admission.ID, now time.Duration, started bool)) admission.Decision {
	gate := g.owner[target]
	request.Target = g.pool.Targets[target].Name
	decision, outcomes := gate.controller.Submit(now, request, nil)
	if decision.Verdict == admission.Wait {
		gate.waiting[decision.ID] = func(now time.Duration, started bool) { ended(decision.ID, now, started) }
	}
	gate.wake(now, outcomes)
	return decision
}

// release ends a request at the owner of its target.
func (g *gates) release(now time.Duration, target int, id admission.ID) {
	gate := g.owner[target]
	gate.wake(now, gate.controller.Release(now, id, true, nil))
}

// elsewhere names the targets for a turn whose wait is over.
func (g *gates) elsewhere(now time.Duration, target int, request *admission.Request) []string {
	decision := g.owner[target].controller.RefuseWithCandidates(now, request)
	return decision.Next()
}

// tell passes an entry's news to the gate of a target.
func (g *gates) tell(now time.Duration, target int, news *loadnews.Relay) {
	gate := g.owner[target]
	digests := news.UpdatesFor(now, g.pool.Name, gate.name, nil)
	gate.wake(now, gate.controller.AcceptLoads(now, g.pool.Name, digests, nil))
}

// loads returns the loads of the gate that owns a target.
func (g *gates) loads(target int) []admission.PoolDigest {
	return g.owner[target].controller.PoolLoads(g.pool.Name)
}
