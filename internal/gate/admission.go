package gate

import (
	"context"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// admitter serializes access to the admission controller, which all calls of the gate share, and wakes the calls that
// are queued.
type admitter struct {
	clock control.Clock

	mu         sync.Mutex
	controller *admission.Controller
	waiters    map[admission.ID]chan admission.Outcome
	outcomes   []admission.Outcome
}

func newAdmitter(clock control.Clock, gate string, incarnation uint64) *admitter {
	a := &admitter{
		clock:      clock,
		controller: admission.New(gate),
		waiters:    make(map[admission.ID]chan admission.Outcome),
	}
	a.controller.SetEpoch(incarnation)
	return a
}

// update applies a change to the controller and delivers the resulting outcomes to queued calls.
func (a *admitter) update(change func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.outcomes = change(a.controller, a.clock.Now(), a.outcomes[:0])
	a.dispatch()
}

// dispatch delivers outcomes to the calls that wait for them. The caller holds the lock.
func (a *admitter) dispatch() {
	for _, outcome := range a.outcomes {
		if waiter, ok := a.waiters[outcome.ID]; ok {
			waiter <- outcome
			delete(a.waiters, outcome.ID)
		}
	}
}

// acquire admits a request, waiting in the target's queue where that is allowed. The caller must release the ID.
func (a *admitter) acquire(ctx context.Context, request *admission.Request) (admission.ID, error) {
	a.mu.Lock()
	var decision admission.Decision
	decision, a.outcomes = a.controller.Submit(a.clock.Now(), request, a.outcomes[:0])
	a.dispatch()
	if decision.Verdict == admission.Refuse {
		a.mu.Unlock()
		return 0, &refusal{
			reason:     decision.Reason,
			ran:        reason.NotRun,
			detail:     "target " + request.Target + " can't take the request",
			retryAfter: decision.RetryAfter,
			next:       append([]string(nil), decision.Next()...),
		}
	}
	if decision.Verdict == admission.Start {
		a.mu.Unlock()
		return decision.ID, nil
	}
	waiter := make(chan admission.Outcome, 1)
	a.waiters[decision.ID] = waiter
	a.mu.Unlock()
	return a.wait(ctx, request, decision.ID, waiter)
}

// wait blocks until the queue decides or the caller's context ends.
func (a *admitter) wait(ctx context.Context, request *admission.Request, id admission.ID, waiter chan admission.Outcome) (admission.ID, error) {
	select {
	case outcome := <-waiter:
		if outcome.Started {
			return id, nil
		}
		return 0, &refusal{
			reason:     outcome.Reason,
			ran:        reason.NotRun,
			detail:     "the request waited in the target's queue",
			retryAfter: outcome.RetryAfter,
			next:       a.alternatives(request, outcome),
		}
	case <-ctx.Done():
		a.release(id, false)
		return 0, refuse(reason.DeadlineExceeded, reason.NotRun, "the caller gave up while the request waited in the target's queue")
	}
}

// alternatives returns the next targets for a request that has waited in the queue for its full patience.
func (a *admitter) alternatives(request *admission.Request, outcome admission.Outcome) []string {
	if outcome.Reason != reason.OverLimit || request.MaxTargetWait == 0 {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	decision := a.controller.RefuseWithCandidates(a.clock.Now(), request)
	return append([]string(nil), decision.Next()...)
}

// release ends a request, whether it is running or queued.
func (a *admitter) release(id admission.ID, completed bool) {
	a.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		delete(a.waiters, id)
		return c.Release(now, id, completed, out)
	})
}

// snapshot returns a copy of the controller's state.
func (a *admitter) snapshot() admission.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Snapshot(a.clock.Now())
}

// inFlight returns the number of requests in flight at a target, by customer.
func (a *admitter) inFlight(target string) []admission.CustomerCount {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.InFlight(target)
}
