package gate

import (
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
)

const (
	// abandonedRunLifetime is how long a request whose caller has disconnected may still run at its target; engines keep
	// generating for a possible resume for about that long.
	abandonedRunLifetime = 10 * time.Second
	// unresolvedRunLifetime is how long a request whose target stopped answering waits for the target's next report.
	unresolvedRunLifetime = time.Minute
)

// process is the known state of the process behind a target.
type process struct {
	incarnation uint64
	// since and seen are the times at which the first and the last report with this incarnation were requested.
	since time.Duration
	seen  time.Duration
	// previous is the preceding incarnation, or 0 if none was observed.
	previous uint64
}

// trackedRun is a request that this gate has sent to a target.
type trackedRun struct {
	digest  crashguard.Digest
	target  string
	started time.Duration
	// broken is set when the connection broke and the target has not answered since.
	broken bool
	// expires is set when the request has ended here but may still run at the target.
	expires time.Duration
}

// crashDetector detects crashes of targets and charges requests with them. It is safe for concurrent use.
//
// A request is charged if its own connection broke and the target then refused connections, or if the target answered
// with a different incarnation from the one that was alive while the request ran. A target that refuses new
// connections but keeps its existing ones is shutting down, which is not a crash.
type crashDetector struct {
	// now returns the time since the gate started.
	now func() time.Duration

	mu        sync.Mutex
	guard     *crashguard.Guard
	processes map[string]*process
	runs      map[*trackedRun]struct{}
	// waiting counts the suspects that wait; freed is closed when one of them may be able to run.
	waiting int
	freed   chan struct{}
}

func newCrashDetector(now func() time.Duration) *crashDetector {
	return &crashDetector{
		now:       now,
		guard:     crashguard.New(),
		processes: make(map[string]*process),
		runs:      make(map[*trackedRun]struct{}),
		freed:     make(chan struct{}),
	}
}

// start checks that a request may run at a target and records the run.
func (c *crashDetector) start(digest crashguard.Digest, target string) (*trackedRun, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	r := &trackedRun{digest: digest, target: target, started: now}
	if digest == 0 {
		return r, true
	}
	if !c.guard.MayRun(now, digest, target) {
		return nil, false
	}
	c.add(r)
	return r, true
}

// resume records that a request is already running at a target.
func (c *crashDetector) resume(digest crashguard.Digest, target string) *trackedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &trackedRun{digest: digest, target: target, started: c.now()}
	if digest != 0 {
		c.add(r)
	}
	return r
}

func (c *crashDetector) add(r *trackedRun) {
	c.runs[r] = struct{}{}
	c.guard.Started(r.digest, r.target)
}

// end removes a request that is no longer running.
func (c *crashDetector) end(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(r)
}

// endUnlessKept removes a request unless it waits for a report of its target.
func (c *crashDetector) endUnlessKept(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.expires == 0 {
		c.remove(r)
	}
}

// complete removes a request that ran to completion and returns the charges that this clears.
func (c *crashDetector) complete(r *trackedRun) []crashguard.Charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(r)
	now := c.now()
	if c.guard.Verdict(now, r.digest) != crashguard.Suspect {
		return nil
	}
	c.guard.Completed(now, r.digest)
	return c.guard.Charges(now, r.digest)
}

// abandon keeps a request whose caller has given up: it may still run at the target and crash it.
func (c *crashDetector) abandon(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.expires = c.now() + abandonedRunLifetime
}

// unresolved keeps a request whose connection broke while the target did not answer.
func (c *crashDetector) unresolved(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.broken = true
	r.expires = c.now() + unresolvedRunLifetime
}

func (c *crashDetector) remove(r *trackedRun) {
	if _, ok := c.runs[r]; !ok {
		return
	}
	delete(c.runs, r)
	c.guard.Ended(r.digest, r.target)
	c.wake()
}

// wake makes waiting suspects check again. The caller holds the lock.
func (c *crashDetector) wake() {
	if c.waiting > 0 {
		close(c.freed)
		c.freed = make(chan struct{})
	}
}

// chargeAfterRefusal charges a request whose connection broke at a target that now refuses connections.
func (c *crashDetector) chargeAfterRefusal(r *trackedRun) []crashguard.Charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[r.target]
	if p == nil {
		p = &process{incarnation: uint64(time.Now().Unix()), since: r.started, seen: r.started}
		c.processes[r.target] = p
	}
	return c.charge(r, p.incarnation)
}

// chargeAfterAnswer handles a request whose connection broke at a target that answers. It charges the request if the
// answering process may have started after the request.
func (c *crashDetector) chargeAfterAnswer(r *trackedRun) []crashguard.Charge {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[r.target]
	if p == nil || p.previous == 0 || p.since <= r.started {
		c.remove(r)
		return nil
	}
	return c.charge(r, p.previous)
}

// charge removes a request and charges it with a crash. The caller holds the lock.
func (c *crashDetector) charge(r *trackedRun, incarnation uint64) []crashguard.Charge {
	c.remove(r)
	if r.digest == 0 {
		return nil
	}
	crash := crashguard.Crash{Target: r.target, Incarnation: incarnation}
	charge := crashguard.Charge{Digest: r.digest, Crash: crash, Remaining: crashguard.Lifetime}
	c.guard.Merge(c.now(), []crashguard.Charge{charge})
	return []crashguard.Charge{charge}
}

// observeIncarnation processes the incarnation of a report that was requested at the given time. It returns whether
// the target has restarted, and the charges of the requests that ran at the previous process.
func (c *crashDetector) observeIncarnation(target string, incarnation uint64, sent time.Duration) (restarted bool, charges []crashguard.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[target]
	if p == nil {
		c.processes[target] = &process{incarnation: incarnation, since: sent, seen: sent}
		return false, nil
	}
	if sent < p.seen {
		return false, nil
	}
	if incarnation == p.incarnation {
		p.seen = sent
		c.dropBroken(target, sent)
		return false, nil
	}
	for r := range c.runs {
		if r.target == target && (r.broken || r.started < p.seen) {
			charges = append(charges, c.charge(r, p.incarnation)...)
		}
	}
	c.processes[target] = &process{incarnation: incarnation, since: sent, seen: sent, previous: p.incarnation}
	return true, charges
}

// dropBroken removes the requests whose connection broke before a time at which the same process was still alive.
func (c *crashDetector) dropBroken(target string, alive time.Duration) {
	for r := range c.runs {
		if r.target == target && r.broken && r.expires-unresolvedRunLifetime < alive {
			c.remove(r)
		}
	}
}

// tick removes expired charges and runs.
func (c *crashDetector) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.guard.Tick(now)
	for r := range c.runs {
		if r.expires > 0 && r.expires <= now {
			c.remove(r)
		}
	}
}
