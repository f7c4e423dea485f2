package gossip

import (
	"slices"
	"time"
)

const (
	// skipLifetime ends the request not to send the records of an origin, so that a peer that would bring them sooner
	// gets another chance.
	skipLifetime = time.Minute
	// overdueAfter is the time without a new version after which every peer is asked for the records of an origin.
	// An origin makes one at least every second, and it arrives with one of the next heartbeats. With the heartbeat
	// that asks for it, it is still younger than the age from which loads count as stale.
	overdueAfter = 1800 * time.Millisecond
)

// routes chooses for each origin one peer that relays its records here. Without it every relay sends each record to
// each of its peers, which can't know that others have done so.
type routes struct {
	// origins holds the origins of the records that have arrived.
	origins map[string]origin
	// surplus holds, for each peer, the origins whose records came from elsewhere; the peer has not been told yet.
	surplus map[string]map[string]struct{}
	// skips holds, for each peer, the origins whose records it does not want, and until when.
	skips map[string]map[string]time.Duration
}

// origin says when records of an origin arrived.
type origin struct {
	// arrived is the time of the last new version.
	arrived time.Duration
	// direct is the time of the last record from the origin itself, if reached.
	direct  time.Duration
	reached bool
}

func newRoutes() routes {
	return routes{
		origins: make(map[string]origin),
		surplus: make(map[string]map[string]struct{}),
		skips:   make(map[string]map[string]time.Duration),
	}
}

// arrive notes a record from a peer. Repeated says that its version, or a newer one, came from another peer before.
// A relayed record is surplus when it is repeated, and when the origin itself sends its records here.
func (r *routes) arrive(now time.Duration, peer, name string, direct, fresh, repeated bool) {
	if name == "" {
		return
	}
	o := r.origins[name]
	if fresh {
		o.arrived = now
	}
	if direct {
		o.direct, o.reached = now, true
	}
	if fresh || direct {
		r.origins[name] = o
	}
	if !direct && (repeated || (o.reached && now-o.direct < overdueAfter)) {
		if r.surplus[peer] == nil {
			r.surplus[peer] = make(map[string]struct{})
		}
		r.surplus[peer][name] = struct{}{}
	}
}

func (r *routes) skipped(now time.Duration, peer, name string) bool {
	until, ok := r.skips[peer][name]
	return ok && now < until
}

// forget drops what is known of a peer.
func (r *routes) forget(peer string) {
	delete(r.surplus, peer)
	delete(r.skips, peer)
}

func (r *routes) expire(now, lifetime time.Duration) {
	for name, o := range r.origins {
		if now-o.arrived > lifetime {
			delete(r.origins, name)
		}
	}
	for _, skips := range r.skips {
		for name, until := range skips {
			if until <= now {
				delete(skips, name)
			}
		}
	}
}

// TakeSurplus returns the origins whose records the peer need not send, and counts them as told.
func (t *Table[P]) TakeSurplus(peer string) []string {
	var names []string
	for name := range t.routes.surplus[peer] {
		names = append(names, name)
	}
	delete(t.routes.surplus, peer)
	slices.Sort(names)
	return names
}

// Overdue returns the origins of which no new version has come for too long. Every peer has to be told in each
// message as long as they are, because such a message may be lost.
func (t *Table[P]) Overdue(now time.Duration) []string {
	var names []string
	for name, o := range t.routes.origins {
		if now-o.arrived >= overdueAfter {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Skip makes News leave out the records that came from these origins for a peer, which gets them elsewhere.
func (t *Table[P]) Skip(now time.Duration, peer string, origins []string) {
	if len(origins) == 0 {
		return
	}
	if t.routes.skips[peer] == nil {
		t.routes.skips[peer] = make(map[string]time.Duration)
	}
	for _, name := range origins {
		t.routes.skips[peer][name] = now + skipLifetime
	}
}

// Resume ends Skip for these origins.
func (t *Table[P]) Resume(peer string, origins []string) {
	for _, name := range origins {
		delete(t.routes.skips[peer], name)
	}
}
