package mirror

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func put(key string, revision uint64) Event {
	return Event{Item: Item{Key: key, Value: fmt.Append(nil, revision), Revision: revision}}
}

func removal(key string, revision uint64) Event {
	return Event{Item: Item{Key: key, Revision: revision}, Removed: true}
}

// Guards against a configuration that reverts when an older snapshot or event arrives late.
func TestNeverReverts(t *testing.T) {
	m := New()
	m.Reset(5, []Item{put("a", 5).Item})
	m.Apply(8, []Event{put("a", 8)})
	if changes := m.Reset(6, []Item{put("a", 6).Item}); changes != nil {
		t.Errorf("older snapshot taken: %v", changes)
	}
	if changes := m.Apply(7, []Event{put("a", 7)}); changes != nil {
		t.Errorf("older event taken: %v", changes)
	}
	if item, _ := m.Get("a"); item.Revision != 8 || m.Revision() != 8 {
		t.Errorf("item at %d, mirror at %d", item.Revision, m.Revision())
	}
}

// Guards against an item of a later page that is overwritten by an earlier event.
func TestLaterPageIsKept(t *testing.T) {
	m := New()
	m.Reset(5, []Item{put("a", 7).Item})
	m.Apply(6, []Event{put("a", 6)})
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
				first.Reset(revision, items)
			case 1, 2:
				if first.Initialized() {
					first.Apply(revision, history[first.Revision():])
				}
			case 3:
				pull(first, second)
			}
		}
		if !first.Initialized() {
			first.Reset(0, nil)
		}
		first.Apply(60, history[first.Revision():])
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
	if events, ok := first.Since(second.Revision()); ok && second.Initialized() {
		second.Apply(first.Revision(), events)
		return
	}
	second.Reset(first.Revision(), first.Items())
}

// Guards against pulls that carry every version of a configuration during a burst of updates: found on
// cordillera-repuestos-grown trouble-1, where 25 versions of 60 KB were not transferred in time.
func TestPeersGetOnlyTheLatestVersion(t *testing.T) {
	m := New()
	m.Reset(1, []Item{put("config", 1).Item})
	for revision := uint64(2); revision <= 30; revision++ {
		m.Apply(revision, []Event{put("config", revision)})
	}
	events, ok := m.Since(3)
	if !ok || len(events) != 1 || events[0].Revision != 30 {
		t.Errorf("%d events, the last of %v", len(events), events)
	}
	if changes := m.Apply(33, []Event{put("config", 31), put("config", 32), put("config", 33)}); len(changes) != 1 {
		t.Errorf("%d changes for one key", len(changes))
	}
}

// Guards against memory that grows with removed keys, and against peers that miss a removal whose tombstone was
// discarded.
func TestTombstonesAreBounded(t *testing.T) {
	m := New()
	m.Reset(1, nil)
	for revision := uint64(2); revision <= 2+2*maxTombstones; revision++ {
		m.Apply(revision, []Event{removal(fmt.Sprint("k", revision), revision)})
	}
	if len(m.tombstones) > maxTombstones {
		t.Errorf("%d removals kept", len(m.tombstones))
	}
	if _, ok := m.Since(2); ok {
		t.Error("a peer is served without the removals that were forgotten")
	}
}
