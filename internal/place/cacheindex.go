package place

import (
	"slices"
	"time"
)

// Limits of what is remembered of caches.
const (
	// maxPrompts bounds the prompts that are remembered, at some 100 bytes each.
	maxPrompts = 16384
	// maxTargetsPerPrompt bounds the targets that are remembered for one prompt; a popular one needs a few.
	maxTargetsPerPrompt = 4
	// cacheEntryLifetime is how long a target is assumed to keep a prompt that nobody asked for.
	cacheEntryLifetime = 120 * time.Second
	// maxPending bounds the placements that wait to be told to other processes: some seconds of requests.
	maxPending = 256
	// noticeWeight is the weight from which others are told of a prompt at once: an engine reads it for 40 ms or more, and
	// others would place their prompts there until the next digest.
	noticeWeight = 1.0
)

// Notice says that a target reads a prompt.
type Notice struct {
	Placement
	// Head is the key of the prompt's head; 0 for none.
	Head uint64
	// Prefill is the weight of the prompt until it is read.
	Prefill float64
}

// Placement says that a target has got a prompt, by the hashes of both.
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

// cacheIndex remembers which targets have which prompts in their caches.
type cacheIndex struct {
	prompts map[uint64][]cacheEntry
	// ownPending are placements of this process that others were not told yet, relays those that it has heard from the process
	// that placed them.
	ownPending   []Placement
	relayPending []Placement
	// notices are prompts that others have to be told of at once.
	notices []Notice
}

func newCacheIndex() *cacheIndex { return &cacheIndex{prompts: make(map[uint64][]cacheEntry)} }

// add records a placement and reports whether it was unknown.
func (h *cacheIndex) add(now time.Duration, placement Placement) bool {
	list := h.prompts[placement.Key]
	if i := slices.IndexFunc(list, func(held cacheEntry) bool { return held.target == placement.Target }); i >= 0 {
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

// trim forgets prompts whose holdings are over, or all of them when that is not enough.
func (h *cacheIndex) trim(now time.Duration) {
	for key, list := range h.prompts {
		list = slices.DeleteFunc(list, func(held cacheEntry) bool { return now-held.at >= cacheEntryLifetime })
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

// Placements are what one process tells others of caches.
type Placements struct {
	// Own were placed by the process itself, Relayed were told to it by the processes that placed them.
	Own     []Placement
	Relayed []Placement
}

// HoldersFromPeer records what another process has told. Its own placements are passed on once, since a process tells
// only some of the others; relayed ones are not, which bounds the traffic.
func (p *Picture) HoldersFromPeer(now time.Duration, told Placements) {
	for _, placement := range told.Own {
		if p.caches.add(now, placement) && len(p.caches.relayPending) < maxPending {
			p.caches.relayPending = append(p.caches.relayPending, placement)
		}
	}
	for _, placement := range told.Relayed {
		p.caches.add(now, placement)
	}
}

// TakePlacements returns placements that other processes were not told yet, up to a number of each kind.
func (p *Picture) TakePlacements(most int) Placements {
	return Placements{Own: take(&p.caches.ownPending, most), Relayed: take(&p.caches.relayPending, most)}
}

// take removes up to a number of entries from the begin of a list and returns them.
func take[T any](list *[]T, most int) []T {
	count := min(most, len(*list))
	taken := slices.Clone((*list)[:count])
	*list = slices.Delete(*list, 0, count)
	return taken
}

// recordPlacement records the placement of a request of this process.
func (p *Picture) recordPlacement(now time.Duration, held *targetState, prompt Prompt, prefill float64) {
	placement := Placement{Key: prompt.Key, Target: held.hash}
	fresh := p.caches.add(now, placement)
	p.heads.add(now, prompt.Head.Key, held.hash)
	switch {
	case prefill >= noticeWeight && len(p.caches.notices) < maxPending:
		p.caches.notices = append(p.caches.notices, Notice{Placement: placement, Head: prompt.Head.Key, Prefill: prefill})
	case fresh && len(p.caches.ownPending) < maxPending:
		p.caches.ownPending = append(p.caches.ownPending, placement)
	}
}

// HasNotices reports whether others have to be told of a prompt at once.
func (p *Picture) HasNotices() bool { return len(p.caches.notices) > 0 }

// TakeNotices returns notices that other processes were not sent yet, up to a number.
func (p *Picture) TakeNotices(most int) []Notice { return take(&p.caches.notices, most) }

// NoticesFromPeer records prompts that another process has placed since it last told its loads.
func (p *Picture) NoticesFromPeer(peer string, now time.Duration, notices []Notice) {
	for _, notice := range notices {
		p.caches.add(now, notice.Placement)
		p.heads.add(now, notice.Head, notice.Target)
		held := p.byHash[notice.Target]
		if held == nil {
			continue
		}
		known := held.peers[peer]
		if now-known.noticedAt >= peerPrefillLifetime {
			known.noticed = 0
		}
		known.noticed += notice.Prefill
		known.noticedAt = now
		held.peers[peer] = known
	}
}

// targetsWith returns the targets that have the prompt, as far as is known.
func (p *Picture) targetsWith(now time.Duration, key uint64) []*targetState {
	var list []*targetState
	for _, held := range p.caches.prompts[key] {
		target := p.byHash[held.target]
		if target == nil || target.withdrawn || now-held.at >= cacheEntryLifetime {
			continue
		}
		// A new instance at the address has nothing of the one before.
		if held.at < target.listed {
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
