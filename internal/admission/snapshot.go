package admission

import (
	"cmp"
	"slices"
	"time"
)

// TargetStatus is the status of one target.
type TargetStatus struct {
	Target   string
	Pool     string
	InFlight int
	Waiting  int
	Limit    int // load limit, without the cap
	Bound    int // the lower of load limit and cap
	// Lost is set if the gate no longer owns the target but still has requests in flight there.
	Lost bool
}

// CustomerStatus is the status of one customer at this gate.
type CustomerStatus struct {
	Customer    string
	Outstanding int
	// RateLimit and ConcurrencyLimit are this gate's shares of the fleet-wide limits, in requests/s and requests. 0 means
	// unlimited.
	RateLimit        float64
	ConcurrencyLimit int
}

// Snapshot is a copy of a Controller's state for heartbeats, metrics and `amaranthctl status`.
type Snapshot struct {
	Targets   []TargetStatus
	Customers []CustomerStatus
	// Digests hold this gate's load for each pool and zone, to be sent to the other gates.
	Digests []PoolDigest
	Waiting int
	Running int
}

// Snapshot returns a copy of the state.
func (c *Controller) Snapshot(now time.Duration) Snapshot {
	var s Snapshot
	for _, t := range c.sortedTargets {
		status := t.status(now)
		s.Targets = append(s.Targets, status)
		s.Waiting += status.Waiting
		s.Running += t.running
		s.addLoad(c.gate, t)
	}
	for name, customer := range c.customers {
		s.Customers = append(s.Customers, CustomerStatus{name, customer.outstanding, customer.rate(), customer.concurrent()})
	}
	slices.SortFunc(s.Customers, func(a, b CustomerStatus) int { return cmp.Compare(a.Customer, b.Customer) })
	return s
}

func (t *target) status(now time.Duration) TargetStatus {
	bound, _ := t.bound(now)
	return TargetStatus{
		Target:   t.name,
		Pool:     t.pool.settings.Name,
		InFlight: t.running,
		Waiting:  t.queue.length,
		Limit:    t.pool.limit(now),
		Bound:    bound,
		Lost:     t.lost,
	}
}

// addLoad adds a target's load to the digest of its pool and zone.
func (s *Snapshot) addLoad(gate string, t *target) {
	name := t.pool.settings.Name
	i := slices.IndexFunc(s.Digests, func(d PoolDigest) bool { return d.Pool == name && d.Zone == t.zone })
	if i < 0 {
		i = len(s.Digests)
		s.Digests = append(s.Digests, PoolDigest{Pool: name, Zone: t.zone, Gate: gate})
	}
	s.Digests[i].Load += t.running
	if t.inMean() {
		s.Digests[i].Targets++
	}
}

// Usages returns the customers' usage at this gate, to be sent to the other gates.
func (c *Controller) Usages() []Usage {
	var usages []Usage
	for _, customer := range c.customers {
		usage := customer.usage(c.lastCallAt, c.gate, c.view.epoch)
		if usage.Rate.Enforced || usage.InFlight.Enforced {
			usages = append(usages, usage)
		}
	}
	slices.SortFunc(usages, func(a, b Usage) int { return cmp.Compare(a.Customer, b.Customer) })
	return usages
}

// Limit returns the load limit of a target, without its cap, and false if the gate does not own the target.
func (c *Controller) Limit(now time.Duration, name string) (int, bool) {
	t, ok := c.targets[name]
	if !ok || t.lost {
		return 0, false
	}
	return t.pool.limit(now), true
}

// CustomerCount counts the requests in flight of one customer at one target.
type CustomerCount struct {
	Customer string
	Count    int
	// Deadline is the latest deadline of these requests; 0 means that at least one has none.
	Deadline time.Duration
}

// InFlight returns the requests in flight at a target by customer. A handover passes them to the next owner.
func (c *Controller) InFlight(name string) []CustomerCount {
	t, ok := c.targets[name]
	if !ok {
		return nil
	}
	counts := make(map[string]CustomerCount)
	add := func(customer string, count int, deadline time.Duration) {
		previous, ok := counts[customer]
		if ok && (previous.Deadline == 0 || deadline == 0) {
			deadline = 0
		}
		if deadline != 0 {
			deadline = max(previous.Deadline, deadline)
		}
		counts[customer] = CustomerCount{customer, previous.Count + count, deadline}
	}
	for i := range c.table.records {
		r := &c.table.records[i]
		if r.state == running && r.target == t {
			add(r.customer.settings.Name, 1, r.deadline)
		}
	}
	list := make([]CustomerCount, 0, len(counts))
	for _, count := range counts {
		list = append(list, count)
	}
	slices.SortFunc(list, func(a, b CustomerCount) int { return cmp.Compare(a.Customer, b.Customer) })
	return list
}
