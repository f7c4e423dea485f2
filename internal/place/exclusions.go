package place

import (
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Purpose is what a target is chosen or asked for. It determines which exclusions apply.
type Purpose int

// Purposes.
const (
	// FirstAttempt is the first choice of a target for a request.
	FirstAttempt Purpose = iota
	// Retry is the choice after an attempt that has failed or was rejected.
	Retry
	// Destination is the choice of a target to which a run moves.
	Destination
	// Continuation is a request that continues a moved run at a target that was chosen earlier.
	Continuation
	// CopySource is the choice of a target from which another one copies a part of a prompt.
	CopySource
	// MoveSource is a call that copies or stops a run so that it can move to another target.
	MoveSource
	// CacheListing is a call that lists the cached prompts of a target.
	CacheListing
	// BackupHolder is the choice of a target that keeps a copy of a run in progress.
	BackupHolder
	purposeCount
)

// Exclusion is a reason for which a target may not be chosen.
type Exclusion int

// Exclusions. If several apply to a target, the first one counts. Those without fallback precede those with fallback, so
// that a target with one of each is never chosen.
const (
	// Evacuated targets are in a zone that the operator evacuates.
	Evacuated Exclusion = iota
	// Tried targets were tried before by the same request.
	Tried
	// Leaving targets leave, by their entry or by their own statement.
	Leaving
	// Limited targets have a rate limit of which this process may use no more at present.
	Limited
	// Cold targets are warming up, and this process may use no more of the rate that they tolerate at present. For
	// destinations of moves and holders of copies every target counts that is warming up under such a limit.
	Cold
	// Paused targets have asked this process for a pause.
	Paused
	// Withdrawn targets are no longer listed.
	Withdrawn
	// Blocked targets could not be reached, or have lost a connection, until a moment ago.
	Blocked
	// Failing targets fail more often than the others of their service.
	Failing
	exclusionCount
)

// String returns the name used in counters and logs.
func (e Exclusion) String() string { return exclusions[e].name }

// check is how an exclusion applies to a purpose.
type check struct {
	kind checkKind
	// why states why the exclusion does not apply.
	why string
}

type checkKind int

const (
	// unstated is the zero value, which a test rejects.
	unstated checkKind = iota
	excludes
	excludesUnlessNone
	excludesUnlessNoneFailing
	ignores
)

var (
	// never targets are not chosen in any case.
	never = check{kind: excludes}
	// fallback targets are chosen if no others remain.
	fallback = check{kind: excludesUnlessNone}
	// lastResort targets are chosen if no others remain, not even those with fallback.
	lastResort = check{kind: excludesUnlessNoneFailing}
)

// ignored returns the check of an exclusion that does not apply.
func ignored(why string) check { return check{kind: ignores, why: why} }

// Reasons why an exclusion is not checked.
const (
	notChecked  = "not checked yet"
	noRequest   = "the call is not a request"
	noAttempts  = "does not belong to the attempts of a request"
	chosenThere = "the run's memory is there already, and the run would be lost"
	serveCopies = "targets that leave still serve copies"
	runningSelf = "the run is at the target"
)

// exclusions is the table of exclusions and purposes. A new exclusion is a constant above and an entry here.
var exclusions = [exclusionCount]struct {
	name string
	// applies reports whether the exclusion applies to a target. It must not fail, whatever the target's state, since it
	// is also asked outside of requests.
	applies func(s *selection, target *targetState) bool
	checks  [purposeCount]check
}{
	Evacuated: {"evacuated", (*selection).isEvacuated, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: never, CopySource: never, MoveSource: never, CacheListing: never,
	}},
	Tried: {"tried", (*selection).isTried, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: ignored(noAttempts), MoveSource: ignored(runningSelf), CacheListing: ignored(noAttempts),
	}},
	Leaving: {"leaving", (*selection).isLeaving, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: ignored(notChecked), CopySource: ignored(serveCopies), MoveSource: ignored(runningSelf), CacheListing: ignored(notChecked),
	}},
	Limited: {"limited", (*selection).isLimited, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: ignored(noRequest), MoveSource: ignored(noRequest), CacheListing: ignored(noRequest),
	}},
	Cold: {"cold", (*selection).isCold, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: ignored(noRequest), MoveSource: ignored(noRequest), CacheListing: ignored(noRequest),
	}},
	Paused: {"paused", (*selection).isPaused, [purposeCount]check{
		FirstAttempt: never, Retry: never, Destination: never, BackupHolder: never,
		Continuation: never, CopySource: ignored(notChecked), MoveSource: never, CacheListing: never,
	}},
	Withdrawn: {"withdrawn", (*selection).isWithdrawn, [purposeCount]check{
		FirstAttempt: lastResort, Retry: lastResort, Destination: never, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: never, MoveSource: ignored(runningSelf), CacheListing: ignored(notChecked),
	}},
	Blocked: {"blocked", (*selection).isBlocked, [purposeCount]check{
		FirstAttempt: lastResort, Retry: lastResort, Destination: never, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: never, MoveSource: ignored(runningSelf), CacheListing: ignored(notChecked),
	}},
	Failing: {"failing", (*selection).isFailing, [purposeCount]check{
		FirstAttempt: fallback, Retry: fallback, Destination: fallback, BackupHolder: never,
		Continuation: ignored(chosenThere), CopySource: ignored(notChecked), MoveSource: ignored(runningSelf), CacheListing: ignored(notChecked),
	}},
}

// selection is one choice among the targets of a service.
type selection struct {
	tracker *LoadTracker
	now     time.Duration
	purpose Purpose
	// tried lists the IDs of targets that were already tried.
	tried []string
	// targets are the targets of the service, with which failure rates are compared.
	targets []*targetState
	// failures is the sum of the targets' failure rates, if summed is set.
	failures float64
	summed   bool
	// admission is that of the target admitted, which several exclusions ask for.
	admission backpressure.Admission
	admitted  *targetState
}

// excluded returns the first exclusion that applies to a target, and how; the kind is ignores if there is none.
func (s *selection) excluded(target *targetState) (Exclusion, checkKind) {
	for i := range exclusions {
		if kind := exclusions[i].checks[s.purpose].kind; kind != ignores && exclusions[i].applies(s, target) {
			return Exclusion(i), kind
		}
	}
	return exclusionCount, ignores
}

// Allowed reports whether no exclusion for the purpose applies to the target, which need not be listed. It changes no state.
func (p *LoadTracker) Allowed(now time.Duration, target routes.Target, purpose Purpose) bool {
	_, excluded := p.Excluded(now, target, purpose)
	return !excluded
}

// Excluded returns the first exclusion for the purpose that applies to the target, or false if there is none.
func (p *LoadTracker) Excluded(now time.Duration, target routes.Target, purpose Purpose) (Exclusion, bool) {
	state := p.byID[target.ID]
	if instance := instanceKey(target); state == nil || state.instance != instance {
		state = &targetState{target: target, instance: instance}
	}
	return p.excluded(now, state, purpose)
}

func (p *LoadTracker) allowed(now time.Duration, state *targetState, purpose Purpose) bool {
	_, excluded := p.excluded(now, state, purpose)
	return !excluded
}

func (p *LoadTracker) excluded(now time.Duration, state *targetState, purpose Purpose) (Exclusion, bool) {
	s := selection{tracker: p, now: now, purpose: purpose}
	if svc := p.services[state.target.Service]; svc != nil {
		s.targets = svc.targets
	}
	exclusion, kind := s.excluded(state)
	return exclusion, kind != ignores
}

// Continued records that a moved run is sent to a target that is allowed for a Continuation.
func (p *LoadTracker) Continued(now time.Duration, target routes.Target) {
	p.statements.Continue(now, instanceKey(target))
}

// candidateSet is the result of the filter by purpose.
type candidateSet struct {
	// open are the targets among which the cost decides.
	open []*targetState
	// limited, cold and paused targets are passed over because of what they state.
	limited, cold, paused []*targetState
	// evacuated is the number of targets in evacuated zones, untimed that of targets excluded for a time that is not known.
	evacuated, untimed int
}

// passedOver returns the targets that are passed over because of what they state.
func (c *candidateSet) passedOver() []*targetState { return slices.Concat(c.limited, c.cold, c.paused) }

// candidates returns the targets that may be chosen: those to which no exclusion applies, else those excluded with
// fallback, else those excluded as a last resort.
func (p *LoadTracker) candidates(now time.Duration, svc *service, purpose Purpose, tried []string) candidateSet {
	var set candidateSet
	var failing, last, warming []*targetState
	s := selection{tracker: p, now: now, purpose: purpose, tried: tried, targets: svc.targets}
	for _, state := range svc.targets {
		_, _, state.limited = p.statements.Limit(now, state.instance)
		state.deferred = state.limited
		if p.statements.WarmsUp(now, state.instance) {
			state.limited = true
			warming = append(warming, state)
		}
		state.sinceLimit, state.recovering = p.statements.Recovering(now, state.instance)
		exclusion, kind := s.excluded(state)
		switch {
		case kind == ignores:
			set.open = append(set.open, state)
		case exclusion == Limited:
			set.limited = append(set.limited, state)
		case exclusion == Cold:
			set.cold = append(set.cold, state)
		case exclusion == Paused:
			set.paused = append(set.paused, state)
		case exclusion == Evacuated:
			set.evacuated++
		case kind == excludesUnlessNone:
			failing = append(failing, state)
		case kind == excludesUnlessNoneFailing && !(state.withdrawn && now >= state.dropAt):
			last = append(last, state)
		default:
			set.untimed++
		}
	}
	for _, state := range warming {
		state.deferred = state.deferred || 2*len(warming) < len(svc.targets)
	}
	if len(set.open) == 0 {
		set.open = failing
	}
	if len(set.open) == 0 {
		set.open = last
	}
	return set
}

// SetEvacuated replaces the zones that the operator evacuates. Targets there get neither requests nor calls; what they
// have cached stays known.
func (p *LoadTracker) SetEvacuated(zones map[string]bool) { p.evacuated = zones }

// EvacuatedTargets returns the number of listed targets in evacuated zones.
func (p *LoadTracker) EvacuatedTargets() int {
	count := 0
	for _, state := range p.byID {
		if !state.withdrawn && p.evacuated[state.target.Zone] {
			count++
		}
	}
	return count
}

// EvacuatedServices returns, in order, the names of the services whose listed targets are all in evacuated zones.
func (p *LoadTracker) EvacuatedServices() []string {
	if len(p.evacuated) == 0 {
		return nil
	}
	var names []string
	for name, svc := range p.services {
		listed, open := 0, 0
		for _, state := range svc.targets {
			if !state.withdrawn {
				listed++
				open += boolToInt(!p.evacuated[state.target.Zone])
			}
		}
		if listed > 0 && open == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (s *selection) isEvacuated(target *targetState) bool {
	return len(s.tracker.evacuated) > 0 && s.tracker.evacuated[target.target.Zone]
}

func (s *selection) isTried(target *targetState) bool {
	return slices.Contains(s.tried, target.target.ID)
}

func (s *selection) isLeaving(target *targetState) bool {
	return target.target.Draining || s.admissionOf(target) == backpressure.Leaving
}

func (s *selection) isLimited(target *targetState) bool {
	return s.admissionOf(target) == backpressure.Limited
}

func (s *selection) isCold(target *targetState) bool {
	if s.purpose == Destination || s.purpose == BackupHolder {
		return s.tracker.statements.WarmsUp(s.now, target.instance)
	}
	return s.admissionOf(target) == backpressure.Cold
}

// isPaused is false for a Continuation that the pause allows.
func (s *selection) isPaused(target *targetState) bool {
	if s.purpose == Continuation {
		return !s.tracker.statements.MayContinue(s.now, target.instance)
	}
	return s.admissionOf(target) == backpressure.Paused
}

func (s *selection) isWithdrawn(target *targetState) bool { return target.withdrawn }

func (s *selection) isBlocked(target *targetState) bool { return s.now < target.blocked }

// isFailing reports whether the target's failure rate exceeds that of the others.
func (s *selection) isFailing(target *targetState) bool {
	rate := target.failuresNow(s.now)
	if rate <= failureLimit {
		return false
	}
	if !s.summed {
		for _, state := range s.targets {
			s.failures += state.failuresNow(s.now)
		}
		s.summed = true
	}
	others := (s.failures - rate) / float64(max(len(s.targets)-1, 1))
	return rate > failureRatio*others
}

func (s *selection) admissionOf(target *targetState) backpressure.Admission {
	if s.admitted != target {
		s.admission, s.admitted = s.tracker.statements.Admission(s.now, target.instance), target
	}
	return s.admission
}
