package gate

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// publish stores a new snapshot of catalogue, view and ownership for request goroutines, and configures admission
// accordingly.
func (g *Gate) publish(now time.Duration) {
	current := g.state.config.Current()
	if current == nil || !g.state.config.Ready() {
		return
	}
	view := g.state.members.View()
	snapshot := &Snapshot{Catalogue: current, View: view, Owned: g.ownedTargets(current, view)}
	g.markUnloaded(now, snapshot)
	g.snapshot.Store(snapshot)
	g.configureAdmission(snapshot)
	g.stepOwners(now, ownership.ViewChanged{View: view, Targets: ownershipTargets(current)})
	g.updateOrders(now)
	g.publishUpdates(now)
}

func (g *Gate) ownedTargets(current *catalogue.Catalogue, view *membership.View) map[string]bool {
	owned := make(map[string]bool)
	for i := range current.Pools {
		for _, t := range current.Pools[i].Targets {
			if owner, ok := ownership.Owner(view, t.Name, t.Zone); ok && owner.Name == g.self.Name {
				owned[t.Name] = true
			}
		}
	}
	return owned
}

// configureAdmission passes catalogue, view and ownership to the admission controller.
func (g *Gate) configureAdmission(snapshot *Snapshot) {
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		c.SetGates(now, otherGates(snapshot.View, g.self.Name))
		c.SetCustomers(customers(snapshot.Catalogue))
		c.SetPools(pools(snapshot))
		for i := range snapshot.Catalogue.Pools {
			pool := &snapshot.Catalogue.Pools[i]
			for j := range pool.Targets {
				out = g.configureTarget(c, now, snapshot, &pool.Targets[j], out)
			}
		}
		return out
	})
}

func (g *Gate) configureTarget(c *admission.Controller, now time.Duration, snapshot *Snapshot, t *catalogue.Target, out []admission.Outcome) []admission.Outcome {
	if !snapshot.Owned[t.Name] {
		return c.DropTarget(now, t.Name, reason.NotOwner, out)
	}
	c.SetTarget(t.Name, t.Zone, t.Pool().Name)
	limit := targetCap(g.permission(t.Name))
	switch {
	case snapshot.View.Target(t.Name) != membership.Live:
		limit = admission.NoAdmission(reason.TargetLeaving)
	case snapshot.Unloaded[t.Name]:
		limit = admission.NoAdmission(reason.ModelNotLoaded)
	}
	return c.SetCap(now, t.Name, limit, out)
}

// otherGates returns the names of all other gates that may still be running.
func otherGates(view *membership.View, self string) []string {
	var names []string
	for _, member := range view.Gates {
		if member.Name != self && member.State != membership.Gone {
			names = append(names, member.Name)
		}
	}
	return names
}

func customers(current *catalogue.Catalogue) []admission.Customer {
	list := make([]admission.Customer, 0, len(current.Customers))
	for i := range current.Customers {
		customer := &current.Customers[i]
		list = append(list, admission.Customer{
			Name:              customer.Name,
			Weight:            customer.Weight,
			RequestsPerSecond: customer.RequestsPerSecond,
			Concurrent:        customer.Concurrent,
		})
	}
	return list
}

func pools(snapshot *Snapshot) []admission.Pool {
	list := make([]admission.Pool, 0, len(snapshot.Catalogue.Pools))
	for i := range snapshot.Catalogue.Pools {
		pool := &snapshot.Catalogue.Pools[i]
		targets := 0
		for j := range pool.Targets {
			name := pool.Targets[j].Name
			if snapshot.View.Target(name) != membership.Gone && !snapshot.Unloaded[name] {
				targets++
			}
		}
		list = append(list, admission.Pool{
			Name:         pool.Name,
			LoadMultiple: pool.LoadMultiple,
			MaxInFlight:  pool.MaxInFlight,
			QueueLength:  pool.QueueLength,
			QueueWait:    time.Duration(pool.QueueWait),
			Targets:      targets,
		})
	}
	return list
}
