package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

const (
	// maxGates bounds the other gates in the view, and the stored usages per customer.
	maxGates = 1024
	// maxTargetLoads bounds the stored loads of other gates' targets.
	maxTargetLoads = 8192
	// redirectTransit is the assumed time for a redirected request to reach the next gate.
	redirectTransit = 20 * time.Millisecond
)

// targetLoad is the last known load of another gate's target.
type targetLoad struct {
	load       int
	measuredAt time.Duration
	// redirected counts the requests that refusals have redirected to the target and that load may not include yet.
	redirected   int
	redirectedAt time.Duration
}

// update stores a newer load. A load measured after the last redirect already includes the redirected requests.
func (l *targetLoad) update(load int, measuredAt time.Duration) {
	l.load, l.measuredAt = load, measuredAt
	if l.redirected > 0 && measuredAt >= l.redirectedAt+redirectTransit {
		l.redirected = 0
	}
}

// Controller admits requests to the targets of one gate. It is not safe for concurrent use.
type Controller struct {
	gate          string
	pools         map[string]*pool
	targets       map[string]*target
	sortedTargets []*target // sorted by name, so that runs with equal input are equal
	customers     map[string]*customer
	// unknownCustomer accounts for the requests of customers that are missing from this gate's catalogue.
	unknownCustomer *customer
	view            gateView
	targetLoads     map[string]targetLoad
	table           table

	sharesUpdatedAt time.Duration
	// grantReceivers are the gates to which grants have been issued since the last TakeGrantReceivers.
	grantReceivers []string
	// lastCallAt is the time of the last call.
	lastCallAt time.Duration
	scratch    []int32 // reused by collectWaiting
}

// New returns a Controller for the named gate.
func New(gate string) *Controller {
	return &Controller{
		gate:            gate,
		pools:           make(map[string]*pool),
		targets:         make(map[string]*target),
		customers:       make(map[string]*customer),
		unknownCustomer: &customer{settings: Customer{Weight: 1}},
		view:            gateView{departed: make(map[string]time.Duration)},
		targetLoads:     make(map[string]targetLoad),
		table:           newTable(),
	}
}

// SetPools replaces the settings of all pools. A removed pool is kept until its last target is removed.
func (c *Controller) SetPools(pools []Pool) {
	configured := make(map[string]bool, len(pools))
	for _, settings := range pools {
		configured[settings.Name] = true
		if p, ok := c.pools[settings.Name]; ok {
			p.settings = settings
			continue
		}
		c.pools[settings.Name] = newPool(settings)
	}
	for name, p := range c.pools {
		if !configured[name] && !slices.ContainsFunc(c.sortedTargets, func(t *target) bool { return t.pool == p }) {
			delete(c.pools, name)
		}
	}
}

// SetEpoch sets the epoch of this gate's shares, a random number chosen by the process. Without an epoch the gate
// neither issues nor accepts grants.
func (c *Controller) SetEpoch(epoch uint64) { c.view.epoch = epoch }

// Epoch returns the epoch of this gate's shares.
func (c *Controller) Epoch() uint64 { return c.view.epoch }

// SetCustomers replaces the settings of all customers. At startup, call SetGates and SetUsage before the first Submit
// or Tick, because the first Submit or Tick sets the initial shares.
func (c *Controller) SetCustomers(customers []Customer) {
	previous := c.customers
	c.customers = make(map[string]*customer, len(customers))
	for _, settings := range customers {
		existing, ok := previous[settings.Name]
		if !ok {
			existing = &customer{tokens: 1}
		}
		existing.settings = settings
		c.customers[settings.Name] = existing
	}
}

// SetGates replaces the list of the other gates. The list must contain each gate whose process may be running,
// reachable or not: the share of a gate that is no longer listed is divided among the others after 10 s.
func (c *Controller) SetGates(now time.Duration, gates []string) {
	var others []string
	for _, gate := range gates {
		if gate != c.gate && len(others) < maxGates {
			others = append(others, gate)
		}
	}
	slices.Sort(others)
	c.view.set(now, slices.Compact(others))
}

// SetUsage stores the usage of a customer at another gate.
func (c *Controller) SetUsage(now time.Duration, usage Usage) {
	customer, ok := c.customers[usage.Customer]
	if !ok || usage.Gate == c.gate {
		return
	}
	c.handlePause(now)
	customer.setUsage(now, &c.view, usage)
}

// TakeGrantReceivers returns the gates to which this gate has issued grants since the last call. Send them the usage at
// once: no gate can use a grant while it is in transit.
func (c *Controller) TakeGrantReceivers() []string {
	receivers := c.grantReceivers
	c.grantReceivers = nil
	return receivers
}

// SetPoolDigest stores the load digest of a pool at another gate. This gate's own digests are ignored: it knows its
// load exactly.
func (c *Controller) SetPoolDigest(now time.Duration, digest PoolDigest) {
	if p, ok := c.pools[digest.Pool]; ok && digest.Gate != c.gate {
		p.setDigest(now, digest)
	}
}

// PoolLoads returns this gate's own load digests of a pool, one for each zone.
func (c *Controller) PoolLoads(pool string) []PoolDigest {
	var s Snapshot
	for _, t := range c.sortedTargets {
		if t.pool.settings.Name == pool {
			s.addLoad(c.gate, t)
		}
	}
	return s.Digests
}

// AcceptLoads stores load digests of other gates that arrived with a request, and starts the waiting requests that a
// raised limit permits.
func (c *Controller) AcceptLoads(now time.Duration, pool string, digests []PoolDigest, out []Outcome) []Outcome {
	for _, digest := range digests {
		digest.Pool = pool
		c.SetPoolDigest(now, digest)
	}
	for _, t := range c.sortedTargets {
		if t.queue.length > 0 && t.pool.settings.Name == pool {
			out = c.dispatch(now, t, out)
		}
	}
	return out
}

// RemoveGate removes the load digests of a gate whose targets have other owners now.
func (c *Controller) RemoveGate(gate string) {
	for _, p := range c.pools {
		p.removeGate(gate)
	}
}

// SetTargetLoad stores the load of another gate's target. Decision.Next is ordered by these loads.
func (c *Controller) SetTargetLoad(now time.Duration, target string, load int, age time.Duration) {
	stored, ok := c.targetLoads[target]
	if !ok && len(c.targetLoads) >= maxTargetLoads {
		return
	}
	if !ok || stored.measuredAt < now-age {
		stored.update(load, now-age)
		c.targetLoads[target] = stored
	}
}

// SetTarget makes the gate an owner of the target. The target admits nothing until SetCap. SetTarget reports whether
// the pool exists.
func (c *Controller) SetTarget(name, zone, poolName string) bool {
	p, ok := c.pools[poolName]
	if !ok {
		return false
	}
	t, ok := c.targets[name]
	if !ok {
		t = &target{name: name, lost: true, pool: p}
		c.targets[name] = t
		c.sortedTargets = append(c.sortedTargets, t)
		slices.SortFunc(c.sortedTargets, func(a, b *target) int { return strings.Compare(a.name, b.name) })
	}
	t.attach(p)
	t.zone = zone
	if t.lost {
		t.lost, t.unloaded = false, false
		t.cap = NoAdmission(reason.NotOwner)
		p.ownedTargets++
	}
	return true
}

// SetCap sets the cap of a target. With reason.ModelNotLoaded the target is also excluded from the pool's mean load. If
// the cap stops admission, SetCap refuses the waiting requests; otherwise it starts those that the cap permits.
func (c *Controller) SetCap(now time.Duration, name string, limit Cap, out []Outcome) []Outcome {
	t, ok := c.targets[name]
	if !ok || t.lost {
		return out
	}
	t.cap = limit
	t.setUnloaded(limit.Reason == reason.ModelNotLoaded)
	if limit.Max == 0 {
		return c.refuseAll(now, t, limit.reason(), out)
	}
	return c.dispatch(now, t, out)
}

// DropTarget ends the ownership of a target and refuses its waiting requests. Requests in flight still count in the
// pool's load, unless the reason is reason.TargetLeaving: then the target has left the pool.
func (c *Controller) DropTarget(now time.Duration, name string, r reason.Reason, out []Outcome) []Outcome {
	t, ok := c.targets[name]
	if !ok || t.lost {
		return out
	}
	out = c.refuseAll(now, t, r, out)
	if t.inMean() {
		t.pool.ownedTargets--
	}
	t.lost = true
	if r == reason.TargetLeaving {
		t.detach()
	}
	c.removeIfIdle(t)
	return out
}

// removeIfIdle removes a target that is no longer owned once it has no requests in flight.
func (c *Controller) removeIfIdle(t *target) {
	if !t.lost || t.running > 0 {
		return
	}
	delete(c.targets, t.name)
	c.sortedTargets = slices.DeleteFunc(c.sortedTargets, func(other *target) bool { return other == t })
}

// customer returns a customer by name, or unknownCustomer, and sets its initial shares if needed.
func (c *Controller) customer(now time.Duration, name string) *customer {
	customer, ok := c.customers[name]
	if !ok {
		return c.unknownCustomer
	}
	customer.startShares(now, &c.view)
	return customer
}
