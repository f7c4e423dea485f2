// Package routing chooses the target for a request.
//
// A Table is an immutable snapshot for one entry, built by the control goroutine from the catalogue, the view and
// the load digest. Pick reads it without locks and without allocation.
//
// A returning chat goes to the target that holds its prefix unless that target's load costs more than the reuse is
// worth. A new chat goes to the less loaded of its first ranks, which keeps the skew low without a table of chats.
package routing

import (
	"math"
	"sync/atomic"

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

// Candidate is one target of a pool as the entry knows it.
type Candidate struct {
	Target   *catalogue.Target
	Hash     uint64
	Distance Distance
	// Open reports whether the target takes new work.
	Open bool
	// Reported is the load in the last digest.
	Reported int32
	// InFlight counts the entry's own requests at the target.
	InFlight *atomic.Int32
}

// Load returns the best known load: the digest, or the entry's own requests when these are more.
func (c *Candidate) Load() int32 {
	return max(c.Reported, c.InFlight.Load())
}

// Pool is the snapshot of one pool.
type Pool struct {
	Pool       *catalogue.Pool
	Candidates []Candidate
	// Limit is the load up to which targets are offered work.
	Limit int32
	// weights are the rank weights by distance.
	weights [distances]float64
	index   map[string]int
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

// Limit returns the load bound of each target: the multiple of the mean load after one more request, and at most
// the absolute bound.
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

// Tried is the set of candidates that a request has been refused by; it holds the first few positions.
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

// NoHolder is the holder of a chat whose prefix is cached nowhere.
const NoHolder = -1

// choices is the number of first ranks among which load decides for a new chat.
const choices = 2

// ranked is a candidate with its rank score.
type ranked struct {
	position int
	score    uint64
}

// finalists holds the first ranks of each distance.
type finalists [distances][choices]ranked

// Pick returns the position of the target for a chat; holder is the position of the target that holds the chat's
// prefix, or NoHolder. It reports false when no target is open and below the limit.
func (p *Pool) Pick(chat uint64, holder int, tried *Tried) (int, bool) {
	if holder != NoHolder && p.eligible(holder, tried) && p.worthReuse(holder) {
		return holder, true
	}
	var best finalists
	for i := range p.Candidates {
		if p.eligible(i, tried) {
			best.offer(&p.Candidates[i], i, rendezvous.Score(chat, p.Candidates[i].Hash))
		}
	}
	return p.decide(&best, holder == NoHolder)
}

func (p *Pool) eligible(position int, tried *Tried) bool {
	candidate := &p.Candidates[position]
	return candidate.Open && candidate.Load() < p.Limit && !tried.has(position)
}

// worthReuse compares the holder's load with the bound: with a high skew weight a holder is passed over before it
// is at its limit.
func (p *Pool) worthReuse(holder int) bool {
	share := float64(p.Candidates[holder].Load()) / float64(p.Limit)
	return p.Pool.SkewWeight*share <= p.Pool.ReuseWeight+p.Pool.SkewWeight/2
}

// offer inserts a candidate into the ranks of its distance.
func (f *finalists) offer(candidate *Candidate, position int, score uint64) {
	ranks := &f[candidate.Distance]
	entrant := ranked{position, score + 1}
	for i := range ranks {
		if entrant.score > ranks[i].score {
			ranks[i], entrant = entrant, ranks[i]
		}
	}
}

// decide chooses among the finalists: a new chat goes to the less loaded of the first ranks, any other to the first.
func (p *Pool) decide(best *finalists, fresh bool) (int, bool) {
	first, second := -1, -1
	firstScore, secondScore := 0.0, 0.0
	for distance := range best {
		for _, entrant := range best[distance] {
			if entrant.score == 0 {
				continue
			}
			score := weighted(entrant.score, p.weights[distance])
			switch {
			case first < 0 || score > firstScore:
				second, secondScore = first, firstScore
				first, firstScore = entrant.position, score
			case second < 0 || score > secondScore:
				second, secondScore = entrant.position, score
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

// weighted turns a score into a rank value for weighted rendezvous hashing.
func weighted(score uint64, weight float64) float64 {
	unit := (float64(score>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
