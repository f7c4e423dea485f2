package place

import "time"

const (
	// initialLifetime is how long the prompts that targets had before this process started are remembered. By then most
	// were asked for again, or have yielded to others.
	initialLifetime = 60 * time.Second
	// maxInitial bounds them, at some 60 bytes each: 140 engines keep some 50 long parts each.
	maxInitial = 16384
	// MinInheritedTokens is the size from which parts are worth telling to all routers: an engine reads them in 16 ms or
	// more. Most of what engines keep are shorter parts that belong to one request.
	MinInheritedTokens = 800
)

// initialCaches are prompts that targets had in their caches when this process started.
type initialCaches struct {
	targets map[uint64]uint64
	at      time.Duration
}

// Inherit records prompts that targets have got before this process started.
func (p *Picture) Inherit(now time.Duration, placements []Placement) {
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

// CachesKnown records that nothing more is to be learned of prompts that were placed before this process started.
func (p *Picture) CachesKnown() { p.cachesKnown = true }

// Known returns all that is known of prompts in caches, for a process that has just started.
func (p *Picture) Known(now time.Duration) []Placement {
	var list []Placement
	for key, holdings := range p.caches.prompts {
		for _, held := range holdings {
			if now-held.at < cacheEntryLifetime {
				list = append(list, Placement{Key: key, Target: held.target})
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

// expire forgets what is too old to be used.
func (i *initialCaches) expire(now time.Duration) {
	if !i.holds(now) {
		i.targets = nil
	}
}

func (i *initialCaches) holds(now time.Duration) bool {
	return i.targets != nil && now-i.at < initialLifetime
}
