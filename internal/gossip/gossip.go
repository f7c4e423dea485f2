// Package gossip disseminates small versioned records between daemons, piggybacked on the heartbeats that they already
// exchange.
//
// A Table holds the newest version of each record and tracks, per peer, which versions that peer has seen, so that each
// record crosses a link about once. Records expire by age. A lost message delays a record until its next version or
// until Forget is called for the peer; it never lets an old version replace a newer one.
//
// Payloads that consist of several parts can be sent as deltas: a peer that is known to hold a version receives only
// what has changed since.
//
// The package performs no I/O and reads no clock.
package gossip

import (
	"maps"
	"slices"
	"time"
)

// Record is one version of a value.
type Record[P any] struct {
	// Key identifies the value. A restarted daemon uses a different key than its predecessor.
	Key string
	// Version orders the records of one key.
	Version uint64
	// Age is the time since the origin created the version, including time in transit.
	Age time.Duration
	// Origin identifies the process that created the record. It is used to choose one peer that relays the records of
	// that process; a table whose records have no origin accepts them from every peer. Direct reports whether the peer
	// that sent the record is its origin.
	Origin string
	Direct bool
	// Payload is shared between goroutines and must not be modified.
	Payload P
}

// DeltaCodec encodes payloads as deltas, so that a peer that holds an earlier version receives only what has changed.
type DeltaCodec[P any] struct {
	// Since returns what has changed after the given version, or the whole payload for version 0.
	Since func(payload P, version uint64) P
	// Join applies a delta to the payload held and returns the complete payload. It returns false if changes between
	// the two are missing. Version is the version of the payload held, or 0 if none is held.
	Join func(held P, version uint64, delta P) (P, bool)
}

// Table holds the newest version of each record. It is not safe for concurrent use.
type Table[P any] struct {
	lifetime     time.Duration
	deltaCodec   *DeltaCodec[P]
	records      map[string]storedRecord[P]
	peerVersions map[string]map[string]uint64
	relays       relaySelector
}

type storedRecord[P any] struct {
	version   uint64
	createdAt time.Duration
	payload   P
	// local reports whether this daemon is the origin.
	local  bool
	origin string
	// receivedFrom is the peer that delivered the version first.
	receivedFrom string
}

// New returns an empty table whose records expire after the given lifetime.
func New[P any](lifetime time.Duration) *Table[P] {
	return &Table[P]{
		lifetime:     lifetime,
		records:      make(map[string]storedRecord[P]),
		peerVersions: make(map[string]map[string]uint64),
		relays:       newRelaySelector(),
	}
}

// NewWithDeltas returns an empty table that sends payloads as deltas.
func NewWithDeltas[P any](lifetime time.Duration, codec DeltaCodec[P]) *Table[P] {
	t := New[P](lifetime)
	t.deltaCodec = &codec
	return t
}

// Put stores a version that this daemon created at now.
func (t *Table[P]) Put(now time.Duration, key string, version uint64, payload P) {
	t.records[key] = storedRecord[P]{version: version, createdAt: now, payload: payload, local: true}
}

// Renew lowers the age of a held version to the given age, after its origin has confirmed that the version is still
// current. It returns the renewed record, and whether any version of the key is held.
func (t *Table[P]) Renew(now time.Duration, key string, version uint64, age time.Duration) (renewed []Record[P], held bool) {
	stored, held := t.records[key]
	if !held || stored.version != version || now-age <= stored.createdAt {
		return nil, held
	}
	stored.createdAt = now - age
	t.records[key] = stored
	return []Record[P]{{Key: key, Version: version, Age: age, Payload: stored.payload}}, true
}

// Merge stores the records received from a peer and returns those that are new to this table.
func (t *Table[P]) Merge(now time.Duration, peer string, records []Record[P]) []Record[P] {
	seen := t.knownVersions(peer)
	var accepted []Record[P]
	for _, record := range records {
		seen[record.Key] = max(seen[record.Key], record.Version)
		current, ok := t.records[record.Key]
		outdated := ok && current.version >= record.Version
		isNew := !outdated && record.Age <= t.lifetime && t.applyDelta(current, &record)
		t.relays.recordArrival(now, peer, record.Origin, record.Direct, isNew, outdated && current.receivedFrom != peer)
		if isNew {
			t.store(now, peer, record)
			accepted = append(accepted, record)
		}
	}
	return accepted
}

// applyDelta completes a record that arrived as a delta. It returns false if changes are missing.
func (t *Table[P]) applyDelta(held storedRecord[P], record *Record[P]) bool {
	if t.deltaCodec == nil {
		return true
	}
	complete, ok := t.deltaCodec.Join(held.payload, held.version, record.Payload)
	record.Payload = complete
	return ok
}

func (t *Table[P]) store(now time.Duration, peer string, record Record[P]) {
	t.records[record.Key] = storedRecord[P]{
		version:      record.Version,
		createdAt:    now - record.Age,
		payload:      record.Payload,
		origin:       record.Origin,
		receivedFrom: peer,
	}
}

// PendingRecords returns the records that the peer is not known to hold and has not asked to skip, and marks them as
// sent. Each age is increased by transit, an upper bound on the time that the message takes to reach the peer.
func (t *Table[P]) PendingRecords(now time.Duration, peer string, transit time.Duration) []Record[P] {
	seen := t.knownVersions(peer)
	var news []Record[P]
	for key, e := range t.records {
		if seen[key] >= e.version || (!e.local && t.relays.isSkipped(now, peer, e.origin)) {
			continue
		}
		payload := e.payload
		if t.deltaCodec != nil {
			payload = t.deltaCodec.Since(payload, seen[key])
		}
		seen[key] = e.version
		news = append(news, Record[P]{Key: key, Version: e.version, Age: now - e.createdAt + transit, Payload: payload})
	}
	return news
}

// Forget discards what is known about a peer, so that every record is sent to it again. Call it when a message to the
// peer may have been lost or when the peer has restarted.
func (t *Table[P]) Forget(peer string) {
	delete(t.peerVersions, peer)
	t.relays.forget(peer)
}

// ForgetRecord discards the version of one record that a peer is known to hold, so that the whole record is sent again.
func (t *Table[P]) ForgetRecord(peer, key string) {
	delete(t.peerVersions[peer], key)
}

// Version returns the version held for a key, or 0 if there is none.
func (t *Table[P]) Version(key string) uint64 { return t.records[key].version }

// Remove deletes a record.
func (t *Table[P]) Remove(key string) {
	delete(t.records, key)
	for _, versions := range t.peerVersions {
		delete(versions, key)
	}
}

// Expire deletes the records whose age exceeds the lifetime.
func (t *Table[P]) Expire(now time.Duration) {
	for _, key := range slices.Collect(maps.Keys(t.records)) {
		if now-t.records[key].createdAt > t.lifetime {
			t.Remove(key)
		}
	}
	t.relays.expire(now, t.lifetime)
}

// All returns every record with its current age.
func (t *Table[P]) All(now time.Duration) []Record[P] {
	all := make([]Record[P], 0, len(t.records))
	for key, e := range t.records {
		all = append(all, Record[P]{Key: key, Version: e.version, Age: now - e.createdAt, Payload: e.payload})
	}
	return all
}

func (t *Table[P]) knownVersions(peer string) map[string]uint64 {
	versions, ok := t.peerVersions[peer]
	if !ok {
		versions = make(map[string]uint64)
		t.peerVersions[peer] = versions
	}
	return versions
}
