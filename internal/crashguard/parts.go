package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits of a PartGuard.
const (
	// PartRefusalThreshold is the number of crashes after which a prompt part is refused.
	PartRefusalThreshold = 3
	// sameCauseWindow is the time within which crashes of several targets count once: what ends many targets at the same
	// moment is not a request.
	sameCauseWindow = 100 * time.Millisecond
	// minRestartTime is the time that a crashed target is away at least. Reports within it belong to one crash.
	minRestartTime = time.Second
	// recentAnswer is how long before a crash an answer still shows that a part is harmless. It keeps parts of many
	// requests, of which some are always waiting at a target that crashes, from being charged.
	recentAnswer = 2 * time.Second
	// maxPartCrashes, maxPartRefusals and MaxPromptParts bound what is kept and read from other routers.
	maxPartCrashes  = 512
	maxPartRefusals = 64
	MaxPromptParts  = 32
	// trialSpacing is the time between two trials of prompts. A trial that crashes its target must not take another one
	// with it.
	trialSpacing = 1500 * time.Millisecond
	// maxIntersections bounds the sets of common parts that are considered for one crash.
	maxIntersections = 128
	// maxRecentAnswers bounds the parts of one generation of recent answers.
	maxRecentAnswers = 8192
)

// Part identifies a prompt part by the hash of its ID.
type Part uint64

// PartCrash reports a target that crashed before it had answered a prompt.
type PartCrash struct {
	Target string
	// Parts are the prompt's parts that other prompts may share.
	Parts []Part
	// Age is the time since the crash.
	Age time.Duration
}

// PartRefusal states that prompts which contain all of the parts are refused.
type PartRefusal struct {
	Parts []Part
	// Age is the time since the crash that led to the refusal.
	Age    time.Duration
	Trials TrialState
}

// PartAnswer states that a target has answered a prompt with the part.
type PartAnswer struct {
	Part Part
	Age  time.Duration
}

type partCrash struct {
	target string
	parts  []Part
	at     time.Duration
}

type partRefusal struct {
	parts  []Part
	since  time.Duration
	trials trials
}

// PartGuard finds prompt parts that crash the targets that begin to answer them. Requests that share such a part have
// nothing else in common, and the other parts of their prompts are shared with harmless requests.
//
// When a target crashes, the parts of each prompt that it had not answered yet are charged, which includes those of
// harmless prompts that were waiting there. An answer clears a part of all earlier charges. What the prompts of at least
// PartRefusalThreshold crashes have in common explains these crashes. The explanations that cover the most crashes, and of
// these the ones with the most parts, are refused; crashes that they explain are no evidence against any other parts. A
// prompt that lacks a part of an explanation may run, and its answer or crash shows which part is the cause.
//
// A refused prompt is tried again from time to time, so that a wrong refusal ends, and a right one when its cause is gone.
//
// It is not safe for concurrent use.
type PartGuard struct {
	// crashes are the reports of crashes; parts that have been answered since are removed.
	crashes []partCrash
	// candidates are sets of parts that prompts of several crashes have in common.
	candidates [][]Part
	refusals   []partRefusal
	// trialAt is the start of the latest trial of any refusal, if hasTrial is set.
	trialAt  time.Duration
	hasTrial bool
	// answered is the time of the latest answer for each part with crashes or refusals.
	answered map[Part]time.Duration
	// recent are the latest answers of all parts.
	recent recentAnswers[Part]
}

// NewPartGuard returns an empty PartGuard.
func NewPartGuard() *PartGuard {
	return &PartGuard{answered: make(map[Part]time.Duration), recent: newRecentAnswers[Part]()}
}

// Refuses reports whether a prompt with the parts is refused.
func (g *PartGuard) Refuses(now time.Duration, parts []Part) bool {
	return slices.ContainsFunc(g.refusals, func(r partRefusal) bool {
		return now < r.since+Lifetime && containsAll(parts, r.parts)
	})
}

// Refusals returns the refusals in force, the newest first.
func (g *PartGuard) Refusals(now time.Duration, limit int) []PartRefusal {
	var list []PartRefusal
	for _, r := range slices.Backward(g.refusals) {
		if now < r.since+Lifetime && len(list) < limit {
			list = append(list, r.describe(now))
		}
	}
	return list
}

func (r *partRefusal) describe(now time.Duration) PartRefusal {
	return PartRefusal{Parts: slices.Clone(r.parts), Age: now - r.since, Trials: r.trials.state(now)}
}

// StartTrial reports whether a refused prompt with the parts may run now to show whether it still crashes targets, and
// counts the trial if so. The delay keeps routers from starting trials at the same moment.
func (g *PartGuard) StartTrial(now, delay time.Duration, parts []Part) bool {
	if g.hasTrial && now < g.trialAt+trialSpacing {
		return false
	}
	for _, r := range g.matching(now, parts) {
		if !r.trials.due(now-delay, r.since) {
			return false
		}
	}
	for _, r := range g.matching(now, parts) {
		r.trials.start(now)
	}
	g.trialAt, g.hasTrial = now, true
	return true
}

// noteTrial records a trial that another router has started.
func (g *PartGuard) noteTrial(t trials) {
	if t.started > 0 && (!g.hasTrial || t.startedAt > g.trialAt) {
		g.trialAt, g.hasTrial = t.startedAt, true
	}
}

// CancelTrial takes back a trial that did not reach a target.
func (g *PartGuard) CancelTrial(now time.Duration, parts []Part) {
	g.hasTrial = false
	for _, r := range g.matching(now, parts) {
		r.trials.cancel()
	}
}

// TrialFailed records that a trial has crashed its target.
func (g *PartGuard) TrialFailed(now time.Duration, parts []Part) {
	for _, r := range g.matching(now, parts) {
		r.trials.fail()
		r.since = now
	}
}

// Matching returns the refusals that apply to a prompt with the parts.
func (g *PartGuard) Matching(now time.Duration, parts []Part) []PartRefusal {
	var list []PartRefusal
	for _, r := range g.matching(now, parts) {
		list = append(list, r.describe(now))
	}
	return list
}

func (g *PartGuard) matching(now time.Duration, parts []Part) []*partRefusal {
	var list []*partRefusal
	for i := range g.refusals {
		if r := &g.refusals[i]; now < r.since+Lifetime && containsAll(parts, r.parts) {
			list = append(list, r)
		}
	}
	return list
}

// Crashed records a crash and returns the refusals that follow from it.
func (g *PartGuard) Crashed(now time.Duration, report PartCrash) []PartRefusal {
	at := now - max(report.Age, 0)
	parts := slices.Clone(report.Parts[:min(len(report.Parts), MaxPromptParts)])
	slices.Sort(parts)
	parts = slices.DeleteFunc(slices.Compact(parts), func(part Part) bool { return g.isCleared(part, at) })
	known := slices.ContainsFunc(g.crashes, func(c partCrash) bool {
		return c.sameCrash(partCrash{target: report.Target, at: at}) && slices.Equal(c.parts, parts)
	})
	if len(parts) == 0 || known || report.Age >= Lifetime {
		return nil
	}
	g.expire(now)
	if len(g.crashes) >= maxPartCrashes {
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	g.crashes = append(g.crashes, partCrash{target: report.Target, parts: parts, at: at})
	g.addCandidates(parts)
	return g.explain(now)
}

// Refused records a refusal of another router. It returns the parts of it that have been answered since, and whether the
// refusal was not known.
func (g *PartGuard) Refused(now time.Duration, refusal PartRefusal) (answers []PartAnswer, added bool) {
	since := now - max(refusal.Age, 0)
	// A refusal gets younger by the time of transmission with each relay, so routers do not relay it until its end.
	if len(refusal.Parts) == 0 || len(refusal.Parts) > MaxPromptParts || refusal.Age >= Lifetime-tombstoneRetention {
		return nil, false
	}
	parts := slices.Clone(refusal.Parts)
	slices.Sort(parts)
	parts = slices.DeleteFunc(slices.Compact(parts), func(part Part) bool {
		at, found := g.lastAnswer(part)
		if !found || at <= since {
			return false
		}
		answers = append(answers, PartAnswer{Part: part, Age: now - at})
		return true
	})
	if len(parts) == 0 {
		return answers, false
	}
	if known := g.refusal(parts); known != nil {
		if known.trials.merge(now, refusal.Trials) {
			known.since = max(known.since, since)
		}
		g.noteTrial(known.trials)
		return answers, false
	}
	if g.countCovered(parts, g.crashes) >= PartRefusalThreshold {
		return answers, false // this router knows the crashes and explains them otherwise
	}
	added = !slices.ContainsFunc(g.refusals, func(known partRefusal) bool { return containsAll(parts, known.parts) })
	learned := partRefusal{parts: parts, since: since}
	learned.trials.merge(now, refusal.Trials)
	g.noteTrial(learned.trials)
	g.addRefusal(learned)
	return answers, added
}

// Answered records that a target has answered a prompt with the parts. It returns those that had been charged with
// several crashes or refused, which other routers must learn.
func (g *PartGuard) Answered(now time.Duration, parts []Part) []PartAnswer {
	var cleared []PartAnswer
	for _, part := range parts {
		if g.clear(part, now) {
			cleared = append(cleared, PartAnswer{Part: part})
		}
		g.recent.add(now, part)
	}
	if len(cleared) > 0 {
		g.explain(now)
	}
	return cleared
}

// AnsweredElsewhere records an answer that another router has seen.
func (g *PartGuard) AnsweredElsewhere(now time.Duration, answer PartAnswer) {
	if g.clear(answer.Part, now-max(answer.Age, 0)) {
		g.explain(now)
	}
}

// clear records an answer to a charged part, and reports whether the part had several charges or was refused.
func (g *PartGuard) clear(part Part, at time.Duration) bool {
	isPart := func(p Part) bool { return p == part }
	var charged []partCrash
	for i, c := range g.crashes {
		if at > c.at-recentAnswer && slices.Contains(c.parts, part) {
			charged = append(charged, c)
			g.crashes[i].parts = slices.DeleteFunc(slices.Clone(c.parts), isPart)
		}
	}
	count := countCrashes(charged)
	margin := time.Duration(0)
	if count > 0 {
		margin = recentAnswer // the crashes are known here, so that it applies as it does to them
	}
	refused := false
	for i, r := range g.refusals {
		if at > r.since-margin && slices.Contains(r.parts, part) {
			g.refusals[i].parts = slices.DeleteFunc(slices.Clone(r.parts), isPart)
			refused = true
		}
	}
	if count > 0 {
		g.crashes = slices.DeleteFunc(g.crashes, func(c partCrash) bool { return len(c.parts) == 0 })
		for _, candidate := range g.candidates {
			if rest := slices.DeleteFunc(slices.Clone(candidate), isPart); len(rest) < len(candidate) {
				g.addCandidate(rest)
			}
		}
	}
	if count > 0 || refused {
		g.answered[part] = max(g.answered[part], at)
	}
	g.refusals = mergeEqual(g.refusals)
	return count > 1 || refused
}

// mergeEqual drops refusals without parts, and all but one of those with equal parts.
func mergeEqual(refusals []partRefusal) []partRefusal {
	kept := refusals[:0]
	for _, r := range refusals {
		i := slices.IndexFunc(kept, func(k partRefusal) bool { return slices.Equal(k.parts, r.parts) })
		switch {
		case len(r.parts) == 0:
		case i < 0:
			kept = append(kept, r)
		default:
			kept[i].since = max(kept[i].since, r.since)
			kept[i].trials.merge(0, r.trials.state(0))
		}
	}
	return kept
}

// isCleared reports whether an answer shows that the part did not cause a crash.
func (g *PartGuard) isCleared(part Part, crashedAt time.Duration) bool {
	at, found := g.lastAnswer(part)
	return found && at > crashedAt-recentAnswer
}

func (g *PartGuard) lastAnswer(part Part) (time.Duration, bool) {
	answered, found := g.answered[part]
	if at, ok := g.recent.latest(part); ok && (!found || at > answered) {
		return at, true
	}
	return answered, found
}

// countCrashes returns the number of crashes with different causes. Several reports of one crash count once, and so do
// crashes of several targets at the same time.
func countCrashes(reports []partCrash) int {
	reports = slices.Clone(reports)
	slices.SortFunc(reports, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
	count, last := 0, time.Duration(0)
	lastOfTarget := make(map[string]time.Duration)
	for _, c := range reports {
		previous, found := lastOfTarget[c.target]
		if !found || c.at-previous >= minRestartTime {
			lastOfTarget[c.target] = c.at
			if count == 0 || c.at-last >= sameCauseWindow {
				count++
				last = c.at
			}
		}
	}
	return count
}

// addCandidates adds the parts that a new report has in common with earlier ones. Sets of parts are bit masks over the
// parts of the report.
func (g *PartGuard) addCandidates(parts []Part) {
	masks := map[uint32]bool{}
	for _, c := range g.crashes {
		var mask uint32
		for i, part := range parts {
			if slices.Contains(c.parts, part) {
				mask |= 1 << i
			}
		}
		if mask != 0 && len(masks) < maxIntersections {
			masks[mask] = true
		}
	}
	// The threshold is three crashes: this one and two others, each of which has one of these sets in common with it.
	common := maps.Clone(masks)
	for a := range masks {
		for b := range masks {
			if a&b != 0 && len(common) < 2*maxIntersections {
				common[a&b] = true
			}
		}
	}
	for mask := range common {
		var set []Part
		for i, part := range parts {
			if mask&(1<<i) != 0 {
				set = append(set, part)
			}
		}
		g.addCandidate(set)
	}
}

// addCandidate adds a set of parts that enough crashes have in common.
func (g *PartGuard) addCandidate(set []Part) {
	known := slices.ContainsFunc(g.candidates, func(c []Part) bool { return slices.Equal(c, set) })
	if len(set) == 0 || known || g.countCovered(set, g.crashes) < PartRefusalThreshold {
		return
	}
	if len(g.candidates) >= maxPartRefusals {
		g.candidates = slices.Delete(g.candidates, 0, 1)
	}
	g.candidates = append(g.candidates, set)
}

// countCovered returns the number of crashes that the parts can explain.
func (g *PartGuard) countCovered(parts []Part, crashes []partCrash) int {
	return countCrashes(covered(parts, crashes))
}

// covered returns the reports of prompts with all of the parts.
func covered(parts []Part, crashes []partCrash) []partCrash {
	var list []partCrash
	for _, c := range crashes {
		if containsAll(c.parts, parts) {
			list = append(list, c)
		}
	}
	return list
}

// explain updates the refusals to what explains the known crashes, and returns the new ones.
func (g *PartGuard) explain(now time.Duration) []PartRefusal {
	g.candidates = slices.DeleteFunc(g.candidates, func(c []Part) bool { return g.countCovered(c, g.crashes) < PartRefusalThreshold })
	var explanations [][]Part
	for unexplained := g.crashes; len(unexplained) > 0; {
		best := g.bestCandidates(unexplained)
		if len(best) == 0 {
			break
		}
		explanations = append(explanations, best...)
		unexplained = withoutExplained(unexplained, best)
	}
	g.refusals = slices.DeleteFunc(g.refusals, func(r partRefusal) bool {
		explains := slices.ContainsFunc(explanations, func(e []Part) bool { return slices.Equal(e, r.parts) })
		return !explains && g.countCovered(r.parts, g.crashes) >= PartRefusalThreshold
	})
	var added []PartRefusal
	for _, parts := range explanations {
		latest := time.Duration(0)
		for _, c := range covered(parts, g.crashes) {
			latest = max(latest, c.at)
		}
		if known := g.refusal(parts); known != nil {
			known.since = max(known.since, latest)
			continue
		}
		g.addRefusal(partRefusal{parts: parts, since: latest})
		added = append(added, PartRefusal{Parts: parts, Age: now - latest})
	}
	return added
}

// bestCandidates returns the candidates that cover the most crashes, without those that others contain.
func (g *PartGuard) bestCandidates(crashes []partCrash) [][]Part {
	most := PartRefusalThreshold
	var best [][]Part
	for _, candidate := range g.candidates {
		switch count := g.countCovered(candidate, crashes); {
		case count > most:
			most, best = count, [][]Part{candidate}
		case count == most:
			best = append(best, candidate)
		}
	}
	all := slices.Clone(best)
	return slices.DeleteFunc(best, func(c []Part) bool {
		return slices.ContainsFunc(all, func(other []Part) bool { return len(other) > len(c) && containsAll(other, c) })
	})
}

// withoutExplained returns the reports of crashes at which no prompt had all parts of one of the explanations.
func withoutExplained(crashes []partCrash, explanations [][]Part) []partCrash {
	var causes, rest []partCrash
	for _, parts := range explanations {
		causes = append(causes, covered(parts, crashes)...)
	}
	for _, c := range crashes {
		if !slices.ContainsFunc(causes, func(cause partCrash) bool { return cause.sameCrash(c) }) {
			rest = append(rest, c)
		}
	}
	return rest
}

// sameCrash reports whether two reports are about one crash.
func (c partCrash) sameCrash(other partCrash) bool {
	return c.target == other.target && (c.at-other.at).Abs() < minRestartTime
}

// refusal returns the refusal of exactly these parts, or nil.
func (g *PartGuard) refusal(parts []Part) *partRefusal {
	for i := range g.refusals {
		if slices.Equal(g.refusals[i].parts, parts) {
			return &g.refusals[i]
		}
	}
	return nil
}

func (g *PartGuard) addRefusal(refusal partRefusal) {
	if len(g.refusals) >= maxPartRefusals {
		g.refusals = slices.Delete(g.refusals, 0, 1)
	}
	g.refusals = append(g.refusals, refusal)
}

// expire removes what no longer counts.
func (g *PartGuard) expire(now time.Duration) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c partCrash) bool { return now >= c.at+Lifetime })
	g.refusals = slices.DeleteFunc(g.refusals, func(r partRefusal) bool { return now >= r.since+Lifetime })
	maps.DeleteFunc(g.answered, func(_ Part, at time.Duration) bool { return now >= at+Lifetime+recentAnswer })
}

func containsAll(list, wanted []Part) bool {
	for _, part := range wanted {
		if !slices.Contains(list, part) {
			return false
		}
	}
	return true
}
