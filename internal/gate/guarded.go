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
	// probeTimeout bounds the search for the cause of a broken connection, during which the refusal is held back.
	probeTimeout = 300 * time.Millisecond
	// probeInterval covers the moment in which an ending process has closed a connection but not yet its listener.
	probeInterval = 10 * time.Millisecond
)

func (c *call) digest() crashguard.Digest { return crashguard.Digest(c.request.Digest) }

// checkSuspect refuses a request that has crashed two targets. One that has crashed a target is pointed to another
// target of this gate when it may not run at the chosen one, or else waits there for its turn.
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

// refuseSuspect refuses a request for good.
func (c *call) refuseSuspect() error {
	c.gate.meters.Event("crash_suspect_refused")
	refused := refuse(reason.CrashSuspect, reason.No, "the request has crashed two targets")
	_, refused.charges = c.gate.crashes.verdict(c.digest())
	return refused
}

// allowedOwnTargets returns the targets of this gate and pool, besides the chosen one, where the request may run now.
func (c *call) allowedOwnTargets(snapshot *Snapshot, chosen *catalogue.Target) []string {
	var own []string
	for _, name := range c.request.Candidates {
		if name != chosen.Name && snapshot.Owned[name] && !c.gate.reports.down(name) {
			own = append(own, name)
		}
	}
	return c.gate.crashes.allowed(c.digest(), own)
}

// redirectSuspect refuses a suspect because another one runs at the target, or because it has crashed a second target since.
func (c *call) redirectSuspect(t *catalogue.Target, next []string) error {
	if verdict, _ := c.gate.crashes.verdict(c.digest()); verdict == crashguard.Refused {
		return c.refuseSuspect()
	}
	c.gate.meters.Event("crash_suspect_moved")
	refused := refuse(reason.OverLimit, reason.No, "the request is suspected of a crash, and another suspect runs at "+t.Name)
	refused.next = slices.Clone(next)
	return refused
}

// runGuarded runs new work at a target and finds out whether it crashed the target.
func (c *call) runGuarded(ctx context.Context, t *catalogue.Target, work func() error) error {
	r, ok := c.gate.crashes.start(c.digest(), t.Name)
	if !ok {
		return c.redirectSuspect(t, nil)
	}
	c.gate.reports.began(c.gate.clock.Now(), t.Name)
	err := work()
	c.gate.reports.ended(c.gate.clock.Now(), t.Name)
	return c.settle(ctx, t, r, err)
}

// resumeGuarded is runGuarded for a request that runs at the target already.
func (c *call) resumeGuarded(ctx context.Context, t *catalogue.Target, work func() error) error {
	r := c.gate.crashes.resume(c.digest(), t.Name)
	return c.settle(ctx, t, r, ranAlready(work()))
}

// ranAlready corrects the refusal of a request that was sent to its target before.
func ranAlready(err error) error {
	var refused *refusal
	if !errors.As(err, &refused) || refused.ran != reason.No {
		return err
	}
	corrected := *refused
	corrected.ran = reason.Unknown
	if corrected.reason == reason.TargetUnreachable {
		corrected.reason = reason.TargetFailed
	}
	return &corrected
}

// settle ends the record of a run, and adds the charge to the refusal when the run broke off in a crash.
func (c *call) settle(ctx context.Context, t *catalogue.Target, r *trackedRun, err error) error {
	var refused *refusal
	switch {
	case err == nil:
		c.gate.runCompleted(r)
	case !errors.As(err, &refused) || ctx.Err() != nil:
		c.gate.crashes.abandon(r)
	case refused.ran == reason.No:
		c.gate.crashes.end(r)
	default:
		refused.charges = c.gate.investigateBreak(t, r)
	}
	return err
}

// investigateBreak asks a target whose connection broke whether it still lives, and charges the request when it does not.
func (g *Gate) investigateBreak(t *catalogue.Target, r *trackedRun) []crashguard.Charge {
	ctx, cancel := context.WithTimeout(g.lifetime, probeTimeout)
	defer cancel()
	var charges []crashguard.Charge
	for {
		_, err := g.askStatus(ctx, t)
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
