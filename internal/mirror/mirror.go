// Package mirror keeps a copy of a key range of a revisioned store.
//
// A Mirror receives snapshots and events, from the store itself or from a peer that is further ahead. It never reverts:
// anything before its position is ignored. A store that is restored from a backup starts a new era, in which revisions
// continue from those of the backup; a snapshot of a later era replaces the copy, whatever its revision. The mirror
// keeps the latest event of each key, so that it can bring a peer up to date without sending the whole range or values
// that have since been replaced. It does no I/O and is not safe for concurrent use.
package mirror

import (
	"bytes"
	"cmp"
	"math"
	"sort"
)

// maxTombstones bounds the number of removed keys that are kept for peers. It covers a release of several
// hundred targets.
const maxTombstones = 512

// Position is a point in the history of a store. Revisions of different eras can't be compared.
type Position struct {
	Era      uint64
	Revision uint64
}

// Compare returns -1, 0 or 1 if the position is before, at or after the other one.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

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
	// era is the era of all revisions below.
	era uint64
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

// Position is the position up to which the copy is complete.
func (m *Mirror) Position() Position { return Position{m.era, m.revision} }

// ContentPosition is the position of the latest change that the mirror has seen.
func (m *Mirror) ContentPosition() Position { return Position{m.era, m.contentRevision} }

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

// Reset replaces the content by a snapshot and returns the changes. A snapshot from before the mirror's position is
// ignored.
func (m *Mirror) Reset(at Position, items []Item) []Event {
	if m.initialized && at.Compare(m.Position()) < 0 {
		return nil
	}
	var changes []Event
	if at.Era > m.era {
		changes = m.startEra(at, items)
	} else {
		changes = m.merge(at, items)
	}
	// Removals within the gap have no revisions of their own, so peers at earlier revisions can't be served.
	clear(m.tombstones)
	m.tombstonesFrom = at.Revision
	m.revision = at.Revision
	m.initialized = true
	return changes
}

// merge brings the copy up to a snapshot of the same era.
func (m *Mirror) merge(at Position, items []Item) []Event {
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
			changes = append(changes, Event{Item: Item{Key: key, Revision: at.Revision}, Removed: true})
		}
	}
	sortEvents(changes)
	for _, change := range changes {
		m.apply(change)
	}
	return changes
}

// startEra replaces the copy by a snapshot of a later era. Items with the same value are not changes.
func (m *Mirror) startEra(at Position, items []Item) []Event {
	previous := m.items
	m.items = make(map[string]Item, len(items))
	m.era, m.contentRevision = at.Era, 0
	var changes []Event
	for _, item := range items {
		m.items[item.Key] = item
		m.contentRevision = max(m.contentRevision, item.Revision)
		if existing, ok := previous[item.Key]; !ok || !bytes.Equal(existing.Value, item.Value) {
			changes = append(changes, Event{Item: item})
		}
	}
	for key := range previous {
		if _, ok := m.items[key]; !ok {
			changes = append(changes, Event{Item: Item{Key: key, Revision: at.Revision}, Removed: true})
		}
	}
	sortEvents(changes)
	return changes
}

func sortEvents(events []Event) {
	sort.Slice(events, func(i, j int) bool { return events[i].Revision < events[j].Revision })
}

// Apply applies the events that lead to the position. It returns those that were new, without the ones that a later
// event of the same key replaces. Events of another era are ignored: without a snapshot they don't connect to the copy.
func (m *Mirror) Apply(at Position, events []Event) []Event {
	if at.Era != m.era {
		return nil
	}
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
	m.revision = max(m.revision, at.Revision)
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

// Since returns the events after a position, and false when the mirror does not have all of them.
func (m *Mirror) Since(position Position) ([]Event, bool) {
	if !m.initialized || position.Era != m.era || position.Revision < m.tombstonesFrom {
		return nil, false
	}
	revision := position.Revision
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
	sortEvents(events)
	return events, true
}
