package directory

import (
	"errors"
	"maps"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

const (
	// KeptEvacuationTime is how long an evacuation stays in force whose key is missing in a restored store: the operator
	// writes it again, and ignoring it meanwhile would break the order.
	KeptEvacuationTime = 5 * time.Second
	// maxKept bounds the evacuations learned from peers. Deployments have a few zones.
	maxKept = 64
)

var errUnknownZone = errors.New("no target is listed in the zone")

// keptEvacuation is an evacuation whose key is missing in a restored store.
type keptEvacuation struct {
	key   string
	until time.Duration
	// learned is set if a peer has told it. It is not told further, so that it ends everywhere.
	learned bool
}

// KeptEvacuation is an evacuation that a router tells others which have read a restored store without its key.
type KeptEvacuation struct {
	Zone string
	// Rest is the time for which it stays in force.
	Rest time.Duration
}

// Evacuated returns the zones that the operator evacuates.
func (d *Directory) Evacuated() map[string]bool {
	zones := maps.Clone(d.evacuated)
	for zone := range d.kept {
		zones[zone] = true
	}
	return zones
}

// applyEvacuation puts an order into effect. The key alone counts, so an unreadable value is only reported.
func (d *Directory) applyEvacuation(now time.Duration, event mirror.Event, zone string, invalid error, restored bool) []Change {
	var changes []Change
	add := func(kind string, err error) {
		changes = append(changes, Change{Kind: kind, Key: event.Key, Revision: event.Revision, Err: err})
	}
	switch known := d.Evacuated()[zone]; {
	case event.Removed && !d.evacuated[zone]:
	case event.Removed && restored:
		delete(d.evacuated, zone)
		d.kept[zone] = keptEvacuation{key: event.Key, until: now + KeptEvacuationTime}
		add(EvacuationRetained, nil)
	case event.Removed:
		delete(d.evacuated, zone)
		delete(d.kept, zone)
		add(EvacuationEnded, nil)
	case zone == "":
		add(EvacuationInvalid, invalid)
	default:
		d.evacuated[zone] = true
		delete(d.kept, zone)
		if !known {
			add(EvacuationBegun, nil)
		}
		if invalid == nil && d.mirrors[Targets].Initialized() && !d.hasTargetIn(zone) {
			invalid = errUnknownZone
		}
		if invalid != nil {
			add(EvacuationInvalid, invalid)
		}
	}
	return changes
}

func (d *Directory) hasTargetIn(zone string) bool {
	for _, target := range d.Targets() {
		if target.Zone == zone {
			return true
		}
	}
	return false
}

// keepEvacuations prolongs what is kept when the store is restored again.
func (d *Directory) keepEvacuations(now time.Duration) {
	for zone, entry := range d.kept {
		entry.until = now + KeptEvacuationTime
		d.kept[zone] = entry
	}
}

// KeptEvacuations returns the evacuations of this router that a restored store lacks.
func (d *Directory) KeptEvacuations(now time.Duration) []KeptEvacuation {
	var list []KeptEvacuation
	for zone, entry := range d.kept {
		if rest := entry.until - now; rest > 0 && !entry.learned {
			list = append(list, KeptEvacuation{Zone: zone, Rest: rest})
		}
	}
	return list
}

// LearnEvacuation records an evacuation that a peer has kept, for at most KeptEvacuationTime.
func (d *Directory) LearnEvacuation(now time.Duration, kept KeptEvacuation) []Change {
	entry, known := d.kept[kept.Zone]
	if d.evacuated[kept.Zone] || kept.Zone == "" || kept.Rest <= 0 || !known && len(d.kept) >= maxKept {
		return nil
	}
	until := now + min(kept.Rest, KeptEvacuationTime)
	if known {
		entry.until = max(entry.until, until)
		d.kept[kept.Zone] = entry
		return nil
	}
	d.kept[kept.Zone] = keptEvacuation{key: kept.Zone, until: until, learned: true}
	return []Change{{Kind: EvacuationBegun, Key: kept.Zone}}
}

// ExpireEvacuations ends the evacuations that were kept for long enough.
func (d *Directory) ExpireEvacuations(now time.Duration) []Change {
	var changes []Change
	for zone, entry := range d.kept {
		if now >= entry.until {
			delete(d.kept, zone)
			changes = append(changes, Change{Kind: EvacuationEnded, Key: entry.key})
		}
	}
	return changes
}
