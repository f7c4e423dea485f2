// Package place decides which target of a service runs a request.
//
// A LoadTracker tracks the load and health of each target: the exact requests of this process, the requests that other
// processes last reported, and the target's own report, each with its age. Choose selects the target for a request.
// Requests that share a prompt rank targets by rendezvous hashing, so that all processes prefer the same engine and its
// cache, and fall back to the next rank when the load exceeds a multiple of the mean. Other requests go to the least
// loaded target, with a preference for the local zone. Where targets state how long work takes at present, that weighs
// in the load.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Placement parameters.
const (
	// peerLoadLifetime is the maximum age of a peer's request counts: ten report intervals.
	peerLoadLifetime = 2500 * time.Millisecond
	// peerPrefillLifetime is the age up to which a peer's prompts count as pending prefill: an engine prefills a long
	// prompt in about 200 ms.
	peerPrefillLifetime = 300 * time.Millisecond
	// reportLifetime is the maximum age of a target's own load report, whose values lag by about 200 ms.
	reportLifetime = 600 * time.Millisecond
	// remoteZoneCost is the cost of a target in another zone, as a fraction of its slots.
	remoteZoneCost = 0.15
	// tieBreakJitter is the maximum random cost, as a fraction of slots, that keeps processes with the same load data
	// from all choosing the same target.
	tieBreakJitter = 0.08
	// failureHalfLife is the half-life of the failure rate, so that a target is retried after a few seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the moving average of failures: about the last five outcomes count.
	failureWeight = 0.2
	// failureLimit and failureRatio define an outlier: its failure rate exceeds both failureLimit and failureRatio
	// times the mean of the other targets.
	failureLimit = 0.3
	failureRatio = 2.0
	// blockBase and blockMax are the minimum and maximum backoff after a connection failure: the minimum is a few round
	// trips, the maximum is the time after which the platform removes the entry of a target that is gone.
	blockBase = 400 * time.Millisecond
	blockMax  = 3 * time.Second
	// queueShare is the maximum fraction of a request's remaining time that may be spent in a target's queue.
	queueShare = 0.6
	// connectionShare is the fraction of a target's connection limit that requests may use: a target resets connections
	// beyond its limit, and a reset request may have run.
	connectionShare = 0.8
	// takeoverWait is the longest time that a request may wait for the first part of its response at a target that takes
	// over requests of targets with rate limits. Callers abandon a stream that has not begun after 2 s.
	takeoverWait = 400 * time.Millisecond
	// durationWeight is the weight of one response in the moving average of durations.
	durationWeight = 0.05
)

// Outcome is the result of an attempt at a target.
type Outcome int

// Outcomes.
const (
	// Good attempts received a complete response.
	Good Outcome = iota
	// Refused attempts were rejected by the target for lack of capacity, without running.
	Refused
	// Unreachable attempts did not reach the target.
	Unreachable
	// Crashed attempts lost their connection while the target ran them.
	Crashed
	// Failed attempts received an error, a malformed response, or none in time.
	Failed
	// Neutral attempts say nothing about the target: the caller disconnected.
	Neutral
)

// String returns the name used in logs.
func (o Outcome) String() string {
	return [...]string{"good", "refused", "unreachable", "crashed", "failed", "neutral"}[o]
}

// Query is a request to place.
type Query struct {
	Service string
	// Purpose is FirstAttempt or Retry.
	Purpose Purpose
	// Prompt is the part of the prompt that is shared with other requests.
	Prompt Prompt
	// PromptTokens is the size of the whole prompt in tokens.
	PromptTokens int
	// AnswerTokens is the expected size of the answer in tokens; 0 if it is unknown.
	AnswerTokens int
	// Zone is the local zone.
	Zone string
	// Exclude lists the IDs of targets that were already tried.
	Exclude []string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// MaxConnections limits the connections of all processes to one target; 0 means no limit.
	MaxConnections int
}

// Choice is the selected target, with the data behind the decision.
type Choice struct {
	Target routes.Target
	Load   Load
	// Mean is the mean number of requests over the service's available targets.
	Mean float64
	// LoadAge is the age of the oldest peer report in the load.
	LoadAge time.Duration
	// Rank is the number of preferred targets that were skipped because of their load.
	Rank int
	// Prefill is the weight that the request adds to the target's load until its prompt is prefilled.
	Prefill float64
	// Number identifies the request among those that the target has not begun to answer.
	Number uint64
	// Limited is the number of targets that were passed over because of their rate limits.
	Limited int
	// Cold is the number of targets that were passed over because they are warming up and have a limit until then.
	Cold int
	// Paused is the number of targets that were passed over because they have asked for a pause.
	Paused int
	// ConfirmsLimit is set if the target was chosen to learn whether its rate limit still holds.
	ConfirmsLimit bool
	// Source is the address of a target that probably has the prompt cached while the chosen one does not; empty if
	// there is none.
	Source string
}

// Refusal describes why a request can't be placed and when to retry it.
type Refusal struct {
	Reason     reason.Reason
	RetryAfter time.Duration
}

// Load is the work that a target has in progress. Routers report it to each other and choose targets by it.
type Load struct {
	// Requests is the number of requests in flight at the target.
	Requests float64
	// Prefill is the weight of the prompts that it has not prefilled yet.
	Prefill float64
}

func (l Load) total() float64 { return l.Requests + l.Prefill }

type peerLoad struct {
	Load
	at time.Duration
	// announced is the weight of the prompts that the peer has announced in notices since its last load report.
	announced   float64
	announcedAt time.Duration
}

type targetState struct {
	target routes.Target
	hash   uint64
	// instance is the key of the current instance in the statements of targets.
	instance uint64
	// listed is when the current instance was first listed.
	listed time.Duration
	own    int
	// prefill is the weight of this process's prompts that are still in prefill.
	prefill float64
	peers   map[string]peerLoad

	report   routes.Load
	reportAt time.Duration
	reported bool

	// waiting holds the start times of this process's requests that the target has not begun to answer.
	waiting map[uint64]time.Duration
	// limited is set while the target states a rate limit or warms up under one, recovering for a while after a stated one;
	// both are updated by candidates.
	limited, recovering bool
	// deferred targets get prompts that no target has cached only if the others have no room. These are the targets with a
	// stated limit, and those that warm up unless they are most of the service: the few that are warm would read the prompts
	// of all otherwise. It is updated by candidates.
	deferred bool
	// sinceLimit is the time since the end of the limit of a recovering target.
	sinceLimit time.Duration

	// duration is the relative duration that the target has stated, or that was measured if its service states none.
	duration relativeDuration

	failures   float64
	failuresAt time.Duration
	blocked    time.Duration
	blocks     int
	// contacts is what this and other routers know of attempts to reach the current instance.
	contacts contactState
	// withdrawn targets are no longer listed; they are usable until dropAt as a last resort.
	withdrawn bool
	dropAt    time.Duration
}

type service struct {
	targets []*targetState
	// meanDuration is the moving average of the time to a complete response.
	meanDuration time.Duration
	durations    serviceDurations
}

// LoadTracker tracks the load, health and cached prompts of the targets.
type LoadTracker struct {
	byID     map[string]*targetState
	byHash   map[uint64]*targetState
	services map[string]*service
	caches   *cacheIndex
	heads    headIndex
	initial  initialCaches
	// cachesKnown is set once the prompts placed before this process started are known, or known not to exist.
	cachesKnown bool
	rng         *rand.Rand
	// lastNumber is the latest number of a choice.
	lastNumber uint64
	// statements holds what targets have stated about the requests that they take.
	statements *backpressure.Tracker
	// evacuated are the zones that the operator evacuates.
	evacuated map[string]bool
	// warmupRates holds the rates of services that limit the requests to targets that warm up, in requests a second of all
	// processes together.
	warmupRates map[string]float64
	// multiple is the contract's limit on a target's load, as a multiple of the mean.
	multiple float64
	// durationsStated is set once a target has stated a relative duration.
	durationsStated bool
}

// New returns an empty LoadTracker. The load of a target is limited to multiple times the mean of its service.
func New(multiple float64, rng *rand.Rand) *LoadTracker {
	return &LoadTracker{
		byID:       make(map[string]*targetState),
		byHash:     make(map[uint64]*targetState),
		services:   make(map[string]*service),
		caches:     newCacheIndex(),
		heads:      make(headIndex),
		rng:        rng,
		statements: backpressure.New(rng),
		multiple:   multiple,
	}
}

// SetWarmupRates sets the rates in requests a second, by the name of the service, at which all processes together may send
// requests to a target that warms up. There is no limit in other services. The rates apply from the next call of SetTargets.
func (p *LoadTracker) SetWarmupRates(rates map[string]float64) { p.warmupRates = rates }

// warmsUp reports whether the target warms up. Where the service has no limit for such targets, the time that it has stated
// last counts until it states another one.
func (p *LoadTracker) warmsUp(now time.Duration, state *targetState) bool {
	if p.warmupRates[state.target.Service] > 0 {
		return now < state.target.WarmupUntil
	}
	return state.target.WarmupRemaining > 0
}

// SetTargets replaces the list of targets. Targets that are no longer listed stay usable for the grace period if their
// service has no other, and are then removed.
func (p *LoadTracker) SetTargets(now time.Duration, targets []routes.Target, grace time.Duration) {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		state := p.byID[target.ID]
		if state == nil {
			state = &targetState{hash: rendezvous.Hash(target.ID), listed: now, peers: make(map[string]peerLoad), waiting: make(map[uint64]time.Duration)}
			p.byID[target.ID] = state
			p.byHash[state.hash] = state
		} else if state.target.StartedAt != target.StartedAt || state.withdrawn {
			state.blocked, state.blocks, state.failures = 0, 0, 0
			state.listed = now
		}
		state.target = target
		state.instance = instanceKey(target)
		p.statements.SetWarmup(now, state.instance, p.warmupRates[target.Service], target.WarmupUntil)
		state.withdrawn = false
	}
	for id, state := range p.byID {
		switch {
		case listed[id]:
		case !state.withdrawn:
			state.withdrawn = true
			state.dropAt = now + grace
		case now >= state.dropAt && state.own == 0:
			delete(p.byID, id)
			delete(p.byHash, state.hash)
			p.heads.forget(state.hash)
		}
	}
	p.initial.expire(now)
	p.index()
}

func (p *LoadTracker) index() {
	for _, svc := range p.services {
		svc.targets = svc.targets[:0]
	}
	for _, state := range p.byID {
		svc := p.services[state.target.Service]
		if svc == nil {
			svc = &service{}
			p.services[state.target.Service] = svc
		}
		svc.targets = append(svc.targets, state)
	}
}

// Start records that a request is sent to the chosen target. Began records the end of its prefill, End its completion.
func (p *LoadTracker) Start(now time.Duration, choice Choice, prompt Prompt) {
	state := p.byID[choice.Target.ID]
	if state == nil {
		return
	}
	state.own++
	state.prefill += choice.Prefill
	p.statements.Took(now, state.instance)
	if choice.Number != 0 {
		state.waiting[choice.Number] = now
	}
	if prompt.Key == 0 {
		return
	}
	p.recordPlacement(now, state, prompt, choice.Prefill)
}

// PromptRead records that the target has begun to answer a request, or will not.
func (p *LoadTracker) PromptRead(choice Choice) {
	if state := p.byID[choice.Target.ID]; state != nil {
		delete(state.waiting, choice.Number)
		state.prefill = max(state.prefill-choice.Prefill, 0)
	}
}

// End records the end of a request at a target.
func (p *LoadTracker) End(id string, now time.Duration, outcome Outcome, took time.Duration) {
	state := p.byID[id]
	if state == nil {
		return
	}
	state.own = max(state.own-1, 0)
	failure := 0.0
	if outcome == Good || outcome == Refused || outcome == Unreachable {
		p.recordContact(now, state, outcome != Unreachable)
	}
	switch outcome {
	case Neutral, Refused:
		return
	case Good:
		state.blocks, state.blocked = 0, 0
		svc := p.services[state.target.Service]
		svc.meanDuration += time.Duration(durationWeight * float64(took-svc.meanDuration))
	case Unreachable, Crashed:
		state.blocks++
		pause := min(blockBase<<min(state.blocks-1, 8), blockMax)
		state.blocked = now + pause
		failure = 1
	case Failed:
		failure = 1
	}
	state.failures = state.failuresNow(now)*(1-failureWeight) + failure*failureWeight
	state.failuresAt = now
}

// Report records a target's own load report.
func (p *LoadTracker) Report(id string, now time.Duration, load routes.Load) {
	if state := p.byID[id]; state != nil {
		state.report, state.reportAt, state.reported = load, now, true
	}
}

// Statements returns what targets have stated, for updates from other processes.
func (p *LoadTracker) Statements() *backpressure.Tracker { return p.statements }

// StatementChange tells which statements of a target a response has changed.
type StatementChange struct {
	// RateLimit is set if a limit has begun, ended or changed much.
	RateLimit bool
	// Leaving is set if the target was not known to leave.
	Leaving bool
	// PauseBegun and PauseEnded are set if the target has asked for a pause, or has responded to the first request after it.
	PauseBegun, PauseEnded bool
}

// Stated records what the response to a request states. What it does not state has ended.
func (p *LoadTracker) Stated(now time.Duration, target routes.Target, stated routes.Statements) StatementChange {
	instance := instanceKey(target)
	if state := p.byID[target.ID]; state != nil && state.instance == instance {
		p.recordContact(now, state, true)
	}
	change := p.StatedInCall(now, target, stated)
	if !stated.HasRateLimit {
		change.RateLimit = p.statements.StatedLimit(now, instance, 0, false)
	}
	if stated.RetryAfter <= 0 {
		change.PauseEnded = p.statements.Responded(now, instance)
	}
	return change
}

// StatedInCall records what the response to a call other than a request states. The target may leave statements out there
// that still hold.
func (p *LoadTracker) StatedInCall(now time.Duration, target routes.Target, stated routes.Statements) StatementChange {
	instance := instanceKey(target)
	return StatementChange{
		RateLimit:  stated.HasRateLimit && p.statements.StatedLimit(now, instance, stated.RateLimit, true),
		Leaving:    stated.Leaving && p.statements.StatedLeaving(now, instance),
		PauseBegun: p.statements.StatedPause(now, instance, stated.RetryAfter),
	}
}

// RateLimit returns the rate limit that the target has stated and this process's part of it.
func (p *LoadTracker) RateLimit(now time.Duration, target routes.Target) (rate, share float64, limited bool) {
	return p.statements.Limit(now, instanceKey(target))
}

func instanceKey(target routes.Target) uint64 { return backpressure.Key(target.ID, target.StartedAt) }

// Admissions returns the number of listed targets for each admission other than backpressure.Open.
func (p *LoadTracker) Admissions(now time.Duration) map[backpressure.Admission]int {
	counts := make(map[backpressure.Admission]int)
	for _, state := range p.byID {
		if admission := p.statements.Admission(now, state.instance); admission != backpressure.Open && !state.withdrawn {
			counts[admission]++
		}
	}
	return counts
}

// PeerLoads records the load that another process has at each target, by the hash of the target's ID. A target that is
// missing from loads has none.
func (p *LoadTracker) PeerLoads(peer string, now time.Duration, loads map[uint64]Load) {
	for hash, state := range p.byHash {
		if load := loads[hash]; load.total() > 0 {
			state.peers[peer] = peerLoad{Load: load, at: now}
		} else {
			delete(state.peers, peer)
		}
	}
}

// OwnLoads returns the load of this process, by the hash of the target's ID.
func (p *LoadTracker) OwnLoads() map[uint64]Load {
	loads := make(map[uint64]Load)
	for hash, state := range p.byHash {
		if state.own > 0 {
			loads[hash] = Load{Requests: float64(state.own), Prefill: state.prefill}
		}
	}
	return loads
}

// Count returns the number of targets that accept requests, and of all listed targets.
func (p *LoadTracker) Count(now time.Duration) (usable, listed int) {
	for _, state := range p.byID {
		if state.withdrawn {
			continue
		}
		listed++
		if !p.leaves(now, state) && !p.evacuated[state.target.Zone] && !state.isBlocked(now) {
			usable++
		}
	}
	return usable, listed
}

// leaves reports whether the target leaves, by its entry or by its own statement.
func (p *LoadTracker) leaves(now time.Duration, state *targetState) bool {
	return state.target.Draining || p.statements.Admission(now, state.instance) == backpressure.Leaving
}

func (s *targetState) failuresNow(now time.Duration) float64 {
	if s.failures == 0 {
		return 0
	}
	age := float64(now-s.failuresAt) / float64(failureHalfLife)
	return s.failures * math.Exp2(-age)
}

// load estimates the target's load from the reports that are recent enough.
func (s *targetState) load(now time.Duration) Load {
	sum := Load{Requests: float64(s.own), Prefill: s.prefill}
	for _, peer := range s.peers {
		age := now - peer.at
		if age < peerLoadLifetime {
			sum.Requests += peer.Requests
		}
		if age < peerPrefillLifetime {
			sum.Prefill += peer.Prefill
		}
		if now-peer.announcedAt < peerPrefillLifetime {
			sum.Prefill += peer.announced
		}
	}
	if s.reported && now-s.reportAt < reportLifetime {
		sum.Requests = max(sum.Requests, float64(s.report.Running+s.report.Waiting))
	}
	return sum
}

// loadAge returns the age of the oldest peer report that counts towards the load.
func (s *targetState) loadAge(now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, peer := range s.peers {
		if age := now - peer.at; age < peerLoadLifetime {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// overloaded reports whether the target can't take over requests from others that limit their rate: it is full, or leaves
// a request waiting so long that more of them would be answered too late.
func (s *targetState) overloaded(now time.Duration) bool {
	if s.limited {
		return false
	}
	if s.load(now).Requests+1 > s.slots() {
		return true
	}
	for _, since := range s.waiting {
		if now-since > takeoverWait {
			return true
		}
	}
	return false
}

func (s *targetState) slots() float64 { return float64(max(s.target.Slots, 1)) }

// Choose returns the target for a request, or a non-nil Refusal if there is none.
func (p *LoadTracker) Choose(now time.Duration, query Query) (Choice, *Refusal) {
	svc := p.services[query.Service]
	if svc == nil {
		return Choice{}, &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
	}
	set := p.candidates(now, svc, query.Purpose, query.Exclude)
	open := set.open
	if len(set.limited)+len(set.cold) > 0 {
		open = slices.DeleteFunc(open, func(state *targetState) bool { return state.overloaded(now) })
	}
	if len(open) == 0 {
		return Choice{}, p.refusal(now, set)
	}
	loads, mean := loadsOf(now, open)
	var best, rank int
	var source string
	prefill := 0.0
	confirms := false
	if query.Prompt.Key != 0 {
		cachedAt := p.targetsWith(now, query.Prompt.Key)
		best = p.confirmLimit(now, open, loads, query.Zone, cachedAt)
		if confirms = best >= 0; !confirms {
			best, rank = chooseForPrompt(open, loads, p.relativeDurations(now, svc, open), mean, p.multiple, query, cachedAt)
		}
		savedTokens := query.Prompt.Tokens
		if !slices.Contains(cachedAt, open[best]) {
			source, savedTokens = p.source(now, svc.targets, open[best], query.Prompt, cachedAt)
		}
		prefill = prefillWeight(query.PromptTokens, savedTokens)
	} else {
		best = p.choosePlain(now, svc, open, loads, mean, query)
	}
	if limit := connectionShare * float64(query.MaxConnections); limit > 0 && loads[best].Requests >= limit {
		return Choice{}, &Refusal{Reason: reason.OverLimit, RetryAfter: max(svc.meanDuration, blockBase)}
	}
	if wait := expectedWait(open[best], loads[best].total(), svc.meanDuration); wait > time.Duration(queueShare*float64(query.Remaining)) {
		return Choice{}, &Refusal{Reason: reason.OverLimit, RetryAfter: wait / 2}
	}
	p.lastNumber++
	return Choice{Number: p.lastNumber, Prefill: prefill, Target: open[best].target, LoadAge: open[best].loadAge(now), Load: loads[best], Mean: mean.Requests, Rank: rank, Source: source, Limited: len(set.limited), Cold: len(set.cold), Paused: len(set.paused), ConfirmsLimit: confirms}, nil
}

// confirmLimit returns the index of a target that is to get the request so that its response shows whether its rate limit
// still holds, or -1. Targets that have the prompt cached come first, then those of the local zone.
func (p *LoadTracker) confirmLimit(now time.Duration, open []*targetState, loads []Load, zone string, cachedAt []*targetState) int {
	best, bestCost := -1, 0
	for i, candidate := range open {
		if loads[i].total()+1 > candidate.slots() || !p.statements.ConfirmationDue(now, candidate.instance) {
			continue
		}
		cost := 2*boolToInt(!slices.Contains(cachedAt, candidate)) + boolToInt(candidate.target.Zone != zone)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// loadsOf returns the loads of targets and their mean. Targets with rate limits, stated or while they warm up, have less
// load than the others could have, so they count only where there are no others.
func loadsOf(now time.Duration, open []*targetState) (loads []Load, mean Load) {
	loads = make([]Load, len(open))
	var unlimited, all Load
	count := 0.0
	for i, candidate := range open {
		loads[i] = candidate.load(now)
		all.Requests += loads[i].Requests / float64(len(open))
		all.Prefill += loads[i].Prefill / float64(len(open))
		if !candidate.limited {
			count++
			unlimited.Requests += loads[i].Requests
			unlimited.Prefill += loads[i].Prefill
		}
	}
	if count == 0 {
		return loads, all
	}
	return loads, Load{Requests: unlimited.Requests / count, Prefill: unlimited.Prefill / count}
}

// leastLoaded returns the index of the target with the least load relative to its slots, plus zone and warm-up costs.
func (p *LoadTracker) leastLoaded(now time.Duration, open []*targetState, loads []Load, zone string) int {
	best, bestCost := 0, math.Inf(1)
	for i, candidate := range open {
		cost := loads[i].total()/candidate.slots() + tieBreakJitter*p.rng.Float64()
		if candidate.target.Zone != zone {
			cost += remoteZoneCost
		}
		if p.warmsUp(now, candidate) {
			cost += remoteZoneCost
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// expectedWait returns the expected queueing time at the target.
func expectedWait(s *targetState, load float64, duration time.Duration) time.Duration {
	excess := load + 1 - s.slots()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / s.slots() * float64(duration))
}
