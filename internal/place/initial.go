package place

import "time"

const (
	// initialLifetime is how long the placements made before this process started are used. By then most prompts were
	// requested again or evicted.
	initialLifetime = 60 * time.Second
	// maxInitial is their maximum number, at about 60 bytes each: 140 engines keep about 50 long parts each.
	maxInitial = 16384
	// MinInitialTokens is the minimum size of a part that is sent to all routers: its prefill takes 16 ms or more.
	// Most cached parts are shorter and belong to one request.
	MinInitialTokens = 800
)

// initialCaches holds the prompts that targets had cached when this process started.
type initialCaches struct {
	targets map[uint64]uint64
	at      time.Duration
}

// AddInitialPlacements records placements made before this process started.
func (p *LoadTracker) AddInitialPlacements(now time.Duration, placements []Placement) {
	if p.initial.targets == nil {
		p.initial.targets = make(map[uint64]uint64, len(placements))
	}
	p.initial.at = now
	for _, placement := range placements {
		if len(p.initial.targets) >= maxInitial {
			return
		}
		p.initial.targets[placement.Key] = placement.Target
	}
}

// SetCachesKnown records that all available placements from before this process started have been added.
func (p *LoadTracker) SetCachesKnown() { p.cachesKnown = true }

// KnownPlacements returns all known placements, for a process that has just started.
func (p *LoadTracker) KnownPlacements(now time.Duration) []Placement {
	var list []Placement
	for key, holdings := range p.caches.prompts {
		for _, entry := range holdings {
			if now-entry.at < cacheEntryLifetime {
				list = append(list, Placement{Key: key, Target: entry.target})
			}
		}
	}
	if p.initial.holds(now) {
		for key, target := range p.initial.targets {
			if p.caches.prompts[key] == nil {
				list = append(list, Placement{Key: key, Target: target})
			}
		}
	}
	return list
}

// expire drops the placements once they are too old.
func (i *initialCaches) expire(now time.Duration) {
	if !i.holds(now) {
		i.targets = nil
	}
}

func (i *initialCaches) holds(now time.Duration) bool {
	return i.targets != nil && now-i.at < initialLifetime
}
