// Package place decides which target of a service runs a request.
//
// A Picture holds what is known of each target's load and health: the requests of this process exactly, those of
// other processes as they last told, and the target's own report, each with its age. Choose ranks the targets for a
// request. Requests that share a prompt rank them by rendezvous hashing, so all processes prefer the same engine and
// its cache, and go on to the next in rank where the load is above a multiple of the mean. Other requests go to the
// target with the least load, with a preference for the own zone.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package place

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Limits of placing.
const (
	// peerLoadLifetime is the age up to which another process's counts are used: ten report intervals.
	peerLoadLifetime = 2500 * time.Millisecond
	// peerPrefillLifetime is the age up to which another process's prompts count as not read yet: an engine reads a long
	// one in some 200 ms.
	peerPrefillLifetime = 300 * time.Millisecond
	// reportLifetime is the age up to which a target's own report is used: its values lag by some 200 ms.
	reportLifetime = 600 * time.Millisecond
	// remoteZoneCost is the load, as a share of a target's slots, that makes another zone as good as the own.
	remoteZoneCost = 0.15
	// tieBreakJitter is the random share of slots that keeps processes with the same picture from one choice.
	tieBreakJitter = 0.08
	// failureHalfLife halves the memory of failures, so that a target gets a try again after some seconds.
	failureHalfLife = 2 * time.Second
	// failureWeight is the share of one outcome in the failure rate: about the last five outcomes count.
	failureWeight = 0.2
	// failureLimit and failureRatio mark a target as an outlier: its failure rate, and the multiple of the others' mean.
	failureLimit = 0.3
	failureRatio = 2.0
	// blockBase and blockMax bound the pause after a target could not be reached: the first is a few round trips, the
	// last is the time after which the platform drops the entry of a target that is gone.
	blockBase = 400 * time.Millisecond
	blockMax  = 3 * time.Second
	// queueShare is the largest share of a request's remaining time that may be spent waiting in a target's queue.
	queueShare = 0.6
	// connectionShare is the part of a target's connections that requests may use: a target resets those beyond its
	// limit, and a reset request may have run.
	connectionShare = 0.8
	// durationWeight is the share of one answer in the mean duration.
	durationWeight = 0.05
)

// Outcome is how a try at a target ended.
type Outcome int

// Outcomes.
const (
	// Good tries got a complete answer.
	Good Outcome = iota
	// Refused tries were not run by the target, for lack of room.
	Refused
	// Unreachable tries did not reach the target.
	Unreachable
	// Crashed tries lost their connection while the target ran them.
	Crashed
	// Failed tries got an error, a broken answer or none in time.
	Failed
	// Neutral tries say nothing of the target: the caller left.
	Neutral
)

// String returns the name that logs use.
func (o Outcome) String() string {
	return [...]string{"good", "refused", "unreachable", "crashed", "failed", "neutral"}[o]
}

// Query is a request to place.
type Query struct {
	Service string
	// Prompt is the part of the prompt that other requests share.
	Prompt Prompt
	// PromptTokens is the size of the whole prompt.
	PromptTokens int
	// Zone is the own zone.
	Zone string
	// Exclude holds the targets that were tried.
	Exclude []string
	// Left is the time until the request's deadline.
	Left time.Duration
	// MaxConnections bounds the connections of all processes to one target; 0 means no bound.
	MaxConnections int
}

// Choice is the target of a request, with what decided for it.
type Choice struct {
	Target routes.Target
	Load   Load
	// Mean is the mean number of requests of the service's open targets.
	Mean float64
	// LoadAge is the age of the oldest figure in the load.
	LoadAge time.Duration
	// Rank is the number of targets that were preferred and passed over for their load.
	Rank int
	// Prefill is the weight that the request adds to the target's load until the prompt is read.
	Prefill float64
	// Source is the address of a target that is likely to have the prompt in its cache while the chosen one has not;
	// empty when there is none.
	Source string
}

// Refusal says why a request can't be placed, and when it makes sense to come back.
type Refusal struct {
	Reason     reason.Reason
	RetryAfter time.Duration
}

// Load is the load of a target.
type Load struct {
	// Requests are those that the target has.
	Requests float64
	// Prefill is the weight of the prompts that it has not read yet.
	Prefill float64
}

func (l Load) total() float64 { return l.Requests + l.Prefill }

type peerLoad struct {
	Load
	at time.Duration
	// noticed is the weight of prompts that the process has placed since then.
	noticed   float64
	noticedAt time.Duration
}

type targetState struct {
	target routes.Target
	hash   uint64
	// listed is when the present instance was listed first.
	listed time.Duration
	own    int
	// prefill is the weight of this process's prompts that are being read.
	prefill float64
	peers   map[string]peerLoad

	report   routes.Load
	reportAt time.Duration
	reported bool

	failures   float64
	failuresAt time.Duration
	blocked    time.Duration
	blocks     int
	// withdrawnAt is when the entry went away; usable until dropAt as a last resort.
	withdrawn bool
	dropAt    time.Duration
}

type service struct {
	targets []*targetState
	// meanDuration is the mean time of a whole answer.
	meanDuration time.Duration
}

// Picture is what is known of the targets.
type Picture struct {
	byID      map[string]*targetState
	byHash    map[uint64]*targetState
	services  map[string]*service
	caches   *cacheIndex
	heads     headIndex
	initial initialCaches
	// cachesKnown says that prompts which were placed before this process started are known, or that there are none.
	cachesKnown bool
	rng         *rand.Rand
	// multiple is the contract's bound of a target's load, as a multiple of the mean.
	multiple float64
}

// New returns an empty picture. The multiple bounds the load of a target against the mean of its service.
func New(multiple float64, rng *rand.Rand) *Picture {
	return &Picture{
		byID:     make(map[string]*targetState),
		byHash:   make(map[uint64]*targetState),
		services: make(map[string]*service),
		caches:  newCacheIndex(),
		heads:    make(headIndex),
		rng:      rng,
		multiple: multiple,
	}
}

// SetTargets replaces the list of targets. Those that are no longer listed stay usable for the grace period where
// their service has no other, and are then forgotten.
func (p *Picture) SetTargets(now time.Duration, targets []routes.Target, grace time.Duration) {
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		listed[target.ID] = true
		held := p.byID[target.ID]
		if held == nil {
			held = &targetState{hash: rendezvous.Hash(target.ID), listed: now, peers: make(map[string]peerLoad)}
			p.byID[target.ID] = held
			p.byHash[held.hash] = held
		} else if held.target.Born != target.Born || held.withdrawn {
			held.blocked, held.blocks, held.failures = 0, 0, 0
			held.listed = now
		}
		held.target = target
		held.withdrawn = false
	}
	for id, held := range p.byID {
		switch {
		case listed[id]:
		case !held.withdrawn:
			held.withdrawn = true
			held.dropAt = now + grace
		case now >= held.dropAt && held.own == 0:
			delete(p.byID, id)
			delete(p.byHash, held.hash)
			p.heads.forget(held.hash)
		}
	}
	p.initial.expire(now)
	p.index()
}

func (p *Picture) index() {
	for _, list := range p.services {
		list.targets = list.targets[:0]
	}
	for _, held := range p.byID {
		list := p.services[held.target.Service]
		if list == nil {
			list = &service{}
			p.services[held.target.Service] = list
		}
		list.targets = append(list.targets, held)
	}
}

// Start records that a request is sent to the chosen target. Began tells when its prompt is read, End when it is over.
func (p *Picture) Start(now time.Duration, choice Choice, prompt Prompt) {
	held := p.byID[choice.Target.ID]
	if held == nil {
		return
	}
	held.own++
	held.prefill += choice.Prefill
	if prompt.Key == 0 {
		return
	}
	p.recordPlacement(now, held, prompt, choice.Prefill)
}

// Began records that the target has read the prompt of a request, or will not.
func (p *Picture) Began(choice Choice) {
	if held := p.byID[choice.Target.ID]; held != nil {
		held.prefill = max(held.prefill-choice.Prefill, 0)
	}
}

// End records the end of a request at a target.
func (p *Picture) End(id string, now time.Duration, outcome Outcome, took time.Duration) {
	held := p.byID[id]
	if held == nil {
		return
	}
	held.own = max(held.own-1, 0)
	failure := 0.0
	switch outcome {
	case Neutral, Refused:
		return
	case Good:
		held.blocks, held.blocked = 0, 0
		list := p.services[held.target.Service]
		list.meanDuration += time.Duration(durationWeight * float64(took-list.meanDuration))
	case Unreachable, Crashed:
		held.blocks++
		pause := min(blockBase<<min(held.blocks-1, 8), blockMax)
		held.blocked = now + pause
		failure = 1
	case Failed:
		failure = 1
	}
	held.failures = held.failuresNow(now)*(1-failureWeight) + failure*failureWeight
	held.failuresAt = now
}

// Report records what a target says of its load.
func (p *Picture) Report(id string, now time.Duration, load routes.Load) {
	if held := p.byID[id]; held != nil {
		held.report, held.reportAt, held.reported = load, now, true
	}
}

// PeerLoads records the load that another process has at targets, by the hash of their id. Targets that are not named
// have none.
func (p *Picture) PeerLoads(peer string, now time.Duration, loads map[uint64]Load) {
	for hash, held := range p.byHash {
		if load := loads[hash]; load.total() > 0 {
			held.peers[peer] = peerLoad{Load: load, at: now}
		} else {
			delete(held.peers, peer)
		}
	}
}

// OwnLoads returns the load of this process by the hash of the target's id.
func (p *Picture) OwnLoads() map[uint64]Load {
	loads := make(map[uint64]Load)
	for hash, held := range p.byHash {
		if held.own > 0 {
			loads[hash] = Load{Requests: float64(held.own), Prefill: held.prefill}
		}
	}
	return loads
}

// Count returns the targets that take requests, and all that are listed.
func (p *Picture) Count(now time.Duration) (usable, listed int) {
	for _, held := range p.byID {
		if held.withdrawn {
			continue
		}
		listed++
		if !held.target.Draining && now >= held.blocked {
			usable++
		}
	}
	return usable, listed
}

func (s *targetState) failuresNow(now time.Duration) float64 {
	age := float64(now-s.failuresAt) / float64(failureHalfLife)
	return s.failures * math.Exp2(-age)
}

// load is the target's load by the best knowledge.
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
		if now-peer.noticedAt < peerPrefillLifetime {
			sum.Prefill += peer.noticed
		}
	}
	if s.reported && now-s.reportAt < reportLifetime {
		sum.Requests = max(sum.Requests, float64(s.report.Running+s.report.Waiting))
	}
	return sum
}

// loadAge is the age of the oldest figure that counts in the load.
func (s *targetState) loadAge(now time.Duration) time.Duration {
	oldest := time.Duration(0)
	for _, peer := range s.peers {
		if age := now - peer.at; age < peerLoadLifetime {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

func (s *targetState) slots() float64 { return float64(max(s.target.Slots, 1)) }

// Choose returns the target for a request. The refusal is nil when there is one.
func (p *Picture) Choose(now time.Duration, query Query) (Choice, *Refusal) {
	list := p.services[query.Service]
	if list == nil {
		return Choice{}, &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
	}
	open := p.candidates(now, list, query.Exclude)
	if len(open) == 0 {
		return Choice{}, &Refusal{Reason: reason.NoTarget, RetryAfter: blockBase}
	}
	loads := make([]Load, len(open))
	var mean Load
	for i, candidate := range open {
		loads[i] = candidate.load(now)
		mean.Requests += loads[i].Requests / float64(len(open))
		mean.Prefill += loads[i].Prefill / float64(len(open))
	}
	var best, rank int
	var source string
	prefill := 0.0
	if query.Prompt.Key != 0 {
		having := p.targetsWith(now, query.Prompt.Key)
		best, rank = chooseForPrompt(open, loads, mean, p.multiple, query.Prompt, having)
		spared := query.Prompt.Tokens
		if !slices.Contains(having, open[best]) {
			source, spared = p.source(now, list.targets, open[best], query.Prompt, having)
		}
		prefill = prefillWeight(query.PromptTokens, spared)
	} else {
		best = p.leastLoaded(open, loads, query.Zone)
	}
	if limit := connectionShare * float64(query.MaxConnections); limit > 0 && loads[best].Requests >= limit {
		return Choice{}, &Refusal{Reason: reason.OverLimit, RetryAfter: max(list.meanDuration, blockBase)}
	}
	if wait := expectedWait(open[best], loads[best].total(), list.meanDuration); wait > time.Duration(queueShare*float64(query.Left)) {
		return Choice{}, &Refusal{Reason: reason.OverLimit, RetryAfter: wait / 2}
	}
	return Choice{Prefill: prefill, Target: open[best].target, LoadAge: open[best].loadAge(now), Load: loads[best], Mean: mean.Requests, Rank: rank, Source: source}, nil
}

// candidates returns the targets that may get the request: the healthy ones, else those that failed lately, else those whose
// entry has just gone.
func (p *Picture) candidates(now time.Duration, list *service, exclude []string) []*targetState {
	var healthy, failing, last []*targetState
	sum := 0.0
	for _, held := range list.targets {
		sum += held.failuresNow(now)
	}
	for _, held := range list.targets {
		rate := held.failuresNow(now)
		others := (sum - rate) / float64(max(len(list.targets)-1, 1))
		switch {
		case slices.Contains(exclude, held.target.ID) || held.target.Draining:
		case held.withdrawn:
			if now < held.dropAt {
				last = append(last, held)
			}
		case now < held.blocked:
			last = append(last, held)
		case rate > failureLimit && rate > failureRatio*others:
			failing = append(failing, held)
		default:
			healthy = append(healthy, held)
		}
	}
	if len(healthy) > 0 {
		return healthy
	}
	if len(failing) > 0 {
		return failing
	}
	return last
}

// leastLoaded returns the target with the least load relative to its slots.
func (p *Picture) leastLoaded(open []*targetState, loads []Load, zone string) int {
	best, bestCost := 0, math.Inf(1)
	for i, candidate := range open {
		cost := loads[i].total()/candidate.slots() + tieBreakJitter*p.rng.Float64()
		if candidate.target.Zone != zone {
			cost += remoteZoneCost
		}
		if candidate.target.ColdLeft > 0 {
			cost += remoteZoneCost
		}
		if cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// expectedWait is the time in the target's queue before a request begins.
func expectedWait(s *targetState, load float64, duration time.Duration) time.Duration {
	excess := load + 1 - s.slots()
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess / s.slots() * float64(duration))
}
