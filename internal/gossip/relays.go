package gossip

import (
	"slices"
	"time"
)

const (
	// skipTTL limits how long a peer skips the records of an origin on request, so that a peer that would deliver them
	// sooner gets another chance.
	skipTTL = time.Minute
	// overdueThreshold is the time without a new version after which every peer is asked for the records of an origin.
	// An origin creates a version at least every second, which arrives with one of the next heartbeats. With the
	// heartbeat that requests it, the version is still younger than the age at which loads are considered stale.
	overdueThreshold = 1800 * time.Millisecond
)

// relaySelector selects, for each origin, one peer that relays its records to this daemon. Without it every relay would
// send each record to each of its peers, since it cannot know that others have already done so.
type relaySelector struct {
	// origins holds the origins of the records received.
	origins map[string]originState
	// redundant holds, per peer, the origins whose records also arrive by another path and of which the peer has not
	// been notified yet.
	redundant map[string]map[string]struct{}
	// skipUntil holds, per peer, the origins whose records the peer has asked to skip, and when each request ends.
	skipUntil map[string]map[string]time.Duration
}

// originState records when records of an origin arrived.
type originState struct {
	// lastNewVersion is the time of the last new version.
	lastNewVersion time.Duration
	// lastDirect is the time of the last record received from the origin itself; valid if seenDirectly.
	lastDirect   time.Duration
	seenDirectly bool
}

func newRelaySelector() relaySelector {
	return relaySelector{
		origins:   make(map[string]originState),
		redundant: make(map[string]map[string]struct{}),
		skipUntil: make(map[string]map[string]time.Duration),
	}
}

// recordArrival records the arrival of a record from a peer. Repeated reports whether the same or a newer version
// arrived from another peer before. A relayed record is redundant if it is repeated, or if the origin itself sends its
// records to this daemon.
func (r *relaySelector) recordArrival(now time.Duration, peer, origin string, direct, isNew, repeated bool) {
	if origin == "" {
		return
	}
	state := r.origins[origin]
	if isNew {
		state.lastNewVersion = now
	}
	if direct {
		state.lastDirect, state.seenDirectly = now, true
	}
	if isNew || direct {
		r.origins[origin] = state
	}
	if !direct && (repeated || (state.seenDirectly && now-state.lastDirect < overdueThreshold)) {
		if r.redundant[peer] == nil {
			r.redundant[peer] = make(map[string]struct{})
		}
		r.redundant[peer][origin] = struct{}{}
	}
}

func (r *relaySelector) isSkipped(now time.Duration, peer, origin string) bool {
	until, ok := r.skipUntil[peer][origin]
	return ok && now < until
}

// forget discards what is known about a peer.
func (r *relaySelector) forget(peer string) {
	delete(r.redundant, peer)
	delete(r.skipUntil, peer)
}

func (r *relaySelector) expire(now, lifetime time.Duration) {
	for origin, state := range r.origins {
		if now-state.lastNewVersion > lifetime {
			delete(r.origins, origin)
		}
	}
	for _, deadlines := range r.skipUntil {
		for origin, until := range deadlines {
			if until <= now {
				delete(deadlines, origin)
			}
		}
	}
}

// TakeRedundantOrigins returns the origins whose records the peer need not relay, and marks the peer as notified.
func (t *Table[P]) TakeRedundantOrigins(peer string) []string {
	var origins []string
	for origin := range t.relays.redundant[peer] {
		origins = append(origins, origin)
	}
	delete(t.relays.redundant, peer)
	slices.Sort(origins)
	return origins
}

// OverdueOrigins returns the origins without a new version for at least overdueThreshold. They have to be included in
// every message to every peer while they are overdue, because such a message may be lost.
func (t *Table[P]) OverdueOrigins(now time.Duration) []string {
	var overdue []string
	for origin, state := range t.relays.origins {
		if now-state.lastNewVersion >= overdueThreshold {
			overdue = append(overdue, origin)
		}
	}
	slices.Sort(overdue)
	return overdue
}

// Skip makes PendingRecords omit records of these origins for a peer that receives them by another path.
func (t *Table[P]) Skip(now time.Duration, peer string, origins []string) {
	if len(origins) == 0 {
		return
	}
	if t.relays.skipUntil[peer] == nil {
		t.relays.skipUntil[peer] = make(map[string]time.Duration)
	}
	for _, origin := range origins {
		t.relays.skipUntil[peer][origin] = now + skipTTL
	}
}

// Resume reverts Skip for these origins.
func (t *Table[P]) Resume(peer string, origins []string) {
	for _, origin := range origins {
		delete(t.relays.skipUntil[peer], origin)
	}
}
