// Package mirror keeps a copy of a key range of a revisioned store.
//
// A Mirror receives snapshots and events, from the store itself or from a peer that is further ahead. It never reverts:
// anything older than its revision is ignored. It keeps the latest event of each key, so that it can bring a peer up to
// date without sending the whole range or values that have since been replaced. It does no I/O and is not safe for
// concurrent use.
package mirror

import (
	"math"
	"sort"
)

// maxTombstones bounds the number of removed keys that are kept for peers. It covers a release of several
// hundred targets.
const maxTombstones = 512

// Item is one key of the range.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
}

// Event is a change of one key.
type Event struct {
	Item
	Removed bool
}

// Mirror is the copy.
type Mirror struct {
	items map[string]Item
	// revision is the revision up to which the copy is complete; content that of the latest change.
	revision        uint64
	contentRevision uint64
	// tombstones holds the removal revision of each removed key.
	tombstones map[string]uint64
	// tombstonesFrom is the revision after which the tombstones are complete.
	tombstonesFrom uint64
	initialized    bool
}

// New returns an empty mirror.
func New() *Mirror { return &Mirror{items: make(map[string]Item), tombstones: make(map[string]uint64)} }

// Initialized reports whether the mirror has received a snapshot.
func (m *Mirror) Initialized() bool { return m.initialized }

// Revision is the revision up to which the copy is complete.
func (m *Mirror) Revision() uint64 { return m.revision }

// ContentRevision is the revision of the latest change that the mirror has seen.
func (m *Mirror) ContentRevision() uint64 { return m.contentRevision }

// Get returns the item with the key.
func (m *Mirror) Get(key string) (Item, bool) {
	item, ok := m.items[key]
	return item, ok
}

// Items returns all items in the order of their keys.
func (m *Mirror) Items() []Item {
	items := make([]Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

// Reset replaces the content by a snapshot and returns the changes. An older snapshot than the mirror is ignored.
func (m *Mirror) Reset(revision uint64, items []Item) []Event {
	if m.initialized && revision < m.revision {
		return nil
	}
	present := make(map[string]bool, len(items))
	var changes []Event
	for _, item := range items {
		present[item.Key] = true
		// A page read before a newer event must not overwrite that event.
		if existing, ok := m.items[item.Key]; ok && existing.Revision >= item.Revision {
			continue
		}
		changes = append(changes, Event{Item: item})
	}
	for key := range m.items {
		if !present[key] {
			changes = append(changes, Event{Item: Item{Key: key, Revision: revision}, Removed: true})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	for _, change := range changes {
		m.apply(change)
	}
	// Removals within the gap have no revisions of their own, so peers at earlier revisions can't be served.
	clear(m.tombstones)
	m.tombstonesFrom = revision
	m.revision = revision
	m.initialized = true
	return changes
}

// Apply applies the events that lead to the revision. It returns those that were new, without the ones that a later
// event of the same key replaces.
func (m *Mirror) Apply(revision uint64, events []Event) []Event {
	last := make(map[string]int, len(events))
	for i, event := range events {
		last[event.Key] = i
	}
	var changes []Event
	for i, event := range events {
		if event.Revision <= m.revision || last[event.Key] != i {
			continue
		}
		m.apply(event)
		changes = append(changes, event)
	}
	m.trimTombstones()
	m.revision = max(m.revision, revision)
	return changes
}

// trimTombstones drops the oldest tombstones beyond maxTombstones.
func (m *Mirror) trimTombstones() {
	for len(m.tombstones) > maxTombstones {
		oldest, at := "", uint64(math.MaxUint64)
		for key, revision := range m.tombstones {
			if revision < at {
				oldest, at = key, revision
			}
		}
		delete(m.tombstones, oldest)
		m.tombstonesFrom = max(m.tombstonesFrom, at)
	}
}

func (m *Mirror) apply(event Event) {
	if existing, ok := m.items[event.Key]; ok && existing.Revision > event.Revision {
		return // a later page of the snapshot was newer than this event
	}
	if event.Removed {
		delete(m.items, event.Key)
		m.tombstones[event.Key] = event.Revision
	} else {
		m.items[event.Key] = event.Item
		delete(m.tombstones, event.Key)
	}
	m.contentRevision = max(m.contentRevision, event.Revision)
}

// Since returns the events after a revision, and false when the mirror no longer has all of them.
func (m *Mirror) Since(revision uint64) ([]Event, bool) {
	if !m.initialized || revision < m.tombstonesFrom {
		return nil, false
	}
	var events []Event
	for _, item := range m.items {
		if item.Revision > revision {
			events = append(events, Event{Item: item})
		}
	}
	for key, at := range m.tombstones {
		if at > revision {
			events = append(events, Event{Item: Item{Key: key, Revision: at}, Removed: true})
		}
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Revision < events[j].Revision })
	return events, true
}
