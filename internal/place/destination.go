package place

import (
	"math"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// delayingPrefill is the pending prefill from which a target's events are late: the time in which an engine reads the
// prompts, 30 ms or more, is spent between the tokens of all its requests.
const delayingPrefill = 1

// ChooseDestination returns the target to which a run moves from another one. It is the least loaded of the healthy
// ones whose load stays within the mean plus longSlack, so that moved runs do not crowd a target. Targets in the
// local zone are preferred, and those in the zone of the source, since a copy between zones takes twice as long. It
// returns false if no target has room.
func (p *LoadTracker) ChooseDestination(now time.Duration, source routes.Target, zone string, exclude []string) (Choice, bool) {
	svc := p.services[source.Service]
	if svc == nil {
		return Choice{}, false
	}
	open := p.candidates(now, svc, Destination, append(slices.Clone(exclude), source.ID)).open
	open = slices.DeleteFunc(open, func(candidate *targetState) bool { return candidate.target.WarmupRemaining > 0 })
	if len(open) == 0 {
		return Choice{}, false
	}
	loads, mean := loadsOf(now, open)
	best, bestCost := -1, math.Inf(1)
	for i, candidate := range open {
		if loads[i].total()+1 > min(mean.Requests+longSlack, candidate.slots()) {
			continue
		}
		cost := loads[i].total()/candidate.slots() + tieBreakJitter*p.rng.Float64()
		if candidate.target.Zone != zone {
			cost += remoteZoneCost
		}
		if candidate.target.Zone != source.Zone {
			cost += remoteZoneCost
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Target: open[best].target, Load: loads[best], LoadAge: open[best].loadAge(now), Mean: mean.Requests}, true
}

// Prefilling reports whether the target is known to read prompts that delay the events of its other requests, so that
// their silence is no sign of a lost packet.
func (p *LoadTracker) Prefilling(now time.Duration, id string) bool {
	state := p.byID[id]
	return state != nil && state.load(now).Prefill >= delayingPrefill
}
