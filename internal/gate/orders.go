package gate

import (
	"context"
	"maps"
	"math/rand"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/orders"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// orderInterval is the time between two ticks of the orders state machine.
const orderInterval = 100 * time.Millisecond

// statusTimeout bounds the wait for the control goroutine when the status is read.
const statusTimeout = time.Second

// orderState is the part of the control state that concerns orders to engines.
type orderState struct {
	machine   *orders.Machine
	ticked    time.Duration
	view      *membership.View
	catalogue *catalogue.Catalogue
	// owned contains the model targets that the state machine treats as owned.
	owned map[string]bool
	// released contains the targets whose previous owner has confirmed that it stopped and has no order in flight.
	released map[string]bool
	// incarnations holds the process incarnation of each owned engine from its last report.
	incarnations map[string]uint64
}

func newOrderState(g *Gate) orderState {
	settings := orders.Settings{
		Self:                g.self.Name,
		Incarnation:         g.self.Incarnation,
		MaxViewDisagreement: time.Duration(g.settings.Timing.ListDisagreement),
		ReportLag:           time.Duration(g.settings.Timing.ReportLag),
	}
	return orderState{
		machine:  orders.New(settings, rand.New(rand.NewSource(rand.Int63()))),
		owned:    make(map[string]bool),
		released: make(map[string]bool),

		incarnations: make(map[string]uint64),
	}
}

// tickOrders advances the orders state machine.
func (g *Gate) tickOrders(now time.Duration) {
	if now-g.state.orders.ticked < orderInterval {
		return
	}
	g.state.orders.ticked = now
	g.detectRestarts(now)
	g.stepOrders(now, orders.Tick{})
	g.refreshUnloaded(now)
}

// detectRestarts reports engines with a new incarnation to the orders state machine, which reads their status soon: a
// restarted engine may have lost its model.
func (g *Gate) detectRestarts(now time.Duration) {
	state := &g.state.orders
	for target := range state.owned {
		report, ok := g.reports.Latest(target)
		if !ok || report.Incarnation == state.incarnations[target] {
			continue
		}
		state.incarnations[target] = report.Incarnation
		g.stepOrders(now, orders.EngineRestarted{Target: target})
	}
}

// renewOrderLease extends the lease under which orders are sent and permits are issued.
func (g *Gate) renewOrderLease(now, started time.Duration) {
	g.stepOrders(now, orders.LeaseRenewed{Until: started + time.Duration(g.settings.Timing.Lease)})
}

// recordRelease records that a target's previous owner held it until it stopped and has no order in flight there. The
// record is consumed when the target is acquired.
func (g *Gate) recordRelease(handover *pb.TargetHandover) {
	if handover.Stopped && handover.Clean && !handover.OrderInFlight {
		g.state.orders.released[handover.Target] = true
	}
}

// updateOrders passes the changes of a new snapshot or new permissions to the orders state machine.
func (g *Gate) updateOrders(now time.Duration) {
	snapshot, state := g.snapshot.Load(), &g.state.orders
	if snapshot == nil {
		return
	}
	if state.view != snapshot.View {
		state.view = snapshot.View
		g.stepOrders(now, orders.ViewChanged{View: snapshot.View})
	}
	if state.catalogue != snapshot.Catalogue {
		state.catalogue = snapshot.Catalogue
		g.stepOrders(now, orders.CatalogueChanged{Catalogue: snapshot.Catalogue})
	}
	for target := range state.owned {
		if !g.mayOrder(snapshot, target) {
			delete(state.owned, target)
			g.stepOrders(now, orders.OwnershipLost{Target: target})
		}
	}
	for target := range snapshot.Owned {
		if !state.owned[target] && g.mayOrder(snapshot, target) {
			state.owned[target] = true
			g.stepOrders(now, orders.OwnershipAcquired{Target: target, Released: state.released[target]})
			delete(state.released, target)
		}
	}
	forget(state.incarnations, snapshot.Owned)
	forget(state.released, snapshot.Owned)
}

// mayOrder reports whether this gate sends orders to an engine: it owns the engine, and the takeover permits some
// work.
func (g *Gate) mayOrder(snapshot *Snapshot, target string) bool {
	t, ok := snapshot.Catalogue.Target(target)
	return ok && snapshot.Owned[target] && t.Pool().Kind == catalogue.Model && g.permission(target).Mode != ownership.None
}

// forget deletes the entries of targets that this gate no longer owns.
func forget[V any](facts map[string]V, owned map[string]bool) {
	maps.DeleteFunc(facts, func(target string, _ V) bool { return !owned[target] })
}

// stepOrders applies an event to the orders state machine and performs the resulting effects.
func (g *Gate) stepOrders(now time.Duration, event orders.Event) {
	for _, effect := range g.state.orders.machine.Step(now, event) {
		g.performOrder(now, effect)
	}
}

func (g *Gate) performOrder(now time.Duration, effect orders.Effect) {
	switch e := effect.(type) {
	case orders.ReadStatus:
		g.readEngine(e)
	case orders.SendOrder:
		g.sendOrder(e)
	case orders.RequestPermit:
		g.requestPermit(e)
	case orders.RecordOutcome:
		g.reportOrderEvent(e)
	}
}

// orderStatus returns the status of the owned engines for operators.
func (g *Gate) orderStatus() []orders.EngineStatus {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var list []orders.EngineStatus
	if err := g.loop.Call(ctx, func(time.Duration) { list = g.state.orders.machine.Engines() }); err != nil {
		return nil
	}
	return list
}

// reportOrderEvent counts an event of the orders state machine and logs those that change the engine's state or need an
// operator.
func (g *Gate) reportOrderEvent(noted orders.RecordOutcome) {
	g.meters.Event(string(noted.Outcome))
	log := g.log.WithField("target", noted.Target)
	switch noted.Outcome {
	case orders.Reconciled:
		log.Info("engine has the state of the catalogue")
	case orders.OrderRejected:
		log.Warn("engine rejected an order")
	}
}
