package replay

import (
	"slices"
	"time"
)

// period is a time in which something holds; an end of 0 means that it does not end.
type period struct {
	from, to time.Duration
}

func (p period) overlaps(from, to time.Duration) bool {
	return p.from < to && (p.to == 0 || from < p.to)
}

// timeline says when targets are away, as the faults of a trace have it.
type timeline struct {
	away map[string][]period
}

// Faults after which a target takes no work for a time, and those after which it has also lost its cache.
var (
	closingFaults  = []Fault{TargetLeave, TargetCrash, TargetFlap}
	emptyingFaults = []Fault{TargetLeave, TargetCrash}
)

// newTimeline returns when targets are away because of the faults, or have not joined yet.
func newTimeline(t *Trace, faults []Fault) *timeline {
	line := &timeline{away: make(map[string][]period)}
	joins := map[string]time.Duration{}
	for i := range t.Events {
		event := &t.Events[i]
		switch {
		case event.Fault == TargetJoin:
			joins[event.Target] = event.At()
		case slices.Contains(faults, event.Fault):
			line.add(event.Target, event.At(), event.For())
		}
	}
	for _, pool := range t.Deployment.Pools {
		for _, target := range pool.Targets {
			if target.Absent {
				line.away[target.Name] = append(line.away[target.Name], period{0, joins[target.Name]})
			}
		}
	}
	return line
}

func (l *timeline) add(target string, at, lasts time.Duration) {
	away := period{from: at}
	if lasts > 0 {
		away.to = at + lasts
	}
	l.away[target] = append(l.away[target], away)
}

// live reports whether a target is there during all of a time.
func (l *timeline) live(target string, from, to time.Duration) bool {
	return !slices.ContainsFunc(l.away[target], func(p period) bool { return p.overlaps(from, to) })
}

// liveTargets returns the number of the pool's targets that are there at a time.
func (l *timeline) liveTargets(pool *Pool, at time.Duration) int {
	live := 0
	for _, target := range pool.Targets {
		if l.live(target.Name, at, at+1) {
			live++
		}
	}
	return live
}
