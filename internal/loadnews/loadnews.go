// Package loadnews caches the latest loads that an entry has received from gates, and selects which of them to forward
// with the next request to a gate.
//
// Loads are piggybacked on requests and their replies, so that gates learn of changes as fast as traffic flows and
// nothing is sent without traffic. Heartbeats carry the same figures at their own interval.
package loadnews

import (
	"cmp"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
)

const (
	// MaxAge is the age from which a load is no longer forwarded; heartbeats deliver newer ones by then.
	MaxAge = time.Second
	// MaxLoadsPerCall bounds the number of loads that one request carries.
	MaxLoadsPerCall = 8
	// maxLoadsPerPool bounds the number of loads cached per pool, and thereby the time that a call takes.
	maxLoadsPerPool = 32
	// maxTrackedGates bounds the number of gates per pool for which a relay tracks what it has sent them.
	maxTrackedGates = 1024
)

// cachedLoad is the latest load of one gate and zone.
type cachedLoad struct {
	digest   admission.PoolDigest
	measured time.Duration
	// changeSequence is the sequence number of the last change of the load within its pool.
	changeSequence uint64
}

// Relay holds the latest loads by pool. It is not safe for concurrent use.
type Relay struct {
	pools map[string]*poolLoads
}

type poolLoads struct {
	loads []cachedLoad
	// sequence is the sequence number of the latest change of a load; it grows with each change.
	sequence uint64
	// sentSequence holds, per gate, the sequence number up to which changes were sent to it.
	sentSequence map[string]uint64
}

// NewRelay returns a relay without loads.
func NewRelay() *Relay { return &Relay{pools: make(map[string]*poolLoads)} }

// Accept stores loads received from a gate.
func (r *Relay) Accept(now time.Duration, digests []admission.PoolDigest) {
	for _, digest := range digests {
		p, ok := r.pools[digest.Pool]
		if !ok {
			p = &poolLoads{sentSequence: make(map[string]uint64)}
			r.pools[digest.Pool] = p
		}
		p.accept(now, digest)
	}
}

func (p *poolLoads) accept(now time.Duration, digest admission.PoolDigest) {
	cached := p.slotFor(digest)
	measured := now - digest.Age
	same := cached.digest.Gate == digest.Gate && cached.digest.Zone == digest.Zone
	if same && cached.measured >= measured {
		return
	}
	recent := same && cached.measured > now-MaxAge
	if !recent || cached.digest.Load != digest.Load || cached.digest.Targets != digest.Targets {
		p.sequence++
		cached.changeSequence = p.sequence
	}
	cached.digest, cached.measured = digest, measured
}

// slotFor returns the slot of a gate and zone: the existing one, a new one, or the oldest one if the pool is full.
func (p *poolLoads) slotFor(digest admission.PoolDigest) *cachedLoad {
	oldest := 0
	for i := range p.loads {
		if p.loads[i].digest.Gate == digest.Gate && p.loads[i].digest.Zone == digest.Zone {
			return &p.loads[i]
		}
		if p.loads[i].measured < p.loads[oldest].measured {
			oldest = i
		}
	}
	if len(p.loads) < maxLoadsPerPool {
		p.loads = append(p.loads, cachedLoad{})
		return &p.loads[len(p.loads)-1]
	}
	return &p.loads[oldest]
}

// UpdatesFor appends the changes of a pool's loads that have not been sent to the gate, in the order in which they were
// received.
func (r *Relay) UpdatesFor(now time.Duration, pool, gate string, out []admission.PoolDigest) []admission.PoolDigest {
	p, ok := r.pools[pool]
	if !ok {
		return out
	}
	slices.SortFunc(p.loads, func(a, b cachedLoad) int { return cmp.Compare(a.changeSequence, b.changeSequence) })
	sent, found := p.sentSequence[gate]
	if !found && len(p.sentSequence) >= maxTrackedGates {
		clear(p.sentSequence)
	}
	for i := range p.loads {
		cached := &p.loads[i]
		if cached.changeSequence <= sent || cached.digest.Gate == gate || now-cached.measured >= MaxAge {
			continue
		}
		digest := cached.digest
		digest.Age = now - cached.measured
		out = append(out, digest)
		sent = cached.changeSequence
		if len(out) == MaxLoadsPerCall {
			break
		}
	}
	p.sentSequence[gate] = sent
	return out
}
