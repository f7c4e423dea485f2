package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Cluster is what a policy sees of a pool in simulated time.
type Cluster struct {
	Pool *Pool
	// Load is each target's exact load, which only its owner knows.
	Load []int
	// Reported is each target's load at the last report.
	Reported []int
	// Open says which targets take new work.
	Open []bool

	zone    []string
	cutZone string
	hashes  []uint64
}

func newCluster(pool *Pool) *Cluster {
	n := len(pool.Targets)
	c := &Cluster{Pool: pool, Load: make([]int, n), Reported: make([]int, n), Open: make([]bool, n)}
	for i, target := range pool.Targets {
		c.Open[i] = !target.Absent
		c.zone = append(c.zone, target.Zone)
		c.hashes = append(c.hashes, rendezvous.Hash(target.Name))
	}
	return c
}

// connected reports whether two zones reach each other.
func (c *Cluster) connected(zone, other string) bool {
	return c.cutZone == "" || (zone == c.cutZone) == (other == c.cutZone)
}

// zones returns the zones of the targets, sorted.
func (c *Cluster) zones() []string {
	zones := slices.Clone(c.zone)
	slices.Sort(zones)
	return slices.Compact(zones)
}

// Reachable reports whether a target takes new work from an entry's zone.
func (c *Cluster) Reachable(target int, zone string) bool {
	if !c.Open[target] {
		return false
	}
	return c.connected(c.zone[target], zone)
}

// Limit is the load limit by the last reports.
func (c *Cluster) Limit() int { return c.limitOf(c.Reported) }

// exactLimit is the load limit by the loads of now.
func (c *Cluster) exactLimit() int { return c.limitOf(c.Load) }

func (c *Cluster) limitOf(loads []int) int {
	total, open := 0, 0
	for i, load := range loads {
		if c.Open[i] {
			total += load
			open++
		}
	}
	return int(loadLimit(c.Pool.LoadMultiple, float64(total), max(1, open)))
}

// Ask is a turn that needs a target.
type Ask struct {
	Now  time.Duration
	Chat string
	Zone string
	// Customer is the chat's customer.
	Customer string
	// cached returns the prompt blocks that a target holds; no real router knows this.
	cached func(target int) int
}

// Policy chooses a target for each turn.
type Policy interface {
	// Pick returns a target, or false when the turn has to wait.
	Pick(ask Ask, cluster *Cluster) (int, bool)
}

// reporter is a policy that uses reports of load.
type reporter interface {
	Reports(now time.Duration, cluster *Cluster)
}

// queuer is a policy whose turns may wait for a target.
type queuer interface {
	Start(cluster *Cluster, customers []Customer)
	// Submit calls done once, now or later: with a target, or when the turn is refused.
	Submit(ask Ask, cluster *Cluster, done func(target int, ok bool))
	// Began is called when a turn's first token arrives.
	Began(ask Ask, target int)
	// Tick is called every simulatedTick.
	Tick(now time.Duration)
}

// tracker is a policy that is told when a turn ends at a target.
type tracker interface {
	Ended(ask Ask, target int)
}

// policies make each policy by name.
var policies = map[string]func(seed uint64) Policy{
	"random":             func(seed uint64) Policy { return &randomPolicy{rand.New(rand.NewPCG(seed, 1))} },
	"round_robin":        func(uint64) Policy { return &roundRobin{} },
	"least_load":         func(seed uint64) Policy { return &leastLoad{rand.New(rand.NewPCG(seed, 2))} },
	"rendezvous":         func(uint64) Policy { return &rendezvousPolicy{} },
	"rendezvous_bounded": func(uint64) Policy { return &rendezvousPolicy{bounded: true} },
	"oracle":             func(uint64) Policy { return &oraclePolicy{} },
	"oracle_bounded":     func(uint64) Policy { return &oraclePolicy{bounded: true} },
	"fleet":              func(uint64) Policy { return newFleetPolicy() },
}

// Policies lists the names of all policies.
func Policies() []string {
	names := make([]string, 0, len(policies))
	for name := range policies {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// randomPolicy picks any reachable target.
type randomPolicy struct{ random *rand.Rand }

func (p *randomPolicy) Pick(ask Ask, cluster *Cluster) (int, bool) {
	reachable := cluster.reachable(ask.Zone)
	if len(reachable) == 0 {
		return 0, false
	}
	return reachable[p.random.IntN(len(reachable))], true
}

func (c *Cluster) reachable(zone string) []int {
	var reachable []int
	for i := range c.Load {
		if c.Reachable(i, zone) {
			reachable = append(reachable, i)
		}
	}
	return reachable
}

// roundRobin picks the reachable targets in turn.
type roundRobin struct{ next int }

func (p *roundRobin) Pick(ask Ask, cluster *Cluster) (int, bool) {
	for range cluster.Load {
		target := p.next % len(cluster.Load)
		p.next++
		if cluster.Reachable(target, ask.Zone) {
			return target, true
		}
	}
	return 0, false
}

// leastLoad picks a target with the least reported load; ties are broken at random.
type leastLoad struct{ random *rand.Rand }

func (p *leastLoad) Pick(ask Ask, cluster *Cluster) (int, bool) {
	var best []int
	for _, target := range cluster.reachable(ask.Zone) {
		switch {
		case len(best) == 0 || cluster.Reported[target] < cluster.Reported[best[0]]:
			best = append(best[:0], target)
		case cluster.Reported[target] == cluster.Reported[best[0]]:
			best = append(best, target)
		}
	}
	if len(best) == 0 {
		return 0, false
	}
	return best[p.random.IntN(len(best))], true
}

// rendezvousPolicy picks the target with the highest rendezvous score for the chat; when bounded, among those
// below the load limit.
type rendezvousPolicy struct{ bounded bool }

func (p *rendezvousPolicy) Pick(ask Ask, cluster *Cluster) (int, bool) {
	key := rendezvous.Hash(ask.Chat)
	limit := cluster.Limit()
	best, bestScore, found := 0, uint64(0), false
	for _, target := range cluster.reachable(ask.Zone) {
		if p.bounded && cluster.Load[target] >= limit {
			continue
		}
		if score := rendezvous.Score(key, cluster.hashes[target]); !found || score > bestScore {
			best, bestScore, found = target, score, true
		}
	}
	return best, found
}

// oraclePolicy knows the cache of every target and picks the one that holds the most of the prompt, the least loaded
// of equals; when bounded, among those below the limit by exact loads. It shows how much of the measure "of_oracle"
// placement of one turn after the other can reach.
type oraclePolicy struct{ bounded bool }

func (p *oraclePolicy) Pick(ask Ask, cluster *Cluster) (int, bool) {
	best, bestCached, found := 0, 0, false
	for _, target := range cluster.reachable(ask.Zone) {
		if p.bounded && cluster.Load[target] >= cluster.exactLimit() {
			continue
		}
		cached := ask.cached(target)
		if !found || cached > bestCached || (cached == bestCached && cluster.Load[target] < cluster.Load[best]) {
			best, bestCached, found = target, cached, true
		}
	}
	return best, found
}

// Baselines runs every policy but the named one.
func Baselines(t *Trace, except string, seed uint64) (map[string]*Measures, error) {
	baselines := make(map[string]*Measures)
	for _, policy := range Policies() {
		if policy == except {
			continue
		}
		measures, err := Simulate(t, policy, seed)
		if err != nil {
			return nil, err
		}
		baselines[policy] = measures
	}
	return baselines, nil
}
