package crashguard

import "time"

// Started records that a request has started at a target.
func (g *Guard) Started(digest Digest, target string) {
	running := g.running[target]
	if running == nil {
		running = make(map[Digest]int)
		g.running[target] = running
	}
	running[digest]++
}

// Ended records that a request no longer runs at a target. If the request completed, call Completed as well.
func (g *Guard) Ended(digest Digest, target string) {
	running := g.running[target]
	switch {
	case running[digest] > 1:
		running[digest]--
	case len(running) > 1:
		delete(running, digest)
	case running[digest] == 1:
		delete(g.running, target)
	}
}

// MayRun reports whether a request with the digest may start at the target now. A suspect may start only at a target
// where no other suspect runs, and not while another copy of it runs at this gate: two copies could crash two more
// targets.
func (g *Guard) MayRun(now time.Duration, digest Digest, target string) bool {
	switch g.Verdict(now, digest) {
	case Refused:
		return false
	case Clean:
		return true
	}
	return !g.isRunning(digest) && !g.hasRunningSuspect(now, target)
}

// ChooseTarget returns the candidate target that runs the fewest other requests, to limit how many a suspect puts at
// risk, and false if it may run at none of them. Ties go to the earlier candidate.
func (g *Guard) ChooseTarget(now time.Duration, digest Digest, candidates []string) (string, bool) {
	best, fewest, found := "", 0, false
	for _, target := range candidates {
		if !g.MayRun(now, digest, target) {
			continue
		}
		count := g.runningCount(target)
		if !found || count < fewest {
			best, fewest, found = target, count, true
		}
	}
	return best, found
}

// isRunning reports whether a request with the digest runs at any target of this gate.
func (g *Guard) isRunning(digest Digest) bool {
	for _, running := range g.running {
		if running[digest] > 0 {
			return true
		}
	}
	return false
}

func (g *Guard) hasRunningSuspect(now time.Duration, target string) bool {
	for digest := range g.running[target] {
		if g.crashCount(now, digest) > 0 {
			return true
		}
	}
	return false
}

func (g *Guard) runningCount(target string) int {
	count := 0
	for _, copies := range g.running[target] {
		count += copies
	}
	return count
}
