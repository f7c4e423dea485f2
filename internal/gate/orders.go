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

// orderInterval is the time between two ticks of the orders machine.
const orderInterval = 100 * time.Millisecond

// statusTimeout bounds the wait for the control goroutine when the status is read.
const statusTimeout = time.Second

// orderState is the part of the control state that concerns orders to engines.
type orderState struct {
	machine   *orders.Machine
	ticked    time.Duration
	view      *membership.View
	catalogue *catalogue.Catalogue
	// owned are the model targets that the machine knows as owned.
	owned map[string]bool
	// released are the targets whose predecessor has confirmed that it stopped and has no order in flight.
	released map[string]bool
	// incarnations are the processes of the owned engines, by their last reports.
	incarnations map[string]uint64
}

func newOrderState(g *Gate) orderState {
	settings := orders.Settings{
		Self:         g.self.Name,
		Incarnation:  g.self.Incarnation,
		Disagreement: time.Duration(g.settings.Timing.ListDisagreement),
		ReportLag:    time.Duration(g.settings.Timing.ReportLag),
	}
	return orderState{
		machine:  orders.New(settings, rand.New(rand.NewSource(rand.Int63()))),
		owned:    make(map[string]bool),
		released: make(map[string]bool),

		incarnations: make(map[string]uint64),
	}
}

// tickOrders lets time pass in the orders machine.
func (g *Gate) tickOrders(now time.Duration) {
	if now-g.state.orders.ticked < orderInterval {
		return
	}
	g.state.orders.ticked = now
	g.noteRestarts(now)
	g.stepOrders(now, orders.Tick{})
	g.refreshUnloaded(now)
}

// noteRestarts lets the engines whose process has changed be read soon: they may have lost their model.
func (g *Gate) noteRestarts(now time.Duration) {
	state := &g.state.orders
	for target := range state.owned {
		report, ok := g.reports.Latest(target)
		if !ok || report.Incarnation == state.incarnations[target] {
			continue
		}
		state.incarnations[target] = report.Incarnation
		g.stepOrders(now, orders.Restarted{Target: target})
	}
}

// renewOrderLease extends the lease under which orders are sent and permits issued.
func (g *Gate) renewOrderLease(now, started time.Duration) {
	g.stepOrders(now, orders.LeaseRenewed{Until: started + time.Duration(g.settings.Timing.Lease)})
}

// noteRelease notes that a target's predecessor held it until it stopped, and has no order in flight there. The note
// is used up when the target is acquired.
func (g *Gate) noteRelease(handover *pb.TargetHandover) {
	if handover.Stopped && handover.Clean && !handover.OrderInFlight {
		g.state.orders.released[handover.Target] = true
	}
}

// updateOrders tells the orders machine what a new snapshot or new permissions change.
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
			g.stepOrders(now, orders.Lost{Target: target})
		}
	}
	for target := range snapshot.Owned {
		if !state.owned[target] && g.mayOrder(snapshot, target) {
			state.owned[target] = true
			g.stepOrders(now, orders.Acquired{Target: target, Released: state.released[target]})
			delete(state.released, target)
		}
	}
	forget(state.incarnations, snapshot.Owned)
	forget(state.released, snapshot.Owned)
}

// mayOrder reports whether this gate orders an engine: it owns the engine and the takeover permits some work.
func (g *Gate) mayOrder(snapshot *Snapshot, target string) bool {
	t, ok := snapshot.Catalogue.Target(target)
	return ok && snapshot.Owned[target] && t.Pool().Kind == catalogue.Model && g.permission(target).Mode != ownership.None
}

// forget deletes what concerns targets that this gate no longer owns.
func forget[V any](facts map[string]V, owned map[string]bool) {
	maps.DeleteFunc(facts, func(target string, _ V) bool { return !owned[target] })
}

// stepOrders applies an event to the orders machine and carries out the effects.
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
	case orders.Noted:
		g.noteOrder(e)
	}
}

// orderStatus describes the owned engines for operators.
func (g *Gate) orderStatus() []orders.EngineStatus {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	var list []orders.EngineStatus
	if err := g.loop.Call(ctx, func(time.Duration) { list = g.state.orders.machine.Engines() }); err != nil {
		return nil
	}
	return list
}

// noteOrder counts a change, and logs those that are a change of state or need an operator.
func (g *Gate) noteOrder(noted orders.Noted) {
	g.meters.Event(string(noted.Note))
	log := g.log.WithField("target", noted.Target)
	switch noted.Note {
	case orders.Reconciled:
		log.Info("engine has the state of the catalogue")
	case orders.OrderRejected:
		log.Warn("engine rejected an order")
	}
}
