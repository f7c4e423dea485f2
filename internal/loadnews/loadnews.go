// Package loadnews keeps the latest loads that an entry has learnt from gates, and chooses what to tell the next one.
//
// Loads travel with requests and their answers, so that gates learn of changes as fast as traffic flows, and nothing
// is sent when there is no traffic. Heartbeats carry the same figures at their own pace.
package loadnews

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
)

const (
	// Lifetime is the age from which a load is not passed on; heartbeats bring newer ones by then.
	Lifetime = time.Second
	// MaxPerCall bounds the loads that one request carries.
	MaxPerCall = 8
	// maxKept bounds the loads kept for a pool, and so the time of a call.
	maxKept = 32
	// maxGates bounds the gates for which a relay remembers what it has told them.
	maxGates = 1024
)

// item is the latest load of one gate and zone.
type item struct {
	digest   admission.PoolDigest
	measured time.Duration
	// changed counts the relay's news; it grows with each change of a load.
	changed uint64
}

// Relay holds the latest loads by pool. It is not safe for concurrent use.
type Relay struct {
	pools map[string]*poolNews
}

type poolNews struct {
	items []item
	count uint64
	// told has the count up to which each gate knows the news.
	told map[string]uint64
}

// NewRelay returns a relay without news.
func NewRelay() *Relay { return &Relay{pools: make(map[string]*poolNews)} }

// Accept takes over loads from a gate.
func (r *Relay) Accept(now time.Duration, digests []admission.PoolDigest) {
	for _, digest := range digests {
		p, ok := r.pools[digest.Pool]
		if !ok {
			p = &poolNews{told: make(map[string]uint64)}
			r.pools[digest.Pool] = p
		}
		p.accept(now, digest)
	}
}

func (p *poolNews) accept(now time.Duration, digest admission.PoolDigest) {
	known := p.place(digest)
	measured := now - digest.Age
	same := known.digest.Gate == digest.Gate && known.digest.Zone == digest.Zone
	if same && known.measured >= measured {
		return
	}
	fresh := same && known.measured > now-Lifetime
	if !fresh || known.digest.Load != digest.Load || known.digest.Targets != digest.Targets {
		p.count++
		known.changed = p.count
	}
	known.digest, known.measured = digest, measured
}

// place returns the item of a gate and zone, a new one, or the oldest one when there are too many.
func (p *poolNews) place(digest admission.PoolDigest) *item {
	oldest := 0
	for i := range p.items {
		if p.items[i].digest.Gate == digest.Gate && p.items[i].digest.Zone == digest.Zone {
			return &p.items[i]
		}
		if p.items[i].measured < p.items[oldest].measured {
			oldest = i
		}
	}
	if len(p.items) < maxKept {
		p.items = append(p.items, item{})
		return &p.items[len(p.items)-1]
	}
	return &p.items[oldest]
}

// For appends the changes of a pool's loads that the gate has not been told of, in the order in which they came.
func (r *Relay) For(now time.Duration, pool, gate string, out []admission.PoolDigest) []admission.PoolDigest {
	p, ok := r.pools[pool]
	if !ok {
		return out
	}
	slices.SortFunc(p.items, func(a, b item) int { return cmp.Compare(a.changed, b.changed) })
	told, found := p.told[gate]
	if !found && len(p.told) >= maxGates {
		clear(p.told)
	}
	for i := range p.items {
		known := &p.items[i]
		if known.changed <= told || known.digest.Gate == gate || now-known.measured >= Lifetime {
			continue
		}
		digest := known.digest
		digest.Age = now - known.measured
		out = append(out, digest)
		told = known.changed
		if len(out) == MaxPerCall {
			break
		}
	}
	p.told[gate] = told
	return out
}
