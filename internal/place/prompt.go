package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Parameters of prompt placement.
const (
	// The load of the preferred engine is limited to the mean, plus a fraction of the excess that the contract allows,
	// plus a slack. Peers' requests of the last report interval are not known yet, so the fractions are below one. The
	// contract has a slack of 3. Recomputing a short prompt takes milliseconds, so it moves earlier than a long one.
	shortShare = 0.25
	longShare  = 0.8
	shortSlack = 1.5
	longSlack  = 2.5
	// longPrompt is the number of shared tokens from which the limit of long prompts applies: their prefill takes
	// about 80 ms.
	longPrompt = 4000
	// rankChoices is the number of targets in rank among which the load decides for an uncached prompt, and rankCost is
	// the load that one rank is worth: processes that don't know each other's placements agree unless loads differ by
	// more than that.
	rankChoices = 3
	rankCost    = 1.5
	// prefillTokens is the number of prompt tokens that weigh as much as a request until they are prefilled: an engine
	// needs about 40 ms for them, in which it would have generated three tokens of each other request.
	prefillTokens = 2000
	// sourceTokens is the size from which a copy of a prompt's cache is worth its cost: below it, prefill
	// takes no longer than the copy, 5 ms.
	sourceTokens = 250
	// localCopyRatio is the number of prompt tokens for each token of the answer up to which a prompt is cached in each
	// zone.
	localCopyRatio = 4
	// takeoverDrainTime is the time after the end of most rate limits in which targets that had none finish what they have
	// taken over.
	takeoverDrainTime = 5 * time.Second
	// warmupPeriod is how long a newly listed target is assumed to have an empty cache, while others still have the
	// prompts that it takes over.
	warmupPeriod = 15 * time.Second
)

// Prompt describes the parts of a prompt that requests share. Its zero value means that nothing is shared.
type Prompt struct {
	// Key is the hash of the last part.
	Key uint64
	// Tokens is the size of all of them.
	Tokens int
	// Head is what the parts before the last one have in common with other prompts.
	Head Head
}

// prefillWeight returns the load weight of a prompt during prefill, excluding savedTokens, which the cache provides.
func prefillWeight(tokens, savedTokens int) float64 {
	return float64(max(tokens-savedTokens, 0)) / prefillTokens
}

// chooseForPrompt returns the index of the target for a prompt, and the number of targets skipped because of their
// load. Targets that have the prompt cached come first. Others follow in rendezvous order; load also decides among the
// first few.
//
// Pending prefill at a target counts against prompts that it does not have, but not against those that it has: another
// target would have to prefill the same prompt from the beginning.
//
// A target of the local zone that has the prompt precedes the others. A prompt that is short for its answer is cached
// in each zone that asks for it, since its copy costs less than answers from another zone.
//
// Prompts that were copied because of rate limits return to the first target in rank once its limit has ended. Others
// would keep them all: in a large fleet the load of a target is known too late to spread them by load.
func chooseForPrompt(open []*targetState, loads []Load, durations relativeDurations, mean Load, multiple float64, query Query, cachedAt []*targetState) (best, rank int) {
	prompt := query.Prompt
	weight := min(float64(prompt.Tokens)/longPrompt, 1)
	share := shortShare + weight*(longShare-shortShare)
	bound := func(mean float64) float64 {
		return mean*(1+share*(multiple-1)) + shortSlack + weight*(longSlack-shortSlack)
	}
	holderBound, coldBound := bound(mean.Requests), bound(mean.total())
	local := func(i int) bool { return open[i].target.Zone == query.Zone }
	// precedes reports whether one target that has the prompt cached precedes another one.
	precedes := func(i, other int) bool {
		return cmp.Or(
			cmp.Compare(boolToInt(open[i].recovering), boolToInt(open[other].recovering)),
			cmp.Compare(boolToInt(local(i)), boolToInt(local(other))),
			cmp.Compare(loads[other].total()+durations.delay(other, loads[other], 1), loads[i].total()+durations.delay(i, loads[i], 1)),
		) > 0
	}
	best = -1
	for i, candidate := range open {
		fits := loads[i].Requests+1 <= min(holderBound, candidate.slots())
		if !fits || !slices.Contains(cachedAt, candidate) {
			continue
		}
		if best < 0 || precedes(i, best) {
			best = i
		}
	}
	order := byRateLimit(rankTargets(open, prompt), open)
	home := order[0].index
	localCopy := query.AnswerTokens > 0 && prompt.Tokens <= localCopyRatio*query.AnswerTokens
	var inZone []ranked
	if localCopy {
		inZone = slices.DeleteFunc(slices.Clone(order), func(candidate ranked) bool { return !local(candidate.index) })
		if len(inZone) > 0 {
			home = inZone[0].index
		}
	}
	if best >= 0 && open[home].recovering && !open[best].recovering {
		best = -1
	}
	if best >= 0 && (local(best) || !localCopy) {
		return best, 0
	}
	fits := func(i int) bool { return loads[i].total()+1 <= min(coldBound, open[i].slots()) }
	own := 1 + prefillWeight(query.PromptTokens, 0)
	delay := func(i int) float64 { return durations.delay(i, loads[i], own) }
	if localCopy {
		if first, position := firstRanked(inZone, loads, delay, fits); first >= 0 {
			return first, position
		}
	}
	if best >= 0 {
		return best, 0
	}
	if first, position := firstRanked(order, loads, delay, fits); first >= 0 {
		return first, position
	}
	least := order[0].index
	for position, candidate := range order {
		if fits(candidate.index) {
			return candidate.index, position
		}
		if loads[candidate.index].total()/open[candidate.index].slots() < loads[least].total()/open[least].slots() {
			least = candidate.index
		}
	}
	return least, len(order)
}

// byRateLimit moves the targets with rate limits to the end of an order. The few requests that they take are for prompts
// that they have cached, which would have to be copied elsewhere otherwise. Targets that warm up have none, and are moved
// unless they are most of the service. If most targets had a limit until recently,
// they precede the others, which still run what they have taken over.
func byRateLimit(order []ranked, open []*targetState) []ranked {
	idle := func(candidate ranked) bool {
		return open[candidate.index].recovering && open[candidate.index].sinceLimit < takeoverDrainTime
	}
	count := 0
	for _, candidate := range order {
		count += boolToInt(idle(candidate))
	}
	mostIdle := 2*count >= len(order)
	class := func(candidate ranked) int {
		return boolToInt(open[candidate.index].deferred) - boolToInt(mostIdle && idle(candidate))
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(class(a), class(b)) })
	return order
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// firstRanked returns the index and the position of the best target that fits among the first few in rank, or -1. The
// delay of a target, in requests, is added to its load.
func firstRanked(order []ranked, loads []Load, delay func(int) float64, fits func(int) bool) (best, rank int) {
	best = -1
	lowest := math.Inf(1)
	for position, candidate := range order[:min(rankChoices, len(order))] {
		cost := loads[candidate.index].total() + rankCost*float64(position) + delay(candidate.index)
		if fits(candidate.index) && cost < lowest {
			best, rank, lowest = candidate.index, position, cost
		}
	}
	return best, rank
}

type ranked struct {
	index int
	score uint64
}

// rankTargets orders targets for a prompt by rendezvous hashing. Prompts with a common first part, of which there are
// few, are spread over all targets: keeping a first part on a subset would overload targets that keep several.
func rankTargets(targets []*targetState, prompt Prompt) []ranked {
	order := make([]ranked, len(targets))
	for i, candidate := range targets {
		order[i] = ranked{index: i, score: rendezvous.Score(prompt.Key, candidate.hash)}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	return order
}

// source returns the address of a target from which the chosen one can copy the missing part of the prompt, and the
// number of tokens that this spares it: a target known to have the prompt, else one known to have its head, else the
// one that probably has the prompt by rendezvous rank. Draining targets still serve copies, so they can be sources.
func (p *LoadTracker) source(now time.Duration, targets []*targetState, chosen *targetState, prompt Prompt, cachedAt []*targetState) (address string, savedTokens int) {
	if prompt.Tokens < sourceTokens {
		return "", 0
	}
	sources := &selection{tracker: p, now: now, purpose: CopySource, targets: targets}
	for _, state := range cachedAt {
		if sources.allows(state) {
			return state.target.Address, prompt.Tokens
		}
	}
	hasHead := prompt.Head.Key != 0 && p.heads.has(now, prompt.Head.Key, chosen)
	// Until the caches are known, the target that is first in rank is more likely to have the prompt than not.
	if p.cachesKnown && !hasHead {
		if address := p.headSource(sources, chosen, prompt.Head); address != "" {
			return address, prompt.Head.Tokens
		}
	}
	if address := rankedSource(sources, chosen, prompt); address != "" {
		return address, prompt.Tokens
	}
	if hasHead {
		return "", prompt.Head.Tokens
	}
	if address := p.headSource(sources, chosen, prompt.Head); address != "" {
		return address, prompt.Head.Tokens
	}
	return "", 0
}

// rankedSource returns the address of the first target in rank that has been listed for a while, or an empty string if
// that is the chosen one.
func rankedSource(sources *selection, chosen *targetState, prompt Prompt) string {
	var first *targetState
	highest := uint64(0)
	for _, state := range sources.targets {
		score := rendezvous.Score(prompt.Key, state.hash)
		if (first == nil || score > highest) && state.warmedUp(sources.now) && sources.allows(state) {
			first, highest = state, score
		}
	}
	if first == nil || first == chosen {
		return ""
	}
	return first.target.Address
}

// warmedUp reports whether the target may have cached the prompts that its rank assigns to it. A target that was listed
// soon after the start of this process may be as old as the service.
func (s *targetState) warmedUp(now time.Duration) bool {
	return s.listed < warmupPeriod || now-s.listed >= warmupPeriod
}
