package admission

import (
	"math"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// maxCandidates bounds the candidates that a refusal examines, so that its cost doesn't grow with the pool.
const maxCandidates = 16

// Submit decides on a request. It appends to out the outcomes of waiting requests that it starts or refuses in the
// process.
//
// A request whose target is full is refused if, as far as is known, one of its candidates has room; the decision then
// names the targets to try next. Otherwise the request waits, or is refused if it can't be served in time or the queue
// is full.
func (c *Controller) Submit(now time.Duration, req *Request, out []Outcome) (Decision, []Outcome) {
	t, ok := c.targets[req.Target]
	if !ok || t.lost {
		return refuse(reason.NotOwner, 0), out
	}
	if t.cap.Max == 0 {
		return c.refuseWithNext(now, t, req, t.cap.reason()), out
	}
	c.handlePause(now)
	customer := c.customer(now, req.Customer)
	if r, wait := customer.checkLimits(now); r != "" {
		if r == reason.CustomerConcurrency {
			wait = t.service.mean(now) / time.Duration(customer.outstanding+1)
		}
		return refuse(r, wait), out
	}
	if missesDeadline(now, req.Deadline, t.service.lowerBound(now)) {
		return refuse(reason.DeadlineExceeded, 0), out
	}
	out = c.dispatch(now, t, out)
	if t.queue.length == 0 && t.hasRoom(now) {
		customer.acquire()
		return Decision{Verdict: Start, ID: c.start(now, t, customer, req)}, out
	}
	return c.queueOrRefuse(now, t, customer, req, out)
}

func refuse(r reason.Reason, wait time.Duration) Decision {
	return Decision{Reason: r, RetryAfter: retryAfter(wait)}
}

func missesDeadline(now, deadline, needed time.Duration) bool {
	return deadline != 0 && now+needed >= deadline
}

// start counts a new request as in flight.
func (c *Controller) start(now time.Duration, t *target, customer *customer, req *Request) ID {
	i := c.table.alloc()
	r := &c.table.records[i]
	r.target, r.customer, r.deadline = t, customer, req.Deadline
	c.markRunning(now, i)
	return c.table.id(i)
}

// markRunning marks a record as running and counts it in the target's load.
func (c *Controller) markRunning(now time.Duration, i int32) {
	r := &c.table.records[i]
	r.state = running
	r.stateSince = now
	r.target.addRunning(1)
}

// queueOrRefuse queues a request. It refuses it if a candidate should serve it instead, if it can't meet its deadline
// or if the queue is full.
func (c *Controller) queueOrRefuse(now time.Duration, t *target, customer *customer, req *Request, out []Outcome) (Decision, []Outcome) {
	_, full := t.bound(now)
	class := uint8(req.Class.Priority())
	wait := t.estimateWait(now, t.queue.requestsAhead(class, customer))
	if len(req.Candidates) > 0 && wait >= req.MaxTargetWait {
		d := c.refuseWithNext(now, t, req, full)
		if d.nextCount > 0 {
			return d, out
		}
	}
	if missesDeadline(now, req.Deadline, wait+t.service.lowerBound(now)) {
		return refuse(reason.DeadlineExceeded, wait), out
	}
	if t.queue.length >= t.pool.settings.QueueLength {
		victim := noRecord
		if t.queue.length > 0 {
			victim = t.queue.victim(class, customer, t.pool.settings.QueueLength)
		}
		if victim == noRecord {
			return refuse(reason.QueueFull, wait), out
		}
		out = c.refuseWaiting(now, victim, reason.QueueFull, out)
	}
	customer.acquire()
	return Decision{Verdict: Wait, ID: c.enqueue(now, t, customer, req)}, out
}

func (c *Controller) enqueue(now time.Duration, t *target, customer *customer, req *Request) ID {
	i := c.table.alloc()
	r := &c.table.records[i]
	r.state = waiting
	r.class = uint8(req.Class.Priority())
	r.target, r.customer, r.deadline = t, customer, req.Deadline
	r.stateSince = now
	r.expiresAt, r.expiryReason = now+t.pool.settings.QueueWait, reason.QueueTimeout
	if req.MaxTargetWait > 0 && len(req.Candidates) > 0 {
		r.expireBy(now+req.MaxTargetWait, reason.OverLimit)
	}
	if req.Deadline != 0 {
		r.expireBy(req.Deadline-t.service.lowerBound(now), reason.DeadlineExceeded)
	}
	t.queue.push(&c.table, i)
	return c.table.id(i)
}

// refuseWithNext refuses a request and names the least loaded of the candidates that, as far as is known, have room.
func (c *Controller) refuseWithNext(now time.Duration, t *target, req *Request, r reason.Reason) Decision {
	d := refuse(r, t.estimateWait(now, t.queue.length))
	limit := t.pool.limit(now)
	var loads [MaxNext]int
	for _, name := range req.Candidates[:min(len(req.Candidates), maxCandidates)] {
		if name == t.name {
			continue
		}
		load, room := c.loadOf(now, name, limit)
		if room {
			d.insertNext(&loads, name, load)
		}
	}
	if d.nextCount > 0 {
		c.countRedirect(now, d.next[0])
	}
	return d
}

// countRedirect adds a redirected request to the known load of the target that its refusal names first. Without this
// every refusal names the same target until its load is reported again, and the requests that follow wait there while
// other targets have room.
func (c *Controller) countRedirect(now time.Duration, name string) {
	stored, ok := c.targetLoads[name]
	if !ok {
		return
	}
	stored.redirected++
	stored.redirectedAt = now
	c.targetLoads[name] = stored
}

// insertNext inserts a candidate into the next targets, which are sorted by load. Candidates with equal loads stay in
// the caller's order.
func (d *Decision) insertNext(loads *[MaxNext]int, name string, load int) {
	i := d.nextCount
	for i > 0 && loads[i-1] > load {
		i--
	}
	if i == MaxNext {
		return
	}
	copy(d.next[i+1:], d.next[i:])
	copy(loads[i+1:], loads[i:])
	d.next[i], loads[i] = name, load
	d.nextCount = min(d.nextCount+1, MaxNext)
}

// loadOf returns the last known load of a target and whether it is assumed to have room. A target without a recently
// reported load is assumed to have room, but is sorted after the others.
func (c *Controller) loadOf(now time.Duration, name string, limit int) (int, bool) {
	if t, ok := c.targets[name]; ok && !t.lost {
		return t.running, t.queue.length == 0 && t.hasRoom(now)
	}
	stored, ok := c.targetLoads[name]
	if !ok || now-stored.measuredAt >= StaleAfter {
		return math.MaxInt, true
	}
	load := stored.load + stored.redirected
	return load, load < limit
}

// Release ends a request, whether it runs or waits. completed reports that the target completed its response, so that
// its service time is a valid sample. Release appends the outcomes of waiting requests that can start now. Releasing a
// request twice has no effect.
func (c *Controller) Release(now time.Duration, id ID, completed bool, out []Outcome) []Outcome {
	i, ok := c.table.find(id)
	if !ok {
		return out
	}
	r := &c.table.records[i]
	t := r.target
	r.customer.release()
	if r.state == waiting {
		t.queue.remove(&c.table, i)
		c.table.release(i)
		return out
	}
	if completed {
		t.service.add(now, now-r.stateSince)
	}
	t.addRunning(-1)
	c.table.release(i)
	c.removeIfIdle(t)
	return c.dispatch(now, t, out)
}

// dispatch refuses the waiting requests that have expired, and starts others while the target has room.
func (c *Controller) dispatch(now time.Duration, t *target, out []Outcome) []Outcome {
	if t.queue.length == 0 {
		return out
	}
	out = c.expire(now, t, out)
	for t.queue.length > 0 && t.hasRoom(now) {
		i := t.queue.pop(&c.table)
		waited := now - c.table.records[i].stateSince
		c.markRunning(now, i)
		out = append(out, Outcome{ID: c.table.id(i), Started: true, Waited: waited})
	}
	return out
}

// expire refuses the waiting requests of a target that have expired.
func (c *Controller) expire(now time.Duration, t *target, out []Outcome) []Outcome {
	if t.queue.length == 0 || now < t.queue.nextExpiry {
		return out
	}
	earliest := time.Duration(math.MaxInt64)
	c.collectWaiting(t, func(r *record) bool {
		if r.expiresAt > now {
			earliest = min(earliest, r.expiresAt)
			return false
		}
		return true
	})
	for _, i := range c.scratch {
		out = c.refuseWaiting(now, i, c.table.records[i].expiryReason, out)
	}
	t.queue.nextExpiry = earliest
	return out
}

// RefuseWithCandidates returns the refusal of a request that has waited for its MaxTargetWait, with the targets to try
// next.
func (c *Controller) RefuseWithCandidates(now time.Duration, req *Request) Decision {
	t, ok := c.targets[req.Target]
	if !ok || t.lost {
		return refuse(reason.NotOwner, 0)
	}
	return c.refuseWithNext(now, t, req, reason.OverLimit)
}

// expireBy moves the expiry of a waiting request to an earlier time, and has no effect for a later one.
func (r *record) expireBy(at time.Duration, why reason.Reason) {
	if at < r.expiresAt {
		r.expiresAt, r.expiryReason = at, why
	}
}

// collectWaiting fills c.scratch with the indexes of the target's waiting records that match.
func (c *Controller) collectWaiting(t *target, match func(*record) bool) {
	c.scratch = c.scratch[:0]
	for class := range t.queue.classes {
		for _, f := range t.queue.classes[class].flows {
			if f.length == 0 {
				continue
			}
			for i := f.head; i != noRecord; i = c.table.records[i].next {
				if match(&c.table.records[i]) {
					c.scratch = append(c.scratch, i)
				}
			}
		}
	}
}

func (c *Controller) refuseAll(now time.Duration, t *target, why reason.Reason, out []Outcome) []Outcome {
	c.collectWaiting(t, func(*record) bool { return true })
	for _, i := range c.scratch {
		out = c.refuseWaiting(now, i, why, out)
	}
	return out
}

// refuseWaiting removes a waiting request from its queue and appends its refusal to out.
func (c *Controller) refuseWaiting(now time.Duration, i int32, why reason.Reason, out []Outcome) []Outcome {
	r := &c.table.records[i]
	t := r.target
	outcome := Outcome{
		ID:         c.table.id(i),
		Reason:     why,
		RetryAfter: retryAfter(t.estimateWait(now, t.queue.length)),
		Waited:     now - r.stateSince,
	}
	t.queue.remove(&c.table, i)
	r.customer.release()
	c.table.release(i)
	return append(out, outcome)
}

// Tick does the periodic work: it refuses requests that have waited too long, updates the customers' shares, and starts
// requests whose target's limit has risen with the load of its pool. Call it at least every 100 ms: requests can wait
// longer than their bound by the interval between two calls.
func (c *Controller) Tick(now time.Duration, out []Outcome) []Outcome {
	for _, t := range c.sortedTargets {
		out = c.dispatch(now, t, out)
	}
	c.handlePause(now)
	if elapsed := now - c.sharesUpdatedAt; elapsed >= shareInterval {
		c.sharesUpdatedAt = now
		c.updateShares(now, min(elapsed, maxDemandSample))
		c.pruneTargetLoads(now)
	}
	for _, customer := range c.customers {
		if customer.grantCheckDue {
			c.grantReceivers = customer.grantSurplus(now, &c.view, c.grantReceivers)
		}
	}
	return out
}

// handlePause detects a pause of the process. A gate calls Tick every 100 ms, so minPause without a call means that the
// process was paused. After a pause of maxPause the gate gives up its shares, and its epoch, if set, changes.
func (c *Controller) handlePause(now time.Duration) {
	pause := now - c.lastCallAt
	c.lastCallAt = now
	if pause < minPause {
		return
	}
	if pause >= maxPause && c.view.epoch != 0 {
		c.view.epoch++
	}
	for _, customer := range c.customers {
		customer.handlePause(now, pause, &c.view)
	}
}

func (c *Controller) updateShares(now, elapsed time.Duration) {
	c.view.pruneDeparted(now)
	for _, customer := range c.customers {
		customer.updateShares(now, elapsed, &c.view)
	}
}

func (c *Controller) pruneTargetLoads(now time.Duration) {
	for name, load := range c.targetLoads {
		if now-load.measuredAt >= StaleAfter {
			delete(c.targetLoads, name)
		}
	}
}
