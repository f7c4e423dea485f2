package place

import "time"

// Parameters of relative durations.
const (
	// statedDurationLifetime is the age at which a stated duration no longer counts: two intervals of digests. It changes
	// many times a second, so an older one says little about the present.
	statedDurationLifetime = 500 * time.Millisecond
	// measuredDurationLifetime is the age at which a measured duration no longer counts. A router of a large fleet gets a
	// response from each of four targets about every two seconds, so two or three responses count, and a target that
	// gets no requests because it was slow gets some again.
	measuredDurationLifetime = 5 * time.Second
	// measuredDurationWeight is the weight of one response in the moving average of measured durations: about the last
	// three count, as many as arrive within measuredDurationLifetime.
	measuredDurationWeight = 0.3
	// maxRelativeDuration bounds a relative duration, and its inverse: a false one changes the expected time of a request by
	// a factor of three at most.
	maxRelativeDuration = 3
	// maxRouteDurations is the maximum number of routes of a service whose mean duration is kept. Configurations have
	// fewer; routes that no longer exist are dropped together with the others when there are more.
	maxRouteDurations = 64
)

// relativeDuration is a relative duration of work at a target, 1 if it is as usual, and the time at which it was learned.
type relativeDuration struct {
	value float64
	at    time.Duration
}

// now returns the duration, which moves to 1 as its age grows and reaches it at the lifetime. The conversions to float64
// keep compilers from fusing operations, so that all processors get the same result.
func (d relativeDuration) now(now, lifetime time.Duration) float64 {
	age := now - d.at
	if d.value <= 0 || age >= lifetime {
		return 1
	}
	weight := 1 - float64(max(age, 0))/float64(lifetime)
	return 1 + float64((d.value-1)*weight)
}

// bounded returns a relative duration within its bounds.
func bounded(duration float64) float64 {
	return min(max(duration, 1.0/maxRelativeDuration), maxRelativeDuration)
}

// routeDuration is the mean time to a complete response, in nanoseconds, over all targets of a service.
type routeDuration struct {
	mean  float64
	count int
}

func (d *routeDuration) add(took time.Duration) {
	d.count++
	weight := max(durationWeight, 1/float64(d.count))
	d.mean += float64(weight * (float64(took) - d.mean))
}

// serviceDurations holds what is known of the durations of a service.
type serviceDurations struct {
	// stated is set once a target of the service has stated a relative duration.
	stated bool
	// routes holds the mean durations of its routes, if it is not.
	routes map[string]*routeDuration
}

// ReportDuration records the relative duration that a target has stated: 1 is usual, 0 is unknown and ignored. It returns
// true for the first one of this process. From then on relative durations weigh in the choices for requests.
func (p *LoadTracker) ReportDuration(id string, now time.Duration, duration float64) (first bool) {
	state := p.byID[id]
	if state == nil || !(duration > 0) {
		return false
	}
	first = !p.durationsStated
	p.durationsStated = true
	p.services[state.target.Service].durations.stated = true
	state.duration = relativeDuration{value: bounded(duration), at: now}
	return first
}

// MeasureDuration records how long a target took for a complete response to a plain request of a route. Targets of
// services that state no relative durations are compared by it. It has no effect unless some target has stated one.
func (p *LoadTracker) MeasureDuration(id string, now time.Duration, route string, took time.Duration) {
	state := p.byID[id]
	if state == nil || !p.durationsStated || took <= 0 {
		return
	}
	durations := &p.services[state.target.Service].durations
	if durations.stated {
		return
	}
	usual := durations.routes[route]
	if usual == nil {
		if durations.routes == nil || len(durations.routes) >= maxRouteDurations {
			durations.routes = make(map[string]*routeDuration)
		}
		usual = &routeDuration{}
		durations.routes[route] = usual
	}
	if usual.count > 0 {
		before := state.duration.now(now, measuredDurationLifetime)
		ratio := bounded(float64(took) / usual.mean)
		state.duration = relativeDuration{value: before + float64(measuredDurationWeight*(ratio-before)), at: now}
	}
	usual.add(took)
}

// relativeDurations holds the relative durations of candidates; nil if all are 1.
type relativeDurations []float64

// relativeDurations returns the relative durations of candidates at present.
func (p *LoadTracker) relativeDurations(now time.Duration, svc *service, open []*targetState) relativeDurations {
	if !p.durationsStated {
		return nil
	}
	lifetime := measuredDurationLifetime
	if svc.durations.stated {
		lifetime = statedDurationLifetime
	}
	durations := make(relativeDurations, len(open))
	for i, candidate := range open {
		durations[i] = candidate.duration.now(now, lifetime)
	}
	return durations
}

// delay returns the load, in requests, by which a candidate's load and a request that adds own to it take longer than
// usual; it is negative if they take less.
func (d relativeDurations) delay(i int, load Load, own float64) float64 {
	if d == nil {
		return 0
	}
	return float64((load.total() + own) * (d[i] - 1))
}

// choosePlain returns the index of the target for a request without a prompt. Without relative durations it is the least
// loaded one. With them it is the better of two that are drawn at random among those with a free slot whose load is within
// the limit: routers that know the same durations would all choose the same target otherwise, and the limit holds whatever
// a target states.
func (p *LoadTracker) choosePlain(now time.Duration, svc *service, open []*targetState, loads []Load, mean Load, query Query) int {
	durations := p.relativeDurations(now, svc, open)
	if durations == nil {
		return p.leastLoaded(now, open, loads, query.Zone)
	}
	// Peers' requests of the last interval are not known yet, so the limit is below that of the contract, as for prompts.
	limit := float64(mean.Requests*(1+float64(longShare*(p.multiple-1)))) + longSlack
	connections := connectionShare * float64(query.MaxConnections)
	var free []int
	for i, candidate := range open {
		reachesConnections := connections > 0 && loads[i].Requests >= connections
		if loads[i].total()+1 <= candidate.slots() && loads[i].Requests+1 <= limit && !reachesConnections {
			free = append(free, i)
		}
	}
	switch len(free) {
	case 0:
		return p.leastLoaded(now, open, loads, query.Zone)
	case 1:
		return free[0]
	}
	first, second := p.rng.IntN(len(free)), p.rng.IntN(len(free)-1)
	if second >= first {
		second++
	}
	best, other := free[first], free[second]
	if p.expectedTime(now, open[other], loads[other], durations[other], query.Zone) < p.expectedTime(now, open[best], loads[best], durations[best], query.Zone) {
		return other
	}
	return best
}

// expectedTime returns the time in which a candidate is expected to complete a plain request, in usual durations, plus
// zone and warm-up costs. It grows with the load, since a target's slots share its processors.
func (p *LoadTracker) expectedTime(now time.Duration, candidate *targetState, load Load, duration float64, zone string) float64 {
	cost := float64((1+load.total()/candidate.slots())*duration) + float64(tieBreakJitter*p.rng.Float64())
	if candidate.target.Zone != zone {
		cost += remoteZoneCost
	}
	if p.warmsUp(now, candidate) {
		cost += remoteZoneCost
	}
	return cost
}
