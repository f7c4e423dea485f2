package place

import "time"

// Limits of what is remembered of common heads.
const (
	// maxHeads bounds the heads that are remembered; each takes some 50 bytes a target. The deployments of today have up
	// to 160.
	maxHeads = 256
	// headReadTime is the time after which a target has read a head that it got: an engine reads one of 2,500 tokens in 50 ms,
	// and may have another prompt before it.
	headReadTime = 150 * time.Millisecond
)

// Head is the part of a prompt that prompts of other subjects begin with as well, such as common instructions. Its zero
// value means that there is none.
type Head struct {
	Key    uint64
	Tokens int
}

// headIndex remembers which targets have read which headIndex, and since when.
type headIndex map[uint64]map[uint64]time.Duration

// add records that a target gets a prompt with the head.
func (h headIndex) add(now time.Duration, key, target uint64) {
	if key == 0 {
		return
	}
	held := h[key]
	if held == nil {
		if len(h) >= maxHeads {
			clear(h)
		}
		held = make(map[uint64]time.Duration)
		h[key] = held
	}
	if _, known := held[target]; !known {
		held[target] = now
	}
}

// forget drops what is known of a target that is gone.
func (h headIndex) forget(target uint64) {
	for _, held := range h {
		delete(held, target)
	}
}

// has reports whether the target has the head in its cache, as far as is known.
func (h headIndex) has(now time.Duration, key uint64, target *targetState) bool {
	since, known := h[key][target.hash]
	return known && since >= target.listed && now-since < cacheEntryLifetime
}

// headSource returns the address of a target from which another one can copy the head of a prompt, drawn from those
// that are known to have read it, of the same zone where there is one: copies from one target wait for each other, and
// those between zones take twice as long. It is empty when there is none.
func (p *Picture) headSource(now time.Duration, targets []*targetState, chosen *targetState, head Head) string {
	if head.Tokens < sourceTokens {
		return ""
	}
	var near, far []*targetState
	for _, held := range targets {
		if held == chosen || held.withdrawn || now < held.blocked || !p.heads.has(now, head.Key, held) {
			continue
		}
		switch {
		case now-p.heads[head.Key][held.hash] < headReadTime:
		case held.target.Zone == chosen.target.Zone:
			near = append(near, held)
		default:
			far = append(far, held)
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
