package gate

import (
	"context"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// sendGuarded runs a ticketed request under the crash guard.
func (r *ticketRun) sendGuarded(ctx context.Context, t *catalogue.Target) bool {
	g := r.gate
	tracked, ok := g.crashes.start(crashguard.Digest(r.request.Digest), t.Name)
	if !ok {
		r.notStarted(reason.OverLimit, false)
		return false
	}
	r.tracked = tracked
	g.reports.requestStarted(g.clock.Now(), t.Name)
	completed := r.send(ctx, t)
	g.reports.requestEnded(g.clock.Now(), t.Name)
	if completed {
		g.runCompleted(tracked)
		return true
	}
	g.crashes.endUnlessKept(tracked)
	return false
}

// investigateBreak determines whether the target crashed before the outcome is sent to the caller, and then waits for
// the charge to spread: the caller may resend the request with another ticket through any entry.
func (r *ticketRun) investigateBreak(t *catalogue.Target) {
	if charges := r.gate.investigateBreak(t, r.tracked); len(charges) > 0 {
		control.Sleep(r.gate.lifetime, crashguard.PropagationTime)
	}
}
