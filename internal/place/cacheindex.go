package place

import (
	"slices"
	"time"
)

// Limits of the cache index.
const (
	// maxPrompts is the maximum number of indexed prompts, at about 100 bytes each.
	maxPrompts = 16384
	// maxTargetsPerPrompt is the maximum number of targets indexed for one prompt; a popular prompt needs a few.
	maxTargetsPerPrompt = 4
	// cacheEntryLifetime is how long a target is assumed to keep a prompt that is not requested.
	cacheEntryLifetime = 120 * time.Second
	// maxPending is the maximum number of placements queued for other processes: a few seconds of requests.
	maxPending = 256
	// noticeWeight is the prefill weight from which a prompt is announced immediately: its prefill takes 40 ms or more,
	// during which peers would place their prompts at the same engine until the next digest.
	noticeWeight = 1.0
)

// Notice announces that a target is prefilling a prompt.
type Notice struct {
	Placement
	// Head is the key of the prompt's head; 0 for none.
	Head uint64
	// Prefill is the weight of the prompt until it is prefilled.
	Prefill float64
}

// Placement records that a target received a prompt, by the hashes of both.
type Placement struct {
	Key    uint64
	Target uint64
}

// PlacementsAt returns the placements of several prompts at one target.
func PlacementsAt(target uint64, prompts []uint64) []Placement {
	list := make([]Placement, len(prompts))
	for i, key := range prompts {
		list[i] = Placement{Key: key, Target: target}
	}
	return list
}

type cacheEntry struct {
	target uint64
	at     time.Duration
}

// cacheIndex records which targets have which prompts in their caches.
type cacheIndex struct {
	prompts map[uint64][]cacheEntry
	// ownPending are placements of this process that are not sent to peers yet; relayPending are those received from
	// the process that made them, and not forwarded yet.
	ownPending   []Placement
	relayPending []Placement
	// notices are announcements to send to peers immediately.
	notices []Notice
}

func newCacheIndex() *cacheIndex { return &cacheIndex{prompts: make(map[uint64][]cacheEntry)} }

// add records a placement and reports whether it is new.
func (h *cacheIndex) add(now time.Duration, placement Placement) bool {
	list := h.prompts[placement.Key]
	if i := slices.IndexFunc(list, func(entry cacheEntry) bool { return entry.target == placement.Target }); i >= 0 {
		list[i].at = now
		return false
	}
	if len(list) >= maxTargetsPerPrompt {
		oldest := 0
		for i := range list {
			if list[i].at < list[oldest].at {
				oldest = i
			}
		}
		list = slices.Delete(list, oldest, oldest+1)
	}
	if len(h.prompts) >= maxPrompts {
		h.trim(now)
	}
	h.prompts[placement.Key] = append(list, cacheEntry{target: placement.Target, at: now})
	return true
}

// trim removes prompts whose entries have all expired, and clears the index if that does not free any room.
func (h *cacheIndex) trim(now time.Duration) {
	for key, list := range h.prompts {
		list = slices.DeleteFunc(list, func(entry cacheEntry) bool { return now-entry.at >= cacheEntryLifetime })
		if len(list) == 0 {
			delete(h.prompts, key)
		} else {
			h.prompts[key] = list
		}
	}
	if len(h.prompts) >= maxPrompts {
		clear(h.prompts)
	}
}

// Placements are the cache placements that one process sends to its peers.
type Placements struct {
	// Own were made by the sender itself, Relayed were received from the processes that made them.
	Own     []Placement
	Relayed []Placement
}

// PlacementsFromPeer records placements received from another process. The sender's own placements are forwarded once,
// since a process sends to only some of its peers; relayed ones are not forwarded, which bounds the traffic.
func (p *LoadTracker) PlacementsFromPeer(now time.Duration, received Placements) {
	for _, placement := range received.Own {
		if p.caches.add(now, placement) && len(p.caches.relayPending) < maxPending {
			p.caches.relayPending = append(p.caches.relayPending, placement)
		}
	}
	for _, placement := range received.Relayed {
		p.caches.add(now, placement)
	}
}

// TakePlacements removes and returns up to limit pending placements of each kind.
func (p *LoadTracker) TakePlacements(limit int) Placements {
	return Placements{Own: take(&p.caches.ownPending, limit), Relayed: take(&p.caches.relayPending, limit)}
}

// take removes up to limit entries from the front of a list and returns them.
func take[T any](list *[]T, limit int) []T {
	count := min(limit, len(*list))
	taken := slices.Clone((*list)[:count])
	*list = slices.Delete(*list, 0, count)
	return taken
}

// recordPlacement records the placement of a request of this process.
func (p *LoadTracker) recordPlacement(now time.Duration, state *targetState, prompt Prompt, prefill float64) {
	placement := Placement{Key: prompt.Key, Target: state.hash}
	fresh := p.caches.add(now, placement)
	p.heads.add(now, prompt.Head.Key, state.hash)
	switch {
	case prefill >= noticeWeight && len(p.caches.notices) < maxPending:
		p.caches.notices = append(p.caches.notices, Notice{Placement: placement, Head: prompt.Head.Key, Prefill: prefill})
	case fresh && len(p.caches.ownPending) < maxPending:
		p.caches.ownPending = append(p.caches.ownPending, placement)
	}
}

// HasNotices reports whether there are pending notices.
func (p *LoadTracker) HasNotices() bool { return len(p.caches.notices) > 0 }

// TakeNotices removes and returns up to limit pending notices.
func (p *LoadTracker) TakeNotices(limit int) []Notice { return take(&p.caches.notices, limit) }

// NoticesFromPeer records prompts that another process has placed since its last load report.
func (p *LoadTracker) NoticesFromPeer(peer string, now time.Duration, notices []Notice) {
	for _, notice := range notices {
		p.caches.add(now, notice.Placement)
		p.heads.add(now, notice.Head, notice.Target)
		state := p.byHash[notice.Target]
		if state == nil {
			continue
		}
		known := state.peers[peer]
		if now-known.announcedAt >= peerPrefillLifetime {
			known.announced = 0
		}
		known.announced += notice.Prefill
		known.announcedAt = now
		state.peers[peer] = known
	}
}

// targetsWith returns the targets that are known to have the prompt cached.
func (p *LoadTracker) targetsWith(now time.Duration, key uint64) []*targetState {
	var list []*targetState
	for _, entry := range p.caches.prompts[key] {
		target := p.byHash[entry.target]
		if target == nil || target.withdrawn || now-entry.at >= cacheEntryLifetime {
			continue
		}
		// A new instance at the address does not have the cache of the previous one.
		if entry.at < target.listed {
			continue
		}
		list = append(list, target)
	}
	if len(list) > 0 || !p.initial.holds(now) {
		return list
	}
	target := p.byHash[p.initial.targets[key]]
	if target != nil && !target.withdrawn && p.initial.at >= target.listed {
		list = append(list, target)
	}
	return list
}
