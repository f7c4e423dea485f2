package replay

import (
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/loadnews"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// maximumInFlight is the absolute bound of a target in simulated runs; it is above any load of the traces.
const maximumInFlight = 1 << 20

// fleetPolicy runs the fleet's own routing and admission: each zone's entry picks from its table, and the gate that
// owns the target admits, queues or points elsewhere. It keeps the holder of a chat, as callers do with the
// placement token.
type fleetPolicy struct {
	pool     *catalogue.Pool
	gates    *gates
	entries  map[string][]*simulatedEntry // by zone
	holders  map[string]int
	admitted map[string]admission.ID
}

// entriesPerZone gives a deployment 6 to 8 entries, which is its number of VMs.
const entriesPerZone = 2

// simulatedEntry is the state of one entry.
type simulatedEntry struct {
	news     *loadnews.Relay
	inFlight []atomic.Int32
	table    *routing.Pool
}

func newFleetPolicy() *fleetPolicy {
	return &fleetPolicy{
		entries: make(map[string][]*simulatedEntry), holders: make(map[string]int), admitted: make(map[string]admission.ID),
	}
}

// Start creates the entries and gates.
func (p *fleetPolicy) Start(cluster *Cluster, customers []Customer) {
	p.pool = catalogueOf(cluster.Pool)
	p.gates = newGates(p.pool, cluster, customers)
	p.gates.configure(0, cluster)
	for _, zone := range cluster.zones() {
		for range entriesPerZone {
			entry := &simulatedEntry{news: loadnews.NewRelay(), inFlight: make([]atomic.Int32, len(cluster.Load))}
			p.rebuild(entry, zone, cluster)
			p.entries[zone] = append(p.entries[zone], entry)
		}
	}
}

// Reports gives every entry and gate new load digests.
func (p *fleetPolicy) Reports(now time.Duration, cluster *Cluster) {
	p.gates.configure(now, cluster)
	p.gates.gossip(now, cluster)
	for zone, entries := range p.entries {
		for _, entry := range entries {
			p.rebuild(entry, zone, cluster)
		}
	}
}

// Tick lets time pass in the gates.
func (p *fleetPolicy) Tick(now time.Duration) { p.gates.tick(now) }

// catalogueOf returns the pool as the catalogue has it.
func catalogueOf(pool *Pool) *catalogue.Pool {
	entry := &catalogue.Pool{
		Name: pool.Name, Kind: pool.Kind, LoadMultiple: pool.LoadMultiple, MaxInFlight: maximumInFlight,
		ReuseWeight: pool.ReuseWeight, SkewWeight: pool.SkewWeight, ZoneWeight: catalogue.DefaultZoneWeight,
		QueueLength: catalogue.DefaultQueueLength, QueueWait: catalogue.Duration(catalogue.DefaultQueueWait),
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

// entry returns the entry of the turn's zone to which the platform's balancer sends the chat.
func (p *fleetPolicy) entry(ask Ask) *simulatedEntry {
	entries := p.entries[ask.Zone]
	return entries[rendezvous.Hash(ask.Chat)%uint64(len(entries))]
}

// Began brings the gate's loads to the entry, with the head of the answer.
func (p *fleetPolicy) Began(ask Ask, target int) {
	p.entry(ask).news.Accept(ask.Now, p.gates.loads(target))
}

// Pick is not used: the turns of a fleet may wait, see Submit.
func (p *fleetPolicy) Pick(Ask, *Cluster) (int, bool) { return 0, false }

// try is one turn on its way through the fleet.
type try struct {
	ask        Ask
	entry      *simulatedEntry
	holder     int
	tried      routing.Tried
	next       []string
	redirected bool
	done       func(target int, ok bool)
}

// Submit asks the owners of the entry's candidates in turn. Like the entry daemon, it follows one redirect of a gate
// and then leaves it to the queue of the target.
func (p *fleetPolicy) Submit(ask Ask, cluster *Cluster, done func(target int, ok bool)) {
	t := &try{ask: ask, entry: p.entry(ask), holder: routing.NoHolder, done: done}
	if holder, ok := p.holders[ask.Chat]; ok {
		t.holder = holder
	}
	p.route(t, cluster)
}

func (p *fleetPolicy) route(t *try, cluster *Cluster) {
	for {
		target, ok := t.choose()
		if !ok || !cluster.Reachable(target, t.ask.Zone) {
			t.done(0, false)
			return
		}
		t.tried.Add(target)
		decision := p.ask(t, cluster, target)
		switch decision.Verdict {
		case admission.Start:
			p.started(t, target, decision.ID)
			return
		case admission.Wait:
			return
		}
		if t.redirected || decision.Next() == nil {
			t.done(0, false)
			return
		}
		t.redirected, t.next = true, decision.Next()
	}
}

// ask sends the turn to the gate that owns a target.
func (p *fleetPolicy) ask(t *try, cluster *Cluster, target int) admission.Decision {
	request := &admission.Request{Customer: t.ask.Customer, Class: catalogue.DefaultClass}
	if !t.redirected {
		table := t.entry.table
		request.Candidates = table.Alternatives(rendezvous.Hash(t.ask.Chat), len(table.Candidates), &t.tried)
		if target == t.holder {
			request.MaxTargetWait = t.entry.table.HolderWait()
		}
	}
	t.entry.inFlight[target].Add(1)
	p.gates.tell(t.ask.Now, target, t.entry.news)
	decision := p.gates.submit(t.ask.Now, target, request, func(id admission.ID, now time.Duration, started bool) {
		if started {
			p.started(t, target, id)
			return
		}
		t.entry.inFlight[target].Add(-1)
		t.ask.Now = now
		if request.MaxTargetWait == 0 {
			t.done(0, false)
			return
		}
		t.redirected, t.next = true, p.gates.elsewhere(now, target, request)
		p.route(t, cluster)
	})
	if decision.Verdict == admission.Refuse {
		t.entry.news.Accept(t.ask.Now, p.gates.loads(target))
		t.entry.inFlight[target].Add(-1)
	}
	return decision
}

func (p *fleetPolicy) started(t *try, target int, id admission.ID) {
	p.holders[t.ask.Chat] = target
	p.admitted[t.ask.Chat] = id
	t.done(target, true)
}

// choose picks a target as the entry does.
func (t *try) choose() (target int, ok bool) {
	table := t.entry.table
	for _, name := range t.next {
		if position, ok := table.Index(name); ok && table.Open(position, &t.tried) {
			return position, true
		}
	}
	chat := rendezvous.Hash(t.ask.Chat)
	if position, ok := table.Pick(chat, t.holder, &t.tried); ok {
		return position, true
	}
	return table.LeastLoaded(chat, &t.tried)
}

// Ended takes a turn out of the entry's own requests and out of its gate's.
func (p *fleetPolicy) Ended(ask Ask, target int) {
	p.entry(ask).inFlight[target].Add(-1)
	id := p.admitted[ask.Chat]
	delete(p.admitted, ask.Chat)
	p.gates.release(ask.Now, target, id)
	p.entry(ask).news.Accept(ask.Now, p.gates.loads(target))
}
