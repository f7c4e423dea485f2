package gate

import (
	"maps"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// stateUnloaded is the state of a live target that can't serve its pool, in load records and updates to entries.
const stateUnloaded = wire.TargetUnloaded

// refreshUnloaded publishes a new snapshot if the set of engines that can't serve their pools has changed.
func (g *Gate) refreshUnloaded(now time.Duration) {
	last := g.snapshot.Load()
	if last == nil {
		return
	}
	next := &Snapshot{Catalogue: last.Catalogue, View: last.View, Owned: last.Owned}
	g.markUnloaded(now, next)
	if !maps.Equal(next.Unloaded, last.Unloaded) || !maps.Equal(next.Outdated, last.Outdated) {
		g.publish(now)
	}
}

// markUnloaded determines which engines get no requests: engines of this gate by their own reports, other engines by
// their owners' load records.
func (g *Gate) markUnloaded(now time.Duration, snapshot *Snapshot) {
	snapshot.Unloaded = make(map[string]bool)
	snapshot.Outdated = make(map[string]string)
	for _, record := range g.state.loads.All(now) {
		member, _ := snapshot.View.Gate(record.Payload.Gate)
		if member.State != membership.Live || member.Name == g.self.Name {
			continue
		}
		for _, load := range record.Payload.Targets {
			if load.State == stateUnloaded && !snapshot.Owned[load.Target] {
				snapshot.Unloaded[load.Target] = true
			}
		}
	}
	for i := range snapshot.Catalogue.Pools {
		if pool := &snapshot.Catalogue.Pools[i]; pool.Kind == catalogue.Model {
			g.markPool(snapshot, pool)
		}
	}
}

// markPool marks the owned engines of a pool that report a different model. It also marks those that report a
// different version, unless they outnumber the rest: a new version must not take most of the pool out of service at
// once.
func (g *Gate) markPool(snapshot *Snapshot, pool *catalogue.Pool) {
	outdated := make(map[string]string)
	usable := 0
	for i := range pool.Targets {
		name := pool.Targets[i].Name
		if !snapshot.Owned[name] || snapshot.View.Target(name) != membership.Live {
			continue
		}
		report, known := g.reports.Latest(name)
		switch {
		case known && report.Model != pool.Name:
			snapshot.Unloaded[name] = true
		case known && pool.Version != "" && report.Version != pool.Version:
			outdated[name] = report.Version
		default:
			usable++
		}
	}
	if len(outdated) > usable {
		maps.Copy(snapshot.Outdated, outdated)
		return
	}
	for name := range outdated {
		snapshot.Unloaded[name] = true
	}
}

// unloaded reports whether a target currently can't serve its pool.
func (g *Gate) unloaded(name string) bool {
	snapshot := g.snapshot.Load()
	return snapshot != nil && snapshot.Unloaded[name]
}

// modelVersion returns the model version with which a target answers.
func (g *Gate) modelVersion(t *catalogue.Target) string {
	if version, ok := g.snapshot.Load().Outdated[t.Name]; ok {
		return version
	}
	return t.Pool().Version
}
