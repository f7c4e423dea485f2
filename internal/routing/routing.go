// Package routing chooses the target for a request.
//
// A Table is an immutable snapshot for one entry, built by the control goroutine from the catalogue, the view and
// the load digest. Pick reads it without locks and without allocation.
//
// A returning chat goes to the target that has its prefix cached, and may queue there for a limited time, unless the
// cost of that target's load exceeds the benefit of reuse. A new chat goes to the less loaded of its top-ranked
// targets, which keeps the skew low without a table of chats.
package routing

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Distance orders targets by the cost of the links to them.
type Distance uint8

// Distances from the entry to a target.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion

	distances
)

// Candidate is a target of a pool, with its state as known to the entry.
type Candidate struct {
	Target   *catalogue.Target
	Hash     uint64
	Distance Distance
	// Open reports whether the target accepts new requests.
	Open bool
	// Reported is the load from the last digest.
	Reported int32
	// InFlight counts the entry's own requests at the target.
	InFlight *atomic.Int32
}

// Load returns the larger of the reported load and the number of the entry's own requests in flight.
func (c *Candidate) Load() int32 {
	return max(c.Reported, c.InFlight.Load())
}

// Pool is the snapshot of one pool.
type Pool struct {
	Pool       *catalogue.Pool
	Candidates []Candidate
	// Limit is the load at which targets receive no more requests.
	Limit int32
	// weights are the rank weights by distance.
	weights [distances]float64
	// ranks holds the data that scan reads, by distance. It is separate from the candidates to stay in the CPU cache.
	ranks [distances][]rank
	index map[string]int
}

// rank is the part of a candidate that scan reads.
type rank struct {
	hash     uint64
	position int32
}

// Table is the snapshot of all pools.
type Table struct {
	pools map[string]*Pool
}

// NewTable returns a table of the pools.
func NewTable(pools []*Pool) *Table {
	table := &Table{pools: make(map[string]*Pool, len(pools))}
	for _, pool := range pools {
		table.pools[pool.Pool.Name] = pool
	}
	return table
}

// Pool returns the snapshot of a pool.
func (t *Table) Pool(name string) (*Pool, bool) {
	pool, ok := t.pools[name]
	return pool, ok
}

// NewPool returns the snapshot of a pool and computes its load limit.
func NewPool(pool *catalogue.Pool, candidates []Candidate) *Pool {
	p := &Pool{Pool: pool, Candidates: candidates, index: make(map[string]int, len(candidates))}
	var sum, open int32
	for i := range candidates {
		p.index[candidates[i].Target.Name] = i
		distance := candidates[i].Distance
		p.ranks[distance] = append(p.ranks[distance], rank{hash: candidates[i].Hash, position: int32(i)})
		if candidates[i].Open {
			open++
			sum += candidates[i].Load()
		}
	}
	p.Limit = Limit(pool.LoadMultiple, int(sum), int(open), pool.MaxInFlight)
	p.weights = [distances]float64{
		SameZone:    pool.ZoneWeight * pool.ZoneWeight,
		SameRegion:  pool.ZoneWeight,
		OtherRegion: 1,
	}
	return p
}

// Limit returns the load limit of each target: the multiple of the mean load after one more request, but at most
// the absolute maximum.
func Limit(multiple float64, sum, targets, maximum int) int32 {
	if targets == 0 {
		return 0
	}
	bound := math.Ceil(multiple * float64(sum+1) / float64(targets))
	return int32(min(bound, float64(maximum)))
}

// Index returns the position of a target in the pool.
func (p *Pool) Index(target string) (int, bool) {
	i, ok := p.index[target]
	return i, ok
}

// Tried is the set of candidates that have refused a request. It holds the first eight positions and ignores others.
type Tried struct {
	positions [8]int32
	count     int
}

// Add puts a position into the set.
func (t *Tried) Add(position int) {
	if t.count < len(t.positions) {
		t.positions[t.count] = int32(position)
		t.count++
	}
}

func (t *Tried) has(position int) bool {
	for _, tried := range t.positions[:t.count] {
		if int(tried) == position {
			return true
		}
	}
	return false
}

// NoHolder is the holder position of a chat whose prefix is not cached anywhere.
const NoHolder = -1

// choicesPerDistance is the number of top ranks among which load decides for a new chat.
const choicesPerDistance = 2

// ranked is a candidate with its rank score; a score of zero marks an unused element.
type ranked struct {
	position int
	score    uint64
}

// topRanked holds the top-ranked candidates of each distance, in descending order of score.
type topRanked [distances][choicesPerDistance]ranked

// Pick returns the position of the target for a chat; holder is the position of the target that holds the chat's
// prefix, or NoHolder. A holder at its limit is picked as long as the reuse is worth the wait; its gate decides
// by the expected wait. Pick reports false when no target is open and below the limit.
func (p *Pool) Pick(chat uint64, holder int, tried *Tried) (int, bool) {
	holds := holder != NoHolder && p.Open(holder, tried)
	if holds && p.worthReuse(holder) {
		return holder, true
	}
	var best topRanked
	for distance := range p.ranks {
		p.scan(p.ranks[distance], chat, holder, tried, &best[distance])
	}
	if position, ok := p.chooseRanked(&best, holder == NoHolder); ok {
		return position, true
	}
	return holder, holds && p.eligible(holder, tried)
}

// Open reports whether a target accepts new requests and has not been tried.
func (p *Pool) Open(position int, tried *Tried) bool {
	return p.Candidates[position].Open && !tried.has(position)
}

// LeastLoaded returns the open target with the least load, for a request that has to queue because every
// target is at its limit. It reports false when no target is open.
func (p *Pool) LeastLoaded(chat uint64, tried *Tried) (int, bool) {
	best := -1
	var bestLoad int32
	var bestScore uint64
	for i := range p.Candidates {
		if !p.Open(i, tried) {
			continue
		}
		load := p.Candidates[i].Load()
		score := rendezvous.Score(chat, p.Candidates[i].Hash)
		if best < 0 || load < bestLoad || (load == bestLoad && score > bestScore) {
			best, bestLoad, bestScore = i, load, score
		}
	}
	return best, best >= 0
}

// Alternatives returns the names of at most limit open targets that have not been tried. Chats start at different
// positions in the pool: a gate picks the first of equally loaded targets, so this spreads chats over all of them.
func (p *Pool) Alternatives(chat uint64, limit int, tried *Tried) []string {
	var names []string
	count := len(p.Candidates)
	for i := range count {
		if len(names) == limit {
			break
		}
		position := (int(chat%uint64(count)) + i) % count
		if p.Open(position, tried) {
			names = append(names, p.Candidates[position].Target.Name)
		}
	}
	return names
}

func (p *Pool) eligible(position int, tried *Tried) bool {
	candidate := &p.Candidates[position]
	return candidate.Open && candidate.Load() < p.Limit && !tried.has(position)
}

// worthReuse compares the holder's load with the limit: with a high skew weight a holder is skipped before it is at its
// limit, with a low one it may have queued requests.
func (p *Pool) worthReuse(holder int) bool {
	share := float64(p.Candidates[holder].Load()) / float64(p.Limit)
	return p.Pool.SkewWeight*share <= p.Pool.ReuseWeight+p.Pool.SkewWeight/2
}

// holderWaitShare is the fraction of the queue wait that a returning chat spends at its holder. Waiting does not load
// the target, so it adds no skew; the rest is left for queueing at another target.
const holderWaitShare = 2.0 / 3

// HolderWait returns how long a returning chat queues at its holder before it tries another target.
func (p *Pool) HolderWait() time.Duration {
	if p.Pool.ReuseWeight <= 0 {
		return 0
	}
	return time.Duration(float64(p.Pool.QueueWait) * holderWaitShare)
}

// scan finds the top-ranked candidates of one distance. Few candidates reach the top ranks, so the score is compared
// before the load is read.
func (p *Pool) scan(ranks []rank, chat uint64, holder int, tried *Tried, best *[choicesPerDistance]ranked) {
	last := uint64(0)
	for i := range ranks {
		score := rendezvous.Score(chat, ranks[i].hash)
		if score <= last {
			continue
		}
		position := int(ranks[i].position)
		if position == holder || !p.eligible(position, tried) {
			continue
		}
		insert(best, ranked{position, score})
		last = best[choicesPerDistance-1].score
	}
}

// insert inserts a candidate in order of score and drops the last one.
func insert(best *[choicesPerDistance]ranked, candidate ranked) {
	for i := range best {
		if candidate.score > best[i].score {
			best[i], candidate = candidate, best[i]
		}
	}
}

// chooseRanked selects among the top-ranked candidates: a new chat goes to the less loaded of the first two, any other
// chat to the first.
func (p *Pool) chooseRanked(best *topRanked, fresh bool) (int, bool) {
	first, second := -1, -1
	firstScore, secondScore := 0.0, 0.0
	for distance := range best {
		for _, candidate := range best[distance] {
			if candidate.score == 0 {
				continue
			}
			score := rendezvous.Weighted(candidate.score, p.weights[distance])
			switch {
			case first < 0 || score > firstScore:
				second, secondScore = first, firstScore
				first, firstScore = candidate.position, score
			case second < 0 || score > secondScore:
				second, secondScore = candidate.position, score
			}
		}
	}
	if first < 0 {
		return 0, false
	}
	if fresh && second >= 0 && p.Candidates[second].Load() < p.Candidates[first].Load() {
		return second, true
	}
	return first, true
}
