package directory

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// fakeDecoder reads "version" and "state" as plain text.
type fakeDecoder struct{}

func (fakeDecoder) DecodeConfig(item mirror.Item) (*routes.Table, error) {
	if len(item.Value) != 1 {
		return nil, errors.New("no version")
	}
	return routes.NewTable(routes.Content{Version: uint64(item.Value[0])}), nil
}

func (fakeDecoder) DecodeTarget(item mirror.Item) (routes.Target, error) {
	state := string(item.Value)
	if state != "ready" && state != "draining" {
		return routes.Target{}, errors.New("state unknown")
	}
	return routes.Target{ID: item.Key, Service: "s", Draining: state == "draining"}, nil
}

func entry(key, value string, revision uint64) mirror.Event {
	return mirror.Event{Item: mirror.Item{Key: key, Value: []byte(value), Revision: revision}}
}

func removal(key string, revision uint64) mirror.Event {
	return mirror.Event{Item: mirror.Item{Key: key, Revision: revision}, Removed: true}
}

func at(revision uint64) mirror.Position { return mirror.Position{Revision: revision} }

func targetIDs(d *Directory) string {
	var list []string
	for _, target := range d.Targets() {
		list = append(list, target.ID)
	}
	return strings.Join(list, " ")
}

// newFilledDirectory returns a directory with four targets, at revision 4.
func newFilledDirectory() *Directory {
	d := New(fakeDecoder{})
	d.Reset(0, Targets, at(4), []mirror.Item{
		entry("a", "ready", 1).Item, entry("b", "ready", 2).Item, entry("c", "ready", 3).Item, entry("d", "ready", 4).Item,
	})
	return d
}

// Guards against requests to a target that left without draining: found on cordillera-repuestos trouble-1, where a
// router that could not read the store retained the target for 2.5 s.
func TestSingleRemovalWhileStoreUnstable(t *testing.T) {
	d := newFilledDirectory()
	d.StoreFailed(10 * time.Second)
	d.Apply(11*time.Second, Targets, at(5), []mirror.Event{removal("a", 5)})
	if targetIDs(d) != "a b c d" {
		t.Errorf("dropped immediately although the store was unstable: %s", targetIDs(d))
	}
	d.Expire(11*time.Second + 900*time.Millisecond)
	if targetIDs(d) != "a b c d" {
		t.Errorf("dropped early: %s", targetIDs(d))
	}
	d.Expire(12 * time.Second)
	if targetIDs(d) != "b c d" {
		t.Errorf("still listed a second after its entry was removed: %s", targetIDs(d))
	}
}

// Guards against a store outage that removes all live targets.
func TestMassExpiryRetainsTargets(t *testing.T) {
	d := newFilledDirectory()
	d.StoreFailed(10 * time.Second)
	d.Apply(11*time.Second, Targets, at(8), []mirror.Event{removal("a", 5), removal("b", 6), removal("c", 7), removal("d", 8)})
	d.Expire(13 * time.Second)
	if targetIDs(d) != "a b c d" {
		t.Fatalf("targets dropped after a mass expiry: %s", targetIDs(d))
	}
	d.Apply(13*time.Second, Targets, at(9), []mirror.Event{entry("a", "ready", 9)})
	d.Expire(14 * time.Second)
	if targetIDs(d) != "a" {
		t.Errorf("targets that were not restored are still listed: %s", targetIDs(d))
	}
}

// Guards against retaining a target whose entry is removed while the store is healthy.
func TestRemovalWhileStoreHealthy(t *testing.T) {
	d := newFilledDirectory()
	d.Apply(20*time.Second, Targets, at(5), []mirror.Event{removal("a", 5)})
	if targetIDs(d) != "b c d" {
		t.Errorf("listed: %s", targetIDs(d))
	}
	d.StoreFailed(30 * time.Second)
	d.Apply(30*time.Second, Targets, at(6), []mirror.Event{entry("b", "draining", 6)})
	d.Apply(30*time.Second, Targets, at(7), []mirror.Event{removal("b", 7)})
	if targetIDs(d) != "c d" {
		t.Errorf("a draining target is retained after its removal: %s", targetIDs(d))
	}
}

// Guards against an invalid entry that affects others, and against a configuration that reverts.
func TestInvalidItems(t *testing.T) {
	d := newFilledDirectory()
	changes := d.Apply(time.Second, Targets, at(5), []mirror.Event{entry("b", "odd", 5)})
	if len(changes) != 1 || changes[0].Kind != TargetInvalid || targetIDs(d) != "a c d" {
		t.Errorf("changes %v, listed %s", changes, targetIDs(d))
	}
	d.Reset(0, Config, at(1), []mirror.Item{entry("config", "\x05", 1).Item})
	d.Apply(time.Second, Config, at(2), []mirror.Event{entry("config", "\x03", 2)})
	d.Apply(time.Second, Config, at(3), []mirror.Event{entry("config", "none", 3)})
	if d.Table().Version != 5 {
		t.Errorf("version %d in force, want 5", d.Table().Version)
	}
}
