package mirror

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
)

func put(key string, revision uint64) Event {
	return Event{Item: Item{Key: key, Value: fmt.Append(nil, revision), Revision: revision}}
}

// at returns a position of the first era.
func at(revision uint64) Position { return Position{Revision: revision} }

func removal(key string, revision uint64) Event {
	return Event{Item: Item{Key: key, Revision: revision}, Removed: true}
}

// Guards against a configuration that reverts when an older snapshot or event arrives late.
func TestNeverReverts(t *testing.T) {
	m := New()
	m.Reset(at(5), []Item{put("a", 5).Item})
	m.Apply(at(8), []Event{put("a", 8)})
	if changes := m.Reset(at(6), []Item{put("a", 6).Item}); changes != nil {
		t.Errorf("older snapshot taken: %v", changes)
	}
	if changes := m.Apply(at(7), []Event{put("a", 7)}); changes != nil {
		t.Errorf("older event taken: %v", changes)
	}
	if item, _ := m.Get("a"); item.Revision != 8 || m.Position().Revision != 8 {
		t.Errorf("item at %d, mirror at %d", item.Revision, m.Position().Revision)
	}
}

// Guards against an item of a later page that is overwritten by an earlier event.
func TestLaterPageIsKept(t *testing.T) {
	m := New()
	m.Reset(at(5), []Item{put("a", 7).Item})
	m.Apply(at(6), []Event{put("a", 6)})
	if item, _ := m.Get("a"); item.Revision != 7 {
		t.Errorf("item at %d, want 7", item.Revision)
	}
}

// Guards against peers that miss a removal: two mirrors, one fed by the store and the other by the first, must
// converge.
func TestPeersConverge(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var history []Event
		first, second := New(), New()
		live := map[string]uint64{}
		for revision := uint64(1); revision <= 60; revision++ {
			key := fmt.Sprint("k", rng.IntN(6))
			event := put(key, revision)
			live[key] = revision
			if rng.IntN(3) == 0 {
				event = removal(key, revision)
				delete(live, key)
			}
			history = append(history, event)
			switch rng.IntN(6) {
			case 0:
				var items []Item
				for key, at := range live {
					items = append(items, put(key, at).Item)
				}
				first.Reset(at(revision), items)
			case 1, 2:
				if first.Initialized() {
					first.Apply(at(revision), history[first.Position().Revision:])
				}
			case 3:
				pull(first, second)
			}
		}
		if !first.Initialized() {
			first.Reset(at(0), nil)
		}
		first.Apply(at(60), history[first.Position().Revision:])
		pull(first, second)
		if fmt.Sprint(first.Items()) != fmt.Sprint(second.Items()) || len(first.Items()) != len(live) {
			t.Fatalf("first %v, second %v, live %v", first.Items(), second.Items(), live)
		}
	}
}

// pull brings the second mirror up to the first as routers do.
func pull(first, second *Mirror) {
	if !first.Initialized() {
		return
	}
	if events, ok := first.Since(second.Position()); ok && second.Initialized() {
		second.Apply(first.Position(), events)
		return
	}
	second.Reset(first.Position(), first.Items())
}

// Guards against pulls that carry every version of a configuration during a burst of updates: found on
// cordillera-repuestos-grown trouble-1, where 25 versions of 60 KB were not transferred in time.
func TestPeersGetOnlyTheLatestVersion(t *testing.T) {
	m := New()
	m.Reset(at(1), []Item{put("config", 1).Item})
	for revision := uint64(2); revision <= 30; revision++ {
		m.Apply(at(revision), []Event{put("config", revision)})
	}
	events, ok := m.Since(at(3))
	if !ok || len(events) != 1 || events[0].Revision != 30 {
		t.Errorf("%d events, the last of %v", len(events), events)
	}
	if changes := m.Apply(at(33), []Event{put("config", 31), put("config", 32), put("config", 33)}); len(changes) != 1 {
		t.Errorf("%d changes for one key", len(changes))
	}
}

// Guards against memory that grows with removed keys, and against peers that miss a removal whose tombstone was
// discarded.
func TestTombstonesAreBounded(t *testing.T) {
	m := New()
	m.Reset(at(1), nil)
	for revision := uint64(2); revision <= 2+2*maxTombstones; revision++ {
		m.Apply(at(revision), []Event{removal(fmt.Sprint("k", revision), revision)})
	}
	if len(m.tombstones) > maxTombstones {
		t.Errorf("%d removals kept", len(m.tombstones))
	}
	if _, ok := m.Since(at(2)); ok {
		t.Error("a peer is served without the removals that were forgotten")
	}
}

// Guards against a mirror that keeps the content from before the store was restored, and against one that goes back to it.
func TestRestoredStoreReplacesContent(t *testing.T) {
	restored := func(revision uint64) Position { return Position{Era: 1, Revision: revision} }
	newMirror := func() *Mirror {
		m := New()
		m.Reset(at(5), []Item{put("a", 5).Item, put("b", 4).Item})
		m.Apply(at(9), []Event{put("a", 8), put("c", 9)})
		m.Reset(restored(6), []Item{put("a", 5).Item, put("b", 4).Item})
		return m
	}
	tests := []struct {
		name string
		step func(m *Mirror) []Event
		// changes lists the keys of the changes; items the content afterwards.
		changes, items string
		position       Position
	}{
		{"snapshot of the new era", func(*Mirror) []Event { return nil }, "", "a5 b4", restored(6)},
		{"snapshot of the old era", func(m *Mirror) []Event { return m.Reset(at(100), []Item{put("z", 100).Item}) }, "", "a5 b4", restored(6)},
		{"events of the old era", func(m *Mirror) []Event { return m.Apply(at(10), []Event{put("a", 10)}) }, "", "a5 b4", restored(6)},
		{"events of an unknown later era", func(m *Mirror) []Event { return m.Apply(Position{2, 7}, []Event{put("a", 7)}) }, "", "a5 b4", restored(6)},
		{"events at revisions given out again", func(m *Mirror) []Event { return m.Apply(restored(8), []Event{put("a", 7), put("c", 8)}) }, "a c", "a7 b4 c8", restored(8)},
		{"second restore", func(m *Mirror) []Event { return m.Reset(Position{2, 3}, []Item{put("a", 3).Item}) }, "a b", "a3", Position{2, 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := newMirror()
			var changes []string
			for _, change := range test.step(m) {
				changes = append(changes, change.Key)
			}
			sort.Strings(changes)
			if got := strings.Join(changes, " "); got != test.changes {
				t.Errorf("changes of %q, want %q", got, test.changes)
			}
			var items []string
			for _, item := range m.Items() {
				items = append(items, fmt.Sprint(item.Key, item.Revision))
			}
			if got := strings.Join(items, " "); got != test.items || m.Position() != test.position {
				t.Errorf("content %q at %v, want %q at %v", got, m.Position(), test.items, test.position)
			}
		})
	}
}

// Guards against peers of different eras that exchange changes which don't connect, and against a peer that pulls the
// content from before the store was restored.
func TestPeersConvergeAfterRestore(t *testing.T) {
	newer, older := New(), New()
	for _, m := range []*Mirror{newer, older} {
		m.Reset(at(50), []Item{put("a", 50).Item, put("gone", 49).Item})
	}
	newer.Reset(Position{1, 20}, []Item{put("a", 20).Item})
	newer.Apply(Position{1, 21}, []Event{put("b", 21)})
	if _, ok := newer.Since(older.Position()); ok {
		t.Error("changes since a position of the old era")
	}
	pull(older, newer)
	pull(newer, older)
	for _, m := range []*Mirror{newer, older} {
		if got := fmt.Sprint(m.Items()); got != fmt.Sprint([]Item{put("a", 20).Item, put("b", 21).Item}) || m.ContentPosition() != (Position{1, 21}) {
			t.Errorf("content %s at %v", got, m.ContentPosition())
		}
	}
}
