package admission

import (
	"cmp"
	"slices"
	"time"
)

// TargetStatus describes one target.
type TargetStatus struct {
	Target   string
	Pool     string
	InFlight int
	Waiting  int
	Limit    int // load limit
	Bound    int // load limit and cap
	// Lost says that the gate no longer owns the target, but has requests in flight there.
	Lost bool
}

// CustomerStatus describes one customer.
type CustomerStatus struct {
	Customer    string
	Outstanding int
	// RateLimit and ConcurrencyLimit are this gate's parts of the fleet-wide limits; 0 is unlimited.
	RateLimit        float64
	ConcurrencyLimit int
}

// Snapshot is a copy of a Controller's state for heartbeats, metrics and `amaranthctl status`.
type Snapshot struct {
	Targets   []TargetStatus
	Customers []CustomerStatus
	// Digests hold this gate's load per pool and zone, for the other gates.
	Digests []PoolDigest
	Waiting int
	Running int
}

// Snapshot copies the state.
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

// addLoad adds a target to the digest of its pool and zone.
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

// Uses returns the customers' use at this gate, for the other gates.
func (c *Controller) Uses() []Use {
	var uses []Use
	for _, customer := range c.customers {
		use := customer.usage(c.lastCallAt, c.gate, c.view.epoch)
		if use.Rate.Known || use.InFlight.Known {
			uses = append(uses, use)
		}
	}
	slices.SortFunc(uses, func(a, b Use) int { return cmp.Compare(a.Customer, b.Customer) })
	return uses
}

// Limit returns the load limit of a target, without its cap, and false when the gate does not own it.
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
	// Deadline is when the last of them ends at the latest; 0 means that it is not known.
	Deadline time.Duration
}

// InFlight returns the requests in flight at a target by customer, for a handover.
func (c *Controller) InFlight(name string) []CustomerCount {
	t, ok := c.targets[name]
	if !ok {
		return nil
	}
	counts := make(map[string]CustomerCount)
	add := func(customer string, count int, deadline time.Duration) {
		known, ok := counts[customer]
		if ok && (known.Deadline == 0 || deadline == 0) {
			deadline = 0
		}
		if deadline != 0 {
			deadline = max(known.Deadline, deadline)
		}
		counts[customer] = CustomerCount{customer, known.Count + count, deadline}
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
