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
	Age time.Duration
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
	parts []Part
	since time.Duration
}

// PartGuard finds prompt parts that crash the targets that begin to answer them. Requests that share such a part have
// nothing else in common, and the other parts of their prompts are shared with harmless requests.
//
// When a target crashes, the parts of each prompt that it had not answered yet are charged. An answer clears a part of
// all earlier charges. A part with charges from PartRefusalThreshold crashes is refused, together with the uncleared
// parts that all of these prompts had in common: a prompt that lacks one of them may run, and its answer or crash shows
// which of them is the cause.
//
// It is not safe for concurrent use.
type PartGuard struct {
	crashes  []partCrash
	refusals []partRefusal
	// answered is the time of the latest answer for each part with crashes or refusals.
	answered map[Part]time.Duration
	// recent and older are the latest answers of all parts, in two generations.
	recent, older map[Part]time.Duration
	rotatedAt     time.Duration
}

// NewPartGuard returns an empty PartGuard.
func NewPartGuard() *PartGuard {
	return &PartGuard{answered: make(map[Part]time.Duration), recent: make(map[Part]time.Duration)}
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
			list = append(list, PartRefusal{Parts: slices.Clone(r.parts), Age: now - r.since})
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
		return c.target == report.Target && (at-c.at).Abs() < minRestartTime && slices.Equal(c.parts, parts)
	})
	if len(parts) == 0 || known || report.Age >= Lifetime {
		return nil
	}
	g.expire(now)
	if len(g.crashes) >= maxPartCrashes {
		g.crashes = slices.Delete(g.crashes, 0, 1)
	}
	g.crashes = append(g.crashes, partCrash{target: report.Target, parts: parts, at: at})
	var added []PartRefusal
	for _, part := range parts {
		if core := g.commonParts(part); core != nil && g.refuse(partRefusal{parts: core, since: at}) {
			added = append(added, PartRefusal{Parts: core, Age: now - at})
		}
	}
	return added
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
	return answers, len(parts) > 0 && g.refuse(partRefusal{parts: parts, since: since})
}

// Answered records that a target has answered a prompt with the parts. It returns those that had been charged with
// several crashes or refused, which other routers must learn.
func (g *PartGuard) Answered(now time.Duration, parts []Part) []PartAnswer {
	g.rotate(now)
	var cleared []PartAnswer
	for _, part := range parts {
		if g.clear(part, now) {
			cleared = append(cleared, PartAnswer{Part: part})
		}
		if len(g.recent) < maxRecentAnswers {
			g.recent[part] = now
		}
	}
	return cleared
}

// AnsweredElsewhere records an answer that another router has seen.
func (g *PartGuard) AnsweredElsewhere(now time.Duration, answer PartAnswer) {
	g.clear(answer.Part, now-max(answer.Age, 0))
}

// clear records an answer to a charged part, and reports whether the part had several charges or was refused.
func (g *PartGuard) clear(part Part, at time.Duration) bool {
	charged := g.crashCount(part)
	refused := false
	for i, r := range g.refusals {
		if at > r.since && slices.Contains(r.parts, part) {
			g.refusals[i].parts = slices.DeleteFunc(r.parts, func(p Part) bool { return p == part })
			refused = true
		}
	}
	g.refusals = slices.DeleteFunc(g.refusals, func(r partRefusal) bool { return len(r.parts) == 0 })
	if charged > 0 || refused {
		g.answered[part] = max(g.answered[part], at)
	}
	return charged > 1 || refused
}

// isCleared reports whether an answer shows that the part did not cause a crash.
func (g *PartGuard) isCleared(part Part, crashedAt time.Duration) bool {
	at, found := g.lastAnswer(part)
	return found && at > crashedAt-recentAnswer
}

func (g *PartGuard) lastAnswer(part Part) (time.Duration, bool) {
	latest, found := time.Duration(0), false
	for _, answers := range []map[Part]time.Duration{g.recent, g.older, g.answered} {
		if at, ok := answers[part]; ok && (!found || at > latest) {
			latest, found = at, true
		}
	}
	return latest, found
}

// chargedCrashes returns the crashes with which the part is charged.
func (g *PartGuard) chargedCrashes(part Part) []partCrash {
	var list []partCrash
	for _, c := range g.crashes {
		if slices.Contains(c.parts, part) && !g.isCleared(part, c.at) {
			list = append(list, c)
		}
	}
	return list
}

func (g *PartGuard) crashCount(part Part) int { return countCrashes(g.chargedCrashes(part)) }

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

// commonParts returns the uncleared parts of all prompts that the crashes charged to the part have in common, or nil if
// there are too few crashes.
func (g *PartGuard) commonParts(part Part) []Part {
	charged := g.chargedCrashes(part)
	if countCrashes(charged) < PartRefusalThreshold {
		return nil
	}
	common := slices.Clone(charged[0].parts)
	for _, c := range charged {
		common = slices.DeleteFunc(common, func(p Part) bool { return !slices.Contains(c.parts, p) || g.isCleared(p, c.at) })
	}
	return common
}

// refuse adds a refusal unless a known one covers it, and drops those that it covers.
func (g *PartGuard) refuse(refusal partRefusal) bool {
	for _, known := range g.refusals {
		if containsAll(refusal.parts, known.parts) {
			return false
		}
	}
	g.refusals = slices.DeleteFunc(g.refusals, func(known partRefusal) bool { return containsAll(known.parts, refusal.parts) })
	if len(g.refusals) >= maxPartRefusals {
		g.refusals = slices.Delete(g.refusals, 0, 1)
	}
	g.refusals = append(g.refusals, refusal)
	return true
}

// expire removes what no longer counts.
func (g *PartGuard) expire(now time.Duration) {
	g.crashes = slices.DeleteFunc(g.crashes, func(c partCrash) bool { return now >= c.at+Lifetime })
	g.refusals = slices.DeleteFunc(g.refusals, func(r partRefusal) bool { return now >= r.since+Lifetime })
	maps.DeleteFunc(g.answered, func(_ Part, at time.Duration) bool { return now >= at+Lifetime+recentAnswer })
}

// rotate starts a new generation of recent answers once the older one is no longer needed.
func (g *PartGuard) rotate(now time.Duration) {
	if now-g.rotatedAt < recentAnswer {
		return
	}
	g.older, g.recent, g.rotatedAt = g.recent, make(map[Part]time.Duration), now
}

func containsAll(list, wanted []Part) bool {
	for _, part := range wanted {
		if !slices.Contains(list, part) {
			return false
		}
	}
	return true
}
