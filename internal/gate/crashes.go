package gate

import (
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
)

const (
	// abandonedTime is how long a request whose caller has gone may still run at its target; engines generate for
	// a resume for about as long.
	abandonedTime = 10 * time.Second
	// unresolvedTime is how long a request whose target stopped answering waits for the target's next report.
	unresolvedTime = time.Minute
)

// process is what is known of the process behind a target.
type process struct {
	incarnation uint64
	// since and seen are when the first and the last report with this incarnation were asked for.
	since time.Duration
	seen  time.Duration
	// previous is the incarnation before, 0 when none was seen.
	previous uint64
}

// trackedRun is one request that this gate has sent to a target.
type trackedRun struct {
	digest  crashguard.Digest
	target  string
	started time.Duration
	// broken says that the connection broke and the target has not answered since.
	broken bool
	// expires is set when the request has ended here but may still run at the target.
	expires time.Duration
}

// crashDetector detects crashDetector of targets and charges requests with them. It is safe for concurrent use.
//
// A request is charged when its own connection broke and the target then refused connections, or when the target
// answered with another incarnation than the one that was alive while the request ran. A target that refuses
// connections but keeps those that it has is stopping, which is no crash.
type crashDetector struct {
	// now returns the time since the start of the gate.
	now func() time.Duration

	mu        sync.Mutex
	guard     *crashguard.Guard
	processes map[string]*process
	runs      map[*trackedRun]struct{}
	// waiting counts the suspects that wait; freed is closed when one of them may find its target free.
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

// start checks that a request may run at a target and notes that it does.
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

// resume notes that a request runs at a target already.
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

// end forgets a request that no longer runs.
func (c *crashDetector) end(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remove(r)
}

// endUnlessKept forgets a request that does not wait for a report of its target.
func (c *crashDetector) endUnlessKept(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.expires == 0 {
		c.remove(r)
	}
}

// complete forgets a request that ran to its end and returns the charges that this clears.
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

// abandon keeps a request that its caller has given up: it may still run at the target and crash it.
func (c *crashDetector) abandon(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.expires = c.now() + abandonedTime
}

// unresolved keeps a request whose connection broke while the target gave no answer.
func (c *crashDetector) unresolved(r *trackedRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.broken = true
	r.expires = c.now() + unresolvedTime
}

func (c *crashDetector) remove(r *trackedRun) {
	if _, ok := c.runs[r]; !ok {
		return
	}
	delete(c.runs, r)
	c.guard.Ended(r.digest, r.target)
	c.wake()
}

// wake lets the suspects that wait look again. The lock is held.
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

// chargeAfterAnswer charges a request whose connection broke at a target that answers, when the process that answers
// may have started after the request.
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

// charge ends a request and charges it with a crash. The lock is held.
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

// observeIncarnation takes over the incarnation of a report that was asked for at a time. It reports whether the target has
// restarted, and the charges of the requests that ran at the process before.
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

// dropBroken forgets the requests that broke off before a time at which the same process was alive.
func (c *crashDetector) dropBroken(target string, alive time.Duration) {
	for r := range c.runs {
		if r.target == target && r.broken && r.expires-unresolvedTime < alive {
			c.remove(r)
		}
	}
}

// tick forgets what has expired.
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
