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

// refreshUnloaded publishes a new snapshot when other engines than before can't serve their pools.
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

// markUnloaded sets which engines get no requests: this gate's by their reports, others by their owners' word.
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

// markPool marks the owned engines of a pool that report another model, and those that report another version
// unless they are more than the rest: a new version must not take away most of the pool at once.
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

// unloaded reports whether a target can't serve its pool now.
func (g *Gate) unloaded(name string) bool {
	snapshot := g.snapshot.Load()
	return snapshot != nil && snapshot.Unloaded[name]
}

// modelVersion returns the version with which a target answers.
func (g *Gate) modelVersion(t *catalogue.Target) string {
	if version, ok := g.snapshot.Load().Outdated[t.Name]; ok {
		return version
	}
	return t.Pool().Version
}
