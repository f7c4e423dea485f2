// Package gossip spreads small versioned records between daemons in the heartbeats that they exchange anyway.
//
// A Table holds the newest version of each record and remembers, for each peer, which versions that peer has seen, so
// that every record crosses a link about once. Records end by age. A message that is lost delays a record until its
// next version or until Forget is called for the peer; it never makes an old version replace a newer one.
//
// A payload of several parts can be sent in part: a peer that is known to have a version gets what has changed since.
//
// The package does no I/O and reads no clock.
package gossip

import (
	"maps"
	"slices"
	"time"
)

// Record is one version of a value.
type Record[P any] struct {
	// Key identifies the value; a restarted daemon uses another key than its predecessor.
	Key string
	// Version orders the records of a key.
	Version uint64
	// Age is the time since the origin made the version, transit included.
	Age time.Duration
	// Origin names the process that made the record, for the choice of one peer that relays its records; a table
	// without origins takes them from every peer. Direct says that the peer that sent the record is the origin.
	Origin string
	Direct bool
	// Payload is shared between daemons' goroutines and must not be changed.
	Payload P
}

// Parts divides payloads, so that a peer that has an earlier version gets only what has changed.
type Parts[P any] struct {
	// Since returns what has changed after the version; the whole payload for version 0.
	Since func(payload P, version uint64) P
	// Join returns the payload that a part completes, and false when something is missing between the two. Version is
	// that of the payload held, and 0 when none is.
	Join func(held P, version uint64, part P) (P, bool)
}

// Table holds records. It is not safe for concurrent use.
type Table[P any] struct {
	lifetime time.Duration
	parts    *Parts[P]
	records  map[string]entry[P]
	peers    map[string]map[string]uint64
	routes   routes
}

type entry[P any] struct {
	version uint64
	made    time.Duration
	payload P
	// own says that this daemon is the origin.
	own    bool
	origin string
	// from is the peer that brought the version first.
	from string
}

// New returns an empty table whose records end after the lifetime.
func New[P any](lifetime time.Duration) *Table[P] {
	return &Table[P]{
		lifetime: lifetime,
		records:  make(map[string]entry[P]),
		peers:    make(map[string]map[string]uint64),
		routes:   newRoutes(),
	}
}

// NewInParts returns an empty table that sends payloads in parts.
func NewInParts[P any](lifetime time.Duration, parts Parts[P]) *Table[P] {
	t := New[P](lifetime)
	t.parts = &parts
	return t
}

// Put stores a version that this daemon made now.
func (t *Table[P]) Put(now time.Duration, key string, version uint64, payload P) {
	t.records[key] = entry[P]{version: version, made: now, payload: payload, own: true}
}

// Renew makes a version that this daemon holds as young as the age given: its origin has said that the version is
// still in force. It reports the renewed record, and whether any version of the key is held.
func (t *Table[P]) Renew(now time.Duration, key string, version uint64, age time.Duration) (renewed []Record[P], held bool) {
	e, held := t.records[key]
	if !held || e.version != version || now-age <= e.made {
		return nil, held
	}
	e.made = now - age
	t.records[key] = e
	return []Record[P]{{Key: key, Version: version, Age: age, Payload: e.payload}}, true
}

// Merge stores the records that a peer sent and reports those that are new here.
func (t *Table[P]) Merge(now time.Duration, peer string, records []Record[P]) []Record[P] {
	known := t.known(peer)
	var fresh []Record[P]
	for _, record := range records {
		known[record.Key] = max(known[record.Key], record.Version)
		current, ok := t.records[record.Key]
		old := ok && current.version >= record.Version
		isFresh := !old && record.Age <= t.lifetime && t.join(current, &record)
		t.routes.arrive(now, peer, record.Origin, record.Direct, isFresh, old && current.from != peer)
		if isFresh {
			t.store(now, peer, record)
			fresh = append(fresh, record)
		}
	}
	return fresh
}

// join completes a record that came in part, and reports false when something is missing.
func (t *Table[P]) join(held entry[P], record *Record[P]) bool {
	if t.parts == nil {
		return true
	}
	whole, ok := t.parts.Join(held.payload, held.version, record.Payload)
	record.Payload = whole
	return ok
}

func (t *Table[P]) store(now time.Duration, peer string, record Record[P]) {
	t.records[record.Key] = entry[P]{
		version: record.Version,
		made:    now - record.Age,
		payload: record.Payload,
		origin:  record.Origin,
		from:    peer,
	}
}

// News returns the records that the peer is not known to have and has not asked to leave out, and counts them as sent.
// Ages grow by the transit, an upper bound of the time that the message takes to the peer.
func (t *Table[P]) News(now time.Duration, peer string, transit time.Duration) []Record[P] {
	known := t.known(peer)
	var news []Record[P]
	for key, e := range t.records {
		if known[key] >= e.version || (!e.own && t.routes.skipped(now, peer, e.origin)) {
			continue
		}
		payload := e.payload
		if t.parts != nil {
			payload = t.parts.Since(payload, known[key])
		}
		known[key] = e.version
		news = append(news, Record[P]{Key: key, Version: e.version, Age: now - e.made + transit, Payload: payload})
	}
	return news
}

// Forget drops what is known of a peer, so that it gets every record again. Call it when a message to the peer may
// have been lost and when the peer has restarted.
func (t *Table[P]) Forget(peer string) {
	delete(t.peers, peer)
	t.routes.forget(peer)
}

// ForgetRecord drops what is known of a peer's version of one record, so that it gets the whole record again.
func (t *Table[P]) ForgetRecord(peer, key string) {
	delete(t.peers[peer], key)
}

// Version returns the version of a record that is held, and 0 when there is none.
func (t *Table[P]) Version(key string) uint64 { return t.records[key].version }

// Remove drops a record.
func (t *Table[P]) Remove(key string) {
	delete(t.records, key)
	for _, known := range t.peers {
		delete(known, key)
	}
}

// Expire drops the records that are past the lifetime.
func (t *Table[P]) Expire(now time.Duration) {
	for _, key := range slices.Collect(maps.Keys(t.records)) {
		if now-t.records[key].made > t.lifetime {
			t.Remove(key)
		}
	}
	t.routes.expire(now, t.lifetime)
}

// All returns every record with its present age.
func (t *Table[P]) All(now time.Duration) []Record[P] {
	all := make([]Record[P], 0, len(t.records))
	for key, e := range t.records {
		all = append(all, Record[P]{Key: key, Version: e.version, Age: now - e.made, Payload: e.payload})
	}
	return all
}

func (t *Table[P]) known(peer string) map[string]uint64 {
	known, ok := t.peers[peer]
	if !ok {
		known = make(map[string]uint64)
		t.peers[peer] = known
	}
	return known
}
