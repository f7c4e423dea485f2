package gate

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// loadRefresh is how often an unchanged load record is renewed, so that it does not count as stale.
const loadRefresh = time.Second

// loadInterval is the minimum time between two load records. Without it, each of the four messages that two gates
// exchange in one heartbeat interval would carry a new record.
const loadInterval = 400 * time.Millisecond

// refreshLoads creates a new record of this gate's loads if they have changed or the last record is older than
// loadRefresh.
func (g *Gate) refreshLoads(now time.Duration) {
	if g.state.lastLoad != nil && now-g.state.lastLoadAt < loadInterval && !g.state.granted {
		return
	}
	g.state.granted = false
	record := g.loadRecord()
	g.refreshUse(now, record)
	unchanged := g.state.lastLoad != nil && proto.Equal(record, g.state.lastLoad)
	if unchanged && now-g.state.lastLoadAt < loadRefresh {
		return
	}
	g.state.lastLoad, g.state.lastLoadAt = record, now
	g.state.loadVersion++
	g.state.loads.Put(now, wire.LoadKey(g.self.Name, g.self.Incarnation), g.state.loadVersion, record)
}

func (g *Gate) loadRecord() *pb.LoadRecord {
	record := &pb.LoadRecord{Gate: g.self.Name, Incarnation: g.self.Incarnation}
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		for _, t := range c.Snapshot(now).Targets {
			if !t.Lost || t.InFlight > 0 {
				load := &pb.TargetLoad{Target: t.Target, Load: int32(t.InFlight)}
				switch {
				case g.reports.down(t.Target):
					load.State = stateDown
				case !t.Lost && g.unloaded(t.Target):
					load.State = stateUnloaded
				}
				record.Targets = append(record.Targets, load)
			}
		}
		return out
	})
	slices.SortFunc(record.Targets, func(a, b *pb.TargetLoad) int { return strings.Compare(a.Target, b.Target) })
	return record
}

// acceptLoads passes the load records of other gates to admission.
func (g *Gate) acceptLoads(now time.Duration, peer string, records []gossip.Record[*pb.LoadRecord]) {
	if len(records) == 0 {
		return
	}
	records = append(records, g.renewUses(now, peer, records)...)
	g.admission.update(func(c *admission.Controller, _ time.Duration, out []admission.Outcome) []admission.Outcome {
		for _, record := range records {
			g.acceptLoad(c, now, record)
		}
		return out
	})
	for _, record := range records {
		g.reportWorkDone(now, record)
	}
}

// acceptLoad passes one gate's loads to admission, per target and summed by pool and zone.
func (g *Gate) acceptLoad(c *admission.Controller, now time.Duration, record gossip.Record[*pb.LoadRecord]) {
	current := g.state.config.Current()
	gate := record.Payload.Gate
	if current == nil || gate == g.self.Name {
		return
	}
	type key struct{ pool, zone string }
	sums := make(map[key]*admission.PoolDigest)
	for _, load := range record.Payload.Targets {
		t, ok := current.Target(load.Target)
		if !ok {
			continue
		}
		c.SetTargetLoad(now, t.Name, int(load.Load), record.Age)
		k := key{t.Pool().Name, t.Zone}
		if sums[k] == nil {
			sums[k] = &admission.PoolDigest{Pool: k.pool, Zone: k.zone, Gate: gate, Age: record.Age}
		}
		sums[k].Load += int(load.Load)
		if load.State != stateUnloaded {
			sums[k].Targets++
		}
	}
	for _, digest := range sums {
		c.SetPoolDigest(now, *digest)
	}
	for _, use := range record.Payload.Uses {
		c.SetUsage(now, admission.Usage{
			Customer: use.Customer,
			Gate:     gate,
			Epoch:    record.Payload.Incarnation + uint64(record.Payload.ShareResets),
			Rate:     shareFrom(use.Rate),
			InFlight: shareFrom(use.InFlight),
			Age:      record.Age,
		})
	}
}

// tickAdmission advances the admission controller and sends the share grants that result.
func (g *Gate) tickAdmission(now time.Duration) {
	var receivers []string
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		out = c.Tick(now, out)
		receivers = c.TakeGrantReceivers()
		return out
	})
	if len(receivers) > 0 {
		g.state.granted = true
		g.heartbeatNow(now, receivers)
	}
}

// acceptEntryLoads passes the loads of other gates that came with a request to admission.
func (g *Gate) acceptEntryLoads(request *pb.ServeRequest) {
	if len(request.Loads) == 0 {
		return
	}
	digests := wire.PoolLoadsFrom(request.Pool, request.Loads)
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		return c.AcceptLoads(now, request.Pool, digests, out)
	})
}

// poolLoads returns this gate's loads of a pool, for the entry that sent the request.
func (g *Gate) poolLoads(pool string) []*pb.PoolLoad {
	g.admission.mu.Lock()
	defer g.admission.mu.Unlock()
	return wire.PoolLoads(g.admission.controller.PoolLoads(pool))
}
