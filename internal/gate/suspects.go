package gate

import (
	"context"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
)

// merge adds charges received from another daemon.
func (c *crashDetector) merge(charges []crashguard.Charge) {
	if len(charges) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard.Merge(c.now(), charges)
	c.wake()
}

// verdict returns whether a request with this digest may run, and its charges.
func (c *crashDetector) verdict(digest crashguard.Digest) (crashguard.Verdict, []crashguard.Charge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	verdict := c.guard.Verdict(now, digest)
	if verdict == crashguard.Clean {
		return verdict, nil
	}
	return verdict, c.guard.Charges(now, digest)
}

// allowed returns the targets at which a request with this digest may run now.
func (c *crashDetector) allowed(digest crashguard.Digest, targets []string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	var allowed []string
	for _, target := range targets {
		if c.guard.MayRun(now, digest, target) {
			allowed = append(allowed, target)
		}
	}
	return allowed
}

// await waits until a request with this digest may run at a target. It returns false if the timeout or the context
// ends first, or if the digest is charged with a second crash.
func (c *crashDetector) await(ctx context.Context, digest crashguard.Digest, target string, wait time.Duration) bool {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting++
	defer func() { c.waiting-- }()
	for !c.guard.MayRun(c.now(), digest, target) {
		if c.guard.Verdict(c.now(), digest) == crashguard.Refused {
			return false
		}
		freed := c.freed
		c.mu.Unlock()
		ended := false
		select {
		case <-freed:
		case <-timeout.C:
			ended = true
		case <-ctx.Done():
			ended = true
		}
		c.mu.Lock()
		if ended {
			return false
		}
	}
	return true
}

// suspects returns the number of digests that are charged with one crash and of those that are refused.
func (c *crashDetector) suspects() (suspected, refused int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.guard.Count(c.now())
}
