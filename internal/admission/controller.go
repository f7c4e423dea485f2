package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

const (
	// maxGates bounds the gates whose use is kept per customer.
	maxGates = 1024
	// maxTargetLoads bounds the loads of other gates' targets.
	maxTargetLoads = 8192
	// redirectTransit is the assumed time for a redirected request to reach the next gate.
	redirectTransit = 20 * time.Millisecond
)

// targetLoad is the last known load of another gate's target.
type targetLoad struct {
	load       int
	measuredAt time.Duration
	// redirected counts the requests that refusals have sent to the target and that the load may lack.
	redirected   int
	redirectedAt time.Duration
}

// update stores a newer load. One measured after the last redirect already includes the redirected requests.
func (l *targetLoad) update(load int, measured time.Duration) {
	l.load, l.measuredAt = load, measured
	if l.redirected > 0 && measured >= l.redirectedAt+redirectTransit {
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
	// unknownCustomer counts requests of customers that this gate's catalogue lacks so far.
	unknownCustomer *customer
	view            gateView
	targetLoads     map[string]targetLoad
	table           table

	sharesUpdatedAt time.Duration
	// grantReceivers are the gates that have received grants since the last TakeReceivers.
	grantReceivers []string
	// lastCallAt is the last time that the controller was called.
	lastCallAt time.Duration
	scratch    []int32
}

// New returns a Controller for the gate with the name.
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

// SetPools replaces the settings of all pools. A pool that is gone is kept while a target of it is.
func (c *Controller) SetPools(pools []Pool) {
	named := make(map[string]bool, len(pools))
	for _, settings := range pools {
		named[settings.Name] = true
		if p, ok := c.pools[settings.Name]; ok {
			p.settings = settings
			continue
		}
		c.pools[settings.Name] = newPool(settings)
	}
	for name, p := range c.pools {
		if !named[name] && !slices.ContainsFunc(c.sortedTargets, func(t *target) bool { return t.pool == p }) {
			delete(c.pools, name)
		}
	}
}

// SetEpoch sets the epoch of this gate's shares, a random number of the process. Without one the gate neither gives nor
// takes parts of a limit.
func (c *Controller) SetEpoch(epoch uint64) { c.view.epoch = epoch }

// Epoch returns the epoch of this gate's shares.
func (c *Controller) Epoch() uint64 { return c.view.epoch }

// SetCustomers replaces the settings of all customers. At a start, call SetGates and SetUse before the first Submit
// or Tick, which set the first shares.
func (c *Controller) SetCustomers(customers []Customer) {
	previous := c.customers
	c.customers = make(map[string]*customer, len(customers))
	for _, settings := range customers {
		known, ok := previous[settings.Name]
		if !ok {
			known = &customer{tokens: 1}
		}
		known.settings = settings
		c.customers[settings.Name] = known
	}
}

// SetGates replaces the names of the other gates. It must name each gate whose process may be running, whether or
// not it is reachable: the share of a gate that it no longer names is divided among the others after 10 s.
func (c *Controller) SetGates(now time.Duration, gates []string) {
	var live []string
	for _, gate := range gates {
		if gate != c.gate && len(live) < maxGates {
			live = append(live, gate)
		}
	}
	slices.Sort(live)
	c.view.set(now, slices.Compact(live))
}

// SetUse stores the usage of a customer at another gate.
func (c *Controller) SetUse(now time.Duration, use Use) {
	known, ok := c.customers[use.Customer]
	if !ok || use.Gate == c.gate {
		return
	}
	c.handlePause(now)
	known.setUsage(now, &c.view, use)
}

// TakeReceivers returns the gates to which this one has granted parts of limits since the last call. They should get
// the uses at once: a grant in transit is used by no gate.
func (c *Controller) TakeReceivers() []string {
	receivers := c.grantReceivers
	c.grantReceivers = nil
	return receivers
}

// SetPoolDigest stores the load of a pool at another gate. Figures of this gate's own are ignored: it knows
// them exactly.
func (c *Controller) SetPoolDigest(now time.Duration, d PoolDigest) {
	if p, ok := c.pools[d.Pool]; ok && d.Gate != c.gate {
		p.setDigest(now, d)
	}
}

// PoolLoads returns this gate's own digests of a pool, one for each zone.
func (c *Controller) PoolLoads(pool string) []PoolDigest {
	var s Snapshot
	for _, t := range c.sortedTargets {
		if t.pool.settings.Name == pool {
			s.addLoad(c.gate, t)
		}
	}
	return s.Digests
}

// AcceptLoads stores loads of other gates that arrived with a request, and starts the waiting requests that the
// higher limit permits.
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

// RemoveGate drops the digests of a gate whose targets have other owners now.
func (c *Controller) RemoveGate(gate string) {
	for _, p := range c.pools {
		p.removeGate(gate)
	}
}

// SetTargetLoad stores the load of another gate's target, for the order of Decision.Next.
func (c *Controller) SetTargetLoad(now time.Duration, target string, load int, age time.Duration) {
	known, ok := c.targetLoads[target]
	if !ok && len(c.targetLoads) >= maxTargetLoads {
		return
	}
	if !ok || known.measuredAt < now-age {
		known.update(load, now-age)
		c.targetLoads[target] = known
	}
}

// SetTarget makes the gate an owner of the target, without permission to admit until SetCap. It reports whether the
// pool is known.
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
		t.cap = None(reason.NotOwner)
		p.owned++
	}
	return true
}

// SetCap sets the permission for a target. With reason.ModelNotLoaded the target also leaves the pool's mean. It
// refuses the waiting requests of a target that gets no new work, and starts those that a raised cap permits.
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

// DropTarget ends ownership of a target and refuses its waiting requests. Those in flight still count in the load of
// the pool, unless the reason is reason.TargetLeaving: then the target has left the pool.
func (c *Controller) DropTarget(now time.Duration, name string, r reason.Reason, out []Outcome) []Outcome {
	t, ok := c.targets[name]
	if !ok || t.lost {
		return out
	}
	out = c.refuseAll(now, t, r, out)
	if t.inMean() {
		t.pool.owned--
	}
	t.lost = true
	if r == reason.TargetLeaving {
		t.detach()
	}
	c.removeIfIdle(t)
	return out
}

// removeIfIdle drops a lost target once it has no requests in flight.
func (c *Controller) removeIfIdle(t *target) {
	if !t.lost || t.running > 0 {
		return
	}
	delete(c.targets, t.name)
	c.sortedTargets = slices.DeleteFunc(c.sortedTargets, func(other *target) bool { return other == t })
}

// customer returns the record of a customer.
func (c *Controller) customer(now time.Duration, name string) *customer {
	known, ok := c.customers[name]
	if !ok {
		return c.unknownCustomer
	}
	known.startShares(now, &c.view)
	return known
}
