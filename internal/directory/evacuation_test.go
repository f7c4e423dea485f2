package directory

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

func evacuatedZones(d *Directory) string {
	return strings.Join(slices.Sorted(maps.Keys(d.Evacuated())), " ")
}

func kinds(changes []Change) string {
	var list []string
	for _, change := range changes {
		list = append(list, change.Kind)
	}
	return strings.Join(list, " ")
}

// Guards against an order that is ignored since its value is unreadable or its zone unknown, and against one that outlives
// its key while the store is sound.
func TestEvacuationFollowsItsKey(t *testing.T) {
	d := newFilledDirectory()
	for i, step := range []struct {
		event        mirror.Event
		zones, kinds string
	}{
		{entry("evacuate/", "{}", 10), "", EvacuationInvalid},
		{entry("evacuate/z1", "{}", 11), "z1", EvacuationBegun + " " + EvacuationInvalid}, // no target is listed in z1
		{entry("evacuate/z1", "{}", 12), "z1", EvacuationInvalid},
		{entry("evacuate/z2", "x", 13), "z1 z2", EvacuationBegun + " " + EvacuationInvalid},
		{removal("evacuate/z1", 14), "z2", EvacuationEnded},
		{removal("evacuate/z3", 15), "z2", ""},
		{entry("config", "\x01", 16), "z2", ConfigApplied},
	} {
		changes := d.Apply(0, Config, at(step.event.Revision), []mirror.Event{step.event})
		if evacuatedZones(d) != step.zones || kinds(changes) != step.kinds {
			t.Errorf("step %d: zones %q, changes %q, want %q, %q", i, evacuatedZones(d), kinds(changes), step.zones, step.kinds)
		}
	}
}

// Guards against requests to a zone after the store was restored from a copy without the key, and against an evacuation
// that never ends although the operator does not write it again.
func TestRestoredStoreLacksEvacuation(t *testing.T) {
	const restoredAt = 10 * time.Second
	restore := func(d *Directory, now time.Duration, era uint64) []Change {
		return d.Reset(now, Config, mirror.Position{Era: era, Revision: 3}, nil)
	}
	begin := func() *Directory {
		d := newFilledDirectory()
		d.Reset(0, Config, at(5), []mirror.Item{entry("evacuate/z1", "{}", 5).Item})
		if got := kinds(restore(d, restoredAt, 1)); got != EvacuationRetained {
			t.Fatalf("changes %q", got)
		}
		return d
	}
	d := begin()
	if changes := d.ExpireEvacuations(restoredAt + KeptEvacuationTime - 1); evacuatedZones(d) != "z1" || len(changes) > 0 {
		t.Errorf("ended early: %v", changes)
	}
	if changes := d.ExpireEvacuations(restoredAt + KeptEvacuationTime); evacuatedZones(d) != "" || kinds(changes) != EvacuationEnded {
		t.Errorf("in force for too long: zones %q, %v", evacuatedZones(d), changes)
	}
	d = begin()
	restore(d, restoredAt+time.Second, 2)
	if d.ExpireEvacuations(restoredAt + KeptEvacuationTime); evacuatedZones(d) != "z1" {
		t.Error("a second restore does not keep the evacuation")
	}
	d = begin()
	d.Apply(restoredAt, Config, mirror.Position{Era: 1, Revision: 4}, []mirror.Event{entry("evacuate/z1", "{}", 4)})
	if d.ExpireEvacuations(restoredAt + time.Minute); evacuatedZones(d) != "z1" || len(d.KeptEvacuations(restoredAt)) > 0 {
		t.Error("an order that was written again has ended")
	}
	d.Apply(restoredAt, Config, mirror.Position{Era: 1, Revision: 6}, []mirror.Event{removal("evacuate/z1", 6)})
	if evacuatedZones(d) != "" {
		t.Error("an order that was written again and removed is in force")
	}
}

// Guards against a router that starts after the store was restored and sends to the zone, against an order that routers
// tell each other for ever, and against memory that any peer can fill.
func TestKeptEvacuationsAreLearned(t *testing.T) {
	told := newFilledDirectory()
	kept := KeptEvacuation{Zone: "z1", Rest: time.Hour}
	if changes := told.LearnEvacuation(time.Second, kept); kinds(changes) != EvacuationBegun || evacuatedZones(told) != "z1" {
		t.Errorf("changes %v, zones %q", changes, evacuatedZones(told))
	}
	if list := told.KeptEvacuations(time.Second); len(list) > 0 {
		t.Errorf("told further: %v", list)
	}
	if told.ExpireEvacuations(time.Second + KeptEvacuationTime); evacuatedZones(told) != "" {
		t.Error("in force for too long")
	}
	for i := range 2 * maxKept {
		told.LearnEvacuation(0, KeptEvacuation{Zone: strings.Repeat("z", i), Rest: time.Second})
	}
	if len(told.Evacuated()) > maxKept {
		t.Errorf("%d zones are kept", len(told.Evacuated()))
	}
}
