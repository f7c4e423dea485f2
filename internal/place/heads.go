package place

import "time"

// Limits of the head index.
const (
	// maxHeads is the maximum number of heads in the index; each takes about 50 bytes per target. Current deployments
	// have up to 160.
	maxHeads = 256
	// headReadTime is the time after which a target is assumed to have prefilled a head: an engine prefills 2,500
	// tokens in 50 ms, and may have another prompt queued before it.
	headReadTime = 150 * time.Millisecond
)

// Head is a prompt prefix that prompts of other subjects also begin with, such as common instructions. The zero value
// means that there is none.
type Head struct {
	Key    uint64
	Tokens int
}

// headIndex records which targets have cached which heads, and since when.
type headIndex map[uint64]map[uint64]time.Duration

// add records that a target receives a prompt with the head.
func (h headIndex) add(now time.Duration, key, target uint64) {
	if key == 0 {
		return
	}
	byTarget := h[key]
	if byTarget == nil {
		if len(h) >= maxHeads {
			clear(h)
		}
		byTarget = make(map[uint64]time.Duration)
		h[key] = byTarget
	}
	if _, known := byTarget[target]; !known {
		byTarget[target] = now
	}
}

// forget removes a target from all heads.
func (h headIndex) forget(target uint64) {
	for _, byTarget := range h {
		delete(byTarget, target)
	}
}

// has reports whether the target is known to have the head in its cache.
func (h headIndex) has(now time.Duration, key uint64, target *targetState) bool {
	since, known := h[key][target.hash]
	return known && since >= target.listed && now-since < cacheEntryLifetime
}

// headSource returns the address of a target from which another one can copy the head of a prompt, or an empty string.
// It picks at random among the targets that are known to have prefilled the head, preferably of the same zone: copies
// from one target are serialized, and copies between zones take twice as long.
func (p *LoadTracker) headSource(sources *selection, chosen *targetState, head Head) string {
	now := sources.now
	if head.Tokens < sourceTokens {
		return ""
	}
	var near, far []*targetState
	for _, state := range sources.targets {
		if state == chosen || !p.heads.has(now, head.Key, state) || !sources.allows(state) {
			continue
		}
		switch {
		case now-p.heads[head.Key][state.hash] < headReadTime:
		case state.target.Zone == chosen.target.Zone:
			near = append(near, state)
		default:
			far = append(far, state)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[p.rng.IntN(len(near))].target.Address
}
