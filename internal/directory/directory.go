// Package directory builds from the store's content the routing table and the list of targets.
//
// It keeps a mirror of each key range, takes changes from the store and from peers alike, and never reverts to an
// older configuration. An entry that can't be decoded yields no target and does not affect the others. A target whose
// entry expires while the store is unstable is retained for a grace period, since live targets rewrite their entries
// once the store recovers; a target that was draining, or that is removed while the store is healthy, is dropped
// immediately. A store that was restored from a backup lists targets as they were then: what a target has said of itself
// since holds until it writes again, and a target that is missing is retained like one whose entry has expired.
//
// The remaining warm-up time that an entry states counts from the arrival of its revision, on the clock of the caller. It
// runs down whether or not the store responds.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package directory

import (
	"bytes"
	"fmt"
	"sort"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Times of the directory.
const (
	// storeUnstablePeriod is how long the store is considered unstable after a failed call: recovery may take a watch its
	// whole wait and the targets about two seconds.
	storeUnstablePeriod = 4 * time.Second
	// massExpiryGrace is how long the entry of a live target may be missing after the store was unstable.
	massExpiryGrace = 2500 * time.Millisecond
	// singleRemovalGrace is how long a target is retained if its entry alone was removed while this process could not read
	// the store: other processes may have seen it leave, so this is half of the time within which requests must stop.
	singleRemovalGrace = time.Second
	// massExpiryShare is the fraction of entries that must disappear together to count as a mass expiry.
	massExpiryShare = 0.5
	// maxDeparted bounds the targets that are remembered after they have left. It covers the releases of hundreds of
	// targets that a backup can be behind.
	maxDeparted = 512
)

// Range is one of the store's key ranges.
type Range int

// Ranges.
const (
	Config Range = iota
	Targets
	rangeCount
)

// AllRanges lists the ranges.
func AllRanges() []Range { return []Range{Config, Targets} }

// Decoder reads the store's items.
type Decoder interface {
	DecodeConfig(item mirror.Item) (*routes.Table, error)
	DecodeTarget(item mirror.Item) (routes.Target, error)
	// DecodeEvacuation returns the zone that the item evacuates, also if its value is unreadable; empty for other items.
	DecodeEvacuation(item mirror.Item) (zone string, err error)
}

// Change describes the result of one update, for logs.
type Change struct {
	// Kind is one of the kinds below.
	Kind string
	// Key names the item, Revision its revision.
	Key      string
	Revision uint64
	Err      error
}

// Kinds of changes.
const (
	ConfigApplied  = "config_taken"
	ConfigRejected = "config_rejected"
	TargetListed   = "target_listed"
	TargetDraining = "target_draining"
	TargetInvalid  = "target_invalid"
	TargetRemoved  = "target_removed"
	TargetRetained = "target_retained"
	// TargetCold is a listed target that warms up again, of a service with a limit for such targets. WarmupReplaced is a
	// later entry with another end of the warm-up.
	TargetCold     = "target_cold"
	WarmupReplaced = "warmup_replaced"
	// WarmupInvalid is an entry that is used without its remaining warm-up time, which is malformed. It comes in addition
	// to another change of the target.
	WarmupInvalid = "warmup_invalid"
	// EvacuationBegun and EvacuationEnded are changes of the operator's order to evacuate a zone.
	EvacuationBegun = "evacuation_begun"
	EvacuationEnded = "evacuation_ended"
	// EvacuationRetained is an order that a restored store lacks and that stays in force for KeptEvacuationTime.
	EvacuationRetained = "evacuation_retained"
	// EvacuationInvalid is an order with an unreadable value, which is obeyed, or one for a zone without targets.
	EvacuationInvalid = "evacuation_invalid"
	// TargetOutdated is an entry of a restored store from before what the target has said since.
	TargetOutdated = "target_outdated"
)

type retainedTarget struct {
	target routes.Target
	since  time.Duration
	// restored is set if the entry was missing in a restored store.
	restored bool
}

type departedTarget struct {
	target routes.Target
	at     time.Duration
}

// Directory is the process's view of the store.
type Directory struct {
	decoder Decoder
	mirrors [rangeCount]*mirror.Mirror
	table   *routes.Table
	// tableItem is the item from which table was decoded.
	tableItem mirror.Item
	targets   map[string]routes.Target
	retained  map[string]retainedTarget
	// departed holds the last descriptions of targets that have left.
	departed map[string]departedTarget
	// evacuated are the zones whose keys are in the store, kept those whose keys a restored store lacks.
	evacuated map[string]bool
	kept      map[string]keptEvacuation
	failedAt  time.Duration
	failed    bool
}

// New returns an empty directory.
func New(decoder Decoder) *Directory {
	directory := &Directory{
		decoder:  decoder,
		targets:  make(map[string]routes.Target),
		retained: make(map[string]retainedTarget),
		departed: make(map[string]departedTarget),

		evacuated: make(map[string]bool),
		kept:      make(map[string]keptEvacuation),
	}
	for i := range directory.mirrors {
		directory.mirrors[i] = mirror.New()
	}
	return directory
}

// Mirror returns the mirror of a key range.
func (d *Directory) Mirror(keyRange Range) *mirror.Mirror { return d.mirrors[keyRange] }

// Table returns the active configuration, or nil.
func (d *Directory) Table() *routes.Table { return d.table }

// StoreFailed records a failed call to the store.
func (d *Directory) StoreFailed(now time.Duration) { d.failedAt, d.failed = now, true }

func (d *Directory) storeUnstable(now time.Duration) bool {
	return d.failed && now-d.failedAt < storeUnstablePeriod
}

// Reset applies a snapshot of a whole range.
func (d *Directory) Reset(now time.Duration, keyRange Range, at mirror.Position, items []mirror.Item) []Change {
	local := d.mirrors[keyRange]
	restored := local.Initialized() && at.Era > local.Position().Era
	if restored && keyRange == Config {
		d.keepEvacuations(now)
	}
	return d.applyEvents(now, keyRange, local.Reset(at, items), restored)
}

// Apply applies changes to a range.
func (d *Directory) Apply(now time.Duration, keyRange Range, at mirror.Position, events []mirror.Event) []Change {
	return d.applyEvents(now, keyRange, d.mirrors[keyRange].Apply(at, events), false)
}

// applyEvents puts changes into effect. With restored set they are differences to the content of a restored store.
func (d *Directory) applyEvents(now time.Duration, keyRange Range, events []mirror.Event, restored bool) []Change {
	var changes []Change
	for _, event := range events {
		var change Change
		if keyRange == Config {
			zone, err := d.decoder.DecodeEvacuation(event.Item)
			if zone != "" || err != nil {
				changes = append(changes, d.applyEvacuation(now, event, zone, err, restored)...)
				continue
			}
			change = d.applyConfig(event)
		} else {
			change = d.applyTarget(now, event, restored)
		}
		if change.Kind != "" {
			change.Key, change.Revision = event.Key, event.Revision
			changes = append(changes, change)
		}
		if target := d.targets[event.Key]; keyRange == Targets && target.InvalidWarmup != "" && change.Kind != TargetOutdated {
			err := fmt.Errorf("remaining warm-up time: %q is malformed or out of range", target.InvalidWarmup)
			changes = append(changes, Change{Kind: WarmupInvalid, Key: event.Key, Revision: event.Revision, Err: err})
		}
	}
	return changes
}

func (d *Directory) applyConfig(event mirror.Event) Change {
	if event.Removed {
		return Change{}
	}
	table, err := d.decoder.DecodeConfig(event.Item)
	if err != nil {
		return Change{Kind: ConfigRejected, Err: err}
	}
	if table == nil || d.table != nil && table.Version <= d.table.Version {
		return Change{}
	}
	d.table, d.tableItem = table, event.Item
	return Change{Kind: ConfigApplied}
}

// ConfigVersion returns the version of the active configuration, or 0.
func (d *Directory) ConfigVersion() uint64 {
	if d.table == nil {
		return 0
	}
	return d.table.Version
}

// SupersedingConfig returns the item of the active configuration if the store, which has been restored, has an older one.
func (d *Directory) SupersedingConfig() (mirror.Item, bool) {
	stored, ok := d.mirrors[Config].Get(d.tableItem.Key)
	if d.table == nil || ok && bytes.Equal(stored.Value, d.tableItem.Value) {
		return mirror.Item{}, false
	}
	return d.tableItem, true
}

// ApplySupersedingConfig applies a peer's configuration that is newer than the one in the store.
func (d *Directory) ApplySupersedingConfig(item mirror.Item) []Change {
	change := d.applyConfig(mirror.Event{Item: item})
	if change.Kind == "" {
		return nil
	}
	change.Key, change.Revision = item.Key, item.Revision
	return []Change{change}
}

func (d *Directory) applyTarget(now time.Duration, event mirror.Event, restored bool) Change {
	existing, known := d.targets[event.Key]
	if event.Removed {
		delete(d.targets, event.Key)
		if known && !existing.Draining && (restored || d.storeUnstable(now)) {
			d.retained[event.Key] = retainedTarget{target: existing, since: now, restored: restored}
			return Change{Kind: TargetRetained}
		}
		if known {
			d.rememberDeparted(now, event.Key, existing)
		}
		return Change{Kind: TargetRemoved}
	}
	target, err := d.decoder.DecodeTarget(event.Item)
	if err == nil && restored && d.isOutdated(event.Key, &target) {
		return Change{Kind: TargetOutdated}
	}
	delete(d.retained, event.Key)
	delete(d.departed, event.Key)
	if err != nil {
		delete(d.targets, event.Key)
		return Change{Kind: TargetInvalid, Err: err}
	}
	if target.WarmupRemaining > 0 {
		// The entry may be as old as its way here, so that the warm-up ends late and never early.
		target.WarmupUntil = now + target.WarmupRemaining
	}
	d.targets[event.Key] = target
	switch {
	case target.Draining && !existing.Draining:
		return Change{Kind: TargetDraining}
	case !known || existing.StartedAt != target.StartedAt || existing.Address != target.Address:
		return Change{Kind: TargetListed}
	case !d.limitsWarmup(target.Service):
	case target.WarmupUntil > now && existing.WarmupUntil <= now:
		return Change{Kind: TargetCold}
	case target.WarmupUntil != existing.WarmupUntil && max(target.WarmupUntil, existing.WarmupUntil) > now:
		return Change{Kind: WarmupReplaced}
	}
	return Change{}
}

// limitsWarmup reports whether the requests to targets of the service are limited while they warm up.
func (d *Directory) limitsWarmup(service string) bool {
	if d.table == nil {
		return false
	}
	description := d.table.Service(service)
	return description != nil && description.Warmup.Rate > 0
}

// isOutdated reports whether the target is known to have changed or left since an entry of a restored store was written.
func (d *Directory) isOutdated(key string, entry *routes.Target) bool {
	if existing, ok := d.targets[key]; ok {
		return existing.Supersedes(entry)
	}
	if left, ok := d.departed[key]; ok {
		return left.target.StartedAt != 0 && entry.StartedAt != 0 && !entry.Supersedes(&left.target)
	}
	return false
}

func (d *Directory) rememberDeparted(now time.Duration, key string, target routes.Target) {
	d.departed[key] = departedTarget{target: target, at: now}
	if len(d.departed) <= maxDeparted {
		return
	}
	oldest := key
	for other, left := range d.departed {
		if left.at < d.departed[oldest].at {
			oldest = other
		}
	}
	delete(d.departed, oldest)
}

// Expire drops retained targets whose grace period has elapsed, and reports whether any was dropped.
func (d *Directory) Expire(now time.Duration) bool {
	massExpiry := float64(len(d.retained)) >= massExpiryShare*float64(len(d.retained)+len(d.targets))
	dropped := false
	for key, entry := range d.retained {
		expired := now-entry.since >= singleRemovalGrace
		if massExpiry || entry.restored {
			expired = now-entry.since >= massExpiryGrace && !d.failedWithinGrace(now)
		}
		if expired {
			delete(d.retained, key)
			d.rememberDeparted(now, key, entry.target)
			dropped = true
		}
	}
	return dropped
}

// failedWithinGrace reports whether the store failed so recently that expired entries can't have been rewritten yet.
func (d *Directory) failedWithinGrace(now time.Duration) bool {
	return d.failed && now-d.failedAt < massExpiryGrace
}

// Targets returns all targets in the order of their ids.
func (d *Directory) Targets() []routes.Target {
	list := make([]routes.Target, 0, len(d.targets)+len(d.retained))
	for _, target := range d.targets {
		list = append(list, target)
	}
	for _, entry := range d.retained {
		list = append(list, entry.target)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}
