package gate

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// probeTimeout bounds the investigation of a broken connection, during which the refusal is withheld.
	probeTimeout = 300 * time.Millisecond
	// probeInterval covers the moment in which an exiting process has closed a connection but not yet its listener.
	probeInterval = 10 * time.Millisecond
)

func (c *call) digest() crashguard.Digest { return crashguard.Digest(c.request.Digest) }

// checkSuspect refuses a request that has crashed two targets. A request that has crashed one target and may not run
// at the chosen target is redirected to another target of this gate, or else waits for its turn at the chosen one.
func (c *call) checkSuspect(ctx context.Context, snapshot *Snapshot, t *catalogue.Target) error {
	crashes := c.gate.crashes
	crashes.merge(wire.ChargesFrom(c.request.Charges))
	verdict, _ := crashes.verdict(c.digest())
	switch verdict {
	case crashguard.Clean:
		return nil
	case crashguard.Refused:
		return c.refuseSuspect()
	}
	c.gate.meters.Event("crash_suspect_checked")
	if len(crashes.allowed(c.digest(), []string{t.Name})) > 0 {
		return nil
	}
	if next := c.allowedOwnTargets(snapshot, t); len(next) > 0 {
		return c.redirectSuspect(t, next)
	}
	if crashes.await(ctx, c.digest(), t.Name, time.Duration(t.Pool().QueueWait)) {
		return nil
	}
	return c.redirectSuspect(t, c.request.Candidates)
}

// refuseSuspect refuses a request permanently.
func (c *call) refuseSuspect() error {
	c.gate.meters.Event("crash_suspect_refused")
	refused := refuse(reason.CrashSuspect, reason.NotRun, "the request has crashed two targets")
	_, refused.charges = c.gate.crashes.verdict(c.digest())
	return refused
}

// allowedOwnTargets returns the targets of the pool that this gate owns, other than the chosen one, where the request
// may run now.
func (c *call) allowedOwnTargets(snapshot *Snapshot, chosen *catalogue.Target) []string {
	var own []string
	for _, name := range c.request.Candidates {
		if name != chosen.Name && snapshot.Owned[name] && !c.gate.reports.down(name) {
			own = append(own, name)
		}
	}
	return c.gate.crashes.allowed(c.digest(), own)
}

// redirectSuspect refuses a suspect because another suspect runs at the target, and names alternative targets. If the
// request has been charged with a second crash meanwhile, it is refused permanently.
func (c *call) redirectSuspect(t *catalogue.Target, next []string) error {
	if verdict, _ := c.gate.crashes.verdict(c.digest()); verdict == crashguard.Refused {
		return c.refuseSuspect()
	}
	c.gate.meters.Event("crash_suspect_moved")
	refused := refuse(reason.OverLimit, reason.NotRun, "the request is suspected of a crash, and another suspect runs at "+t.Name)
	refused.next = slices.Clone(next)
	return refused
}

// runGuarded runs a new request at a target and determines whether it crashed the target.
func (c *call) runGuarded(ctx context.Context, t *catalogue.Target, work func() error) error {
	r, ok := c.gate.crashes.start(c.digest(), t.Name)
	if !ok {
		return c.redirectSuspect(t, nil)
	}
	c.gate.reports.requestStarted(c.gate.clock.Now(), t.Name)
	err := work()
	c.gate.reports.requestEnded(c.gate.clock.Now(), t.Name)
	return c.settle(ctx, t, r, err)
}

// resumeGuarded is like runGuarded for a request that is already running at the target.
func (c *call) resumeGuarded(ctx context.Context, t *catalogue.Target, work func() error) error {
	r := c.gate.crashes.resume(c.digest(), t.Name)
	return c.settle(ctx, t, r, correctRan(work()))
}

// correctRan corrects the refusal of a request that had already been sent to its target.
func correctRan(err error) error {
	var refused *refusal
	if !errors.As(err, &refused) || refused.ran != reason.NotRun {
		return err
	}
	corrected := *refused
	corrected.ran = reason.MayHaveRun
	if corrected.reason == reason.TargetUnreachable {
		corrected.reason = reason.TargetFailed
	}
	return &corrected
}

// settle ends the record of a run, and adds the charge to the refusal if the run was broken off by a crash.
func (c *call) settle(ctx context.Context, t *catalogue.Target, r *trackedRun, err error) error {
	var refused *refusal
	switch {
	case err == nil:
		c.gate.runCompleted(r)
	case !errors.As(err, &refused) || ctx.Err() != nil:
		c.gate.crashes.abandon(r)
	case refused.ran == reason.NotRun:
		c.gate.crashes.end(r)
	default:
		refused.charges = c.gate.investigateBreak(t, r)
	}
	return err
}

// investigateBreak probes a target whose connection broke, and charges the request if the target has crashed.
func (g *Gate) investigateBreak(t *catalogue.Target, r *trackedRun) []crashguard.Charge {
	ctx, cancel := context.WithTimeout(g.lifetime, probeTimeout)
	defer cancel()
	var charges []crashguard.Charge
	for {
		_, err := g.pollStatus(ctx, t)
		if err == nil {
			charges = g.crashes.chargeAfterAnswer(r)
			break
		}
		if connectionRefused(err) {
			charges = g.crashes.chargeAfterRefusal(r)
			break
		}
		control.Sleep(ctx, probeInterval)
		if ctx.Err() != nil {
			g.meters.Event("crash_unresolved")
			g.crashes.unresolved(r)
			return nil
		}
	}
	g.recordCharges(charges)
	return charges
}
