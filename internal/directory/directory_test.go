package directory

import (
	"errors"
	"fmt"
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

func (fakeDecoder) DecodeEvacuation(item mirror.Item) (zone string, err error) {
	zone, _ = strings.CutPrefix(item.Key, "evacuate/")
	if zone == item.Key {
		return "", nil
	}
	if zone == "" || string(item.Value) != "{}" {
		return zone, errors.New("unreadable")
	}
	return zone, nil
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

// describedTargets decodes "state start sequence".
type describedTargets struct{ fakeDecoder }

func (describedTargets) DecodeTarget(item mirror.Item) (routes.Target, error) {
	target := routes.Target{ID: item.Key, Service: "s"}
	var state string
	if _, err := fmt.Sscan(string(item.Value), &state, &target.StartedAt, &target.Sequence); err != nil {
		return routes.Target{}, err
	}
	target.Draining = state == "draining"
	return target, nil
}

// Guards against requests to targets that have left and are ready again in a restored store, and against the loss of
// live targets that are missing there.
func TestRestoredStoreHasEarlierTargets(t *testing.T) {
	const restoredAt = 20 * time.Second
	tests := []struct {
		name string
		// events follow the entry "ready 7 1" of target a; restored is its entry in the restored store, rewritten the one
		// that the target writes afterwards; empty for none.
		events              []mirror.Event
		restored, rewritten string
		// before and after are the states of a right after the restore and massExpiryGrace later; empty if it isn't listed.
		before, after string
	}{
		{"unchanged", nil, "ready 7 1", "", "ready", "ready"},
		{"began to drain since", []mirror.Event{entry("a", "draining 7 4", 6)}, "ready 7 1", "", "draining", "draining"},
		{"drains and has written again", []mirror.Event{entry("a", "draining 7 4", 6)}, "ready 7 1", "draining 7 9", "draining", "draining"},
		{"left since", []mirror.Event{entry("a", "draining 7 4", 6), removal("a", 7)}, "ready 7 1", "", "", ""},
		{"left without draining", []mirror.Event{removal("a", 6)}, "ready 7 1", "", "", ""},
		{"was taken for gone and is alive", []mirror.Event{removal("a", 6)}, "ready 7 1", "ready 7 5", "ready", "ready"},
		{"started again since", []mirror.Event{entry("a", "ready 8 1", 6)}, "draining 7 1", "", "ready", "ready"},
		{"started again and drains", []mirror.Event{entry("a", "ready 8 1", 6)}, "ready 7 1", "draining 8 2", "draining", "draining"},
		{"starts anew after it left", []mirror.Event{removal("a", 6)}, "", "ready 9 1", "ready", "ready"},
		{"registered since, alive", nil, "", "ready 7 2", "ready", "ready"},
		{"registered since, gone", nil, "", "", "ready", ""},
		{"drained since it registered", []mirror.Event{entry("a", "draining 7 2", 6)}, "", "", "", ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(describedTargets{})
			others := []mirror.Item{entry("b", "ready 1 1", 2).Item, entry("c", "ready 1 1", 3).Item, entry("d", "ready 1 1", 4).Item}
			d.Reset(0, Targets, at(5), append([]mirror.Item{entry("a", "ready 7 1", 5).Item}, others...))
			d.Apply(10*time.Second, Targets, at(9), test.events)
			items := others
			if test.restored != "" {
				items = append([]mirror.Item{entry("a", test.restored, 4).Item}, others...)
			}
			d.Reset(restoredAt, Targets, mirror.Position{Era: 1, Revision: 5}, items)
			if test.rewritten != "" {
				d.Apply(restoredAt, Targets, mirror.Position{Era: 1, Revision: 6}, []mirror.Event{entry("a", test.rewritten, 6)})
			}
			for _, check := range []struct {
				after time.Duration
				want  string
			}{{0, test.before}, {massExpiryGrace - time.Millisecond, test.before}, {massExpiryGrace, test.after}} {
				d.Expire(restoredAt + check.after)
				got := ""
				for _, target := range d.Targets() {
					if target.ID == "a" {
						got = "ready"
						if target.Draining {
							got = "draining"
						}
					}
				}
				if got != check.want {
					t.Errorf("%v after the restore: listed as %q, want %q", check.after, got, check.want)
				}
			}
		})
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

// warmupDecoder decodes "start remaining", in milliseconds; a negative time is malformed. Version 2 of the configuration
// limits targets that warm up.
type warmupDecoder struct{ fakeDecoder }

func (warmupDecoder) DecodeConfig(item mirror.Item) (*routes.Table, error) {
	version := uint64(item.Value[0])
	return routes.NewTable(routes.Content{Version: version, Services: []routes.Service{{Name: "s", Warmup: routes.Warmup{Rate: float64(version - 1)}}}}), nil
}

func (warmupDecoder) DecodeTarget(item mirror.Item) (routes.Target, error) {
	target := routes.Target{ID: item.Key, Service: "s"}
	var remaining int64
	if _, err := fmt.Sscan(string(item.Value), &target.StartedAt, &remaining); err != nil {
		return routes.Target{}, err
	}
	if remaining < 0 {
		target.InvalidWarmup = fmt.Sprint(remaining)
	}
	target.WarmupRemaining = time.Duration(max(remaining, 0)) * time.Millisecond
	return target, nil
}

// Guards against a warm-up whose end is lost, early, or not put into effect because the entry changes nothing else, and
// against a change where the configuration limits no such targets.
func TestWarmupCountsFromArrival(t *testing.T) {
	const s = time.Second
	for _, test := range []struct {
		name    string
		version byte
		// first arrives at 10 s, second at 11 s, the third at 12 s; empty for none.
		first, second, third string
		changes              string
		until                time.Duration
	}{
		{"starts", 2, "7 3000", "", "", "target_listed", 13 * s},
		{"written again", 2, "7 3000", "7 2000", "", "target_listed", 13 * s},
		{"longer", 2, "7 3000", "7 3000", "", "target_listed warmup_replaced", 14 * s},
		{"shorter", 2, "7 3000", "7 500", "", "target_listed warmup_replaced", 11500 * time.Millisecond},
		{"ended", 2, "7 3000", "7 0", "", "target_listed warmup_replaced", 0},
		{"warm and cold again", 2, "7 0", "7 3000", "", "target_listed target_cold", 14 * s},
		{"cold again after its end", 2, "7 1500", "7 0", "7 3000", "target_listed warmup_replaced target_cold", 15 * s},
		{"another instance", 2, "7 0", "8 3000", "", "target_listed target_listed", 14 * s},
		{"malformed", 2, "7 0", "7 -1", "", "target_listed warmup_invalid", 0},
		{"malformed at first", 2, "7 -1", "", "", "target_listed warmup_invalid", 0},
		{"warm", 2, "7 0", "7 0", "7 0", "target_listed", 0},
		{"no limit", 1, "7 3000", "7 0", "7 3000", "target_listed", 15 * s},
	} {
		d := New(warmupDecoder{})
		d.Reset(0, Config, at(1), []mirror.Item{entry("config", string(test.version), 1).Item})
		var kinds []string
		for i, value := range []string{test.first, test.second, test.third} {
			if value == "" {
				continue
			}
			revision := uint64(i + 2)
			for _, change := range d.Apply(10*s+time.Duration(i)*s, Targets, at(revision), []mirror.Event{entry("a", value, revision)}) {
				kinds = append(kinds, change.Kind)
				if (change.Err != nil) != (change.Kind == WarmupInvalid) || change.Key != "a" || change.Revision != revision {
					t.Errorf("%s: change %+v", test.name, change)
				}
			}
		}
		// A store that fails changes nothing.
		d.StoreFailed(12 * s)
		if got := strings.Join(kinds, " "); got != test.changes || d.Targets()[0].WarmupUntil != test.until {
			t.Errorf("%s: changes %q, until %v, want %q, %v", test.name, got, d.Targets()[0].WarmupUntil, test.changes, test.until)
		}
	}
}
