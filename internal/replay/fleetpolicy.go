package replay

import (
	"sync/atomic"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// maximumInFlight is the absolute bound of a target in simulated runs; it is above any load of the traces.
const maximumInFlight = 1 << 20

// fleetPolicy runs the fleet's own routing: each zone's entry picks from its table, and the target's owner
// admits by the exact load. It keeps the holder of a chat, as callers do with the placement token.
type fleetPolicy struct {
	pool    *catalogue.Pool
	entries map[string]*simulatedEntry
	holders map[string]int
}

// simulatedEntry is the state of one zone's entry.
type simulatedEntry struct {
	inFlight []atomic.Int32
	table    *routing.Pool
}

func newFleetPolicy() *fleetPolicy {
	return &fleetPolicy{entries: make(map[string]*simulatedEntry), holders: make(map[string]int)}
}

// Reports gives every entry a new load digest.
func (p *fleetPolicy) Reports(cluster *Cluster) {
	for zone, entry := range p.entries {
		p.rebuild(entry, zone, cluster)
	}
}

// entry returns the entry of a zone.
func (p *fleetPolicy) entry(zone string, cluster *Cluster) *simulatedEntry {
	if p.pool == nil {
		p.pool = catalogueOf(cluster.Pool)
	}
	entry, ok := p.entries[zone]
	if !ok {
		entry = &simulatedEntry{inFlight: make([]atomic.Int32, len(cluster.Load))}
		p.entries[zone] = entry
		p.rebuild(entry, zone, cluster)
	}
	return entry
}

// catalogueOf returns the pool as the catalogue has it.
func catalogueOf(pool *Pool) *catalogue.Pool {
	entry := &catalogue.Pool{
		Name: pool.Name, Kind: pool.Kind, LoadMultiple: pool.LoadMultiple, MaxInFlight: maximumInFlight,
		ReuseWeight: pool.ReuseWeight, SkewWeight: pool.SkewWeight, ZoneWeight: catalogue.DefaultZoneWeight,
	}
	for _, target := range pool.Targets {
		entry.Targets = append(entry.Targets, catalogue.Target{Name: target.Name, Zone: target.Zone})
	}
	return entry
}

func (p *fleetPolicy) rebuild(entry *simulatedEntry, zone string, cluster *Cluster) {
	candidates := make([]routing.Candidate, len(cluster.Load))
	for i := range candidates {
		candidates[i] = routing.Candidate{
			Target:   &p.pool.Targets[i],
			Hash:     rendezvous.Hash(p.pool.Targets[i].Name),
			Distance: distance(zone, p.pool.Targets[i].Zone),
			Open:     cluster.Reachable(i, zone),
			Reported: int32(cluster.Reported[i]),
			InFlight: &entry.inFlight[i],
		}
	}
	entry.table = routing.NewPool(p.pool, candidates)
}

func distance(zone, other string) routing.Distance {
	if zone == other {
		return routing.SameZone
	}
	return routing.SameRegion
}

// Pick asks the owners of the entry's candidates in turn.
func (p *fleetPolicy) Pick(ask Ask, cluster *Cluster) (int, bool) {
	entry := p.entry(ask.Zone, cluster)
	holder, ok := p.holders[ask.Chat]
	if !ok {
		holder = routing.NoHolder
	}
	limit := cluster.Limit()
	var tried routing.Tried
	for range cluster.Load {
		target, ok := entry.table.Pick(rendezvous.Hash(ask.Chat), holder, &tried)
		if !ok {
			return 0, false
		}
		if cluster.Reachable(target, ask.Zone) && cluster.Load[target] < limit {
			entry.inFlight[target].Add(1)
			p.holders[ask.Chat] = target
			return target, true
		}
		tried.Add(target)
	}
	return 0, false
}

// Ended takes a turn out of the entry's own requests.
func (p *fleetPolicy) Ended(ask Ask, target int) {
	p.entries[ask.Zone].inFlight[target].Add(-1)
}
