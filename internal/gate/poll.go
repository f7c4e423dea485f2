package gate

import (
	"context"
	"errors"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/target"
)

const (
	pollInterval = 500 * time.Millisecond
	// pollJitter spreads out the polls of many gates and targets.
	pollJitter = 100 * time.Millisecond
	// pollTimeout is shorter than the report lag, so that no report that is used is older than the lag allows.
	pollTimeout = time.Second
)

// poller records when each owned target is next due for a poll. It is owned by the control goroutine.
type poller struct {
	due map[string]time.Duration
}

// pollTargets polls the owned targets that are due. A newly owned target is due at once.
func (g *Gate) pollTargets(now time.Duration) {
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return
	}
	for name := range g.poller.due {
		if !snapshot.Owned[name] {
			delete(g.poller.due, name)
			g.reports.forget(name)
		}
	}
	for name, owned := range snapshot.Owned {
		t, ok := snapshot.Catalogue.Target(name)
		if !owned || !ok || now < g.poller.due[name] {
			continue
		}
		g.poller.due[name] = now + pollTimeout
		go g.poll(t)
	}
}

// poll polls one target and schedules its next poll.
func (g *Gate) poll(t *catalogue.Target) {
	ctx, cancel := context.WithTimeout(g.lifetime, pollTimeout)
	defer cancel()
	if _, err := g.pollStatus(ctx, t); err != nil {
		g.meters.ControlCall("status", "failed")
	}
	jitter := time.Duration(rand.Int64N(int64(2*pollJitter))) - pollJitter
	g.loop.Post(func(now time.Duration) {
		if _, ok := g.poller.due[t.Name]; ok {
			g.poller.due[t.Name] = now + pollInterval + jitter
		}
	})
}

// pollStatus reads a target's status and records it as the target's last report.
func (g *Gate) pollStatus(ctx context.Context, t *catalogue.Target) (target.Status, error) {
	sent := g.clock.Now()
	status, err := g.targets.Status(ctx, t.Address)
	switch {
	case err == nil:
		g.reports.answered(t.Name, status, sent, g.clock.Now())
		g.observeTarget(t.Name, status.Incarnation, sent)
		g.reportToOwners(t.Name)
	case connectionRefused(err):
		g.reports.refused(t.Name)
	}
	return status, err
}

// connectionRefused reports whether no process listens on the target's address. Other connection failures may be
// caused by the network.
func connectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// reportToOwners passes the last report of a target to the ownership state machine.
func (g *Gate) reportToOwners(name string) {
	report, ok := g.reports.Latest(name)
	if !ok {
		return
	}
	g.loop.Post(func(now time.Duration) {
		g.stepOwners(now, ownership.EngineReport{
			Target:     name,
			Load:       report.Load,
			Own:        report.OwnInFlight,
			MeasuredAt: report.Measured,
		})
	})
}
