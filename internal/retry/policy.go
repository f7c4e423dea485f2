package retry

import "github.com/amaranthlb/amaranthlb/internal/reason"

// Scope is where a refused request may be retried.
type Scope string

// Scopes of retries.
const (
	// Never means that a retry can't succeed, or that the decision is up to the caller.
	Never Scope = "never"
	// OtherTarget means any target of the pool except the one that refused.
	OtherTarget Scope = "other_target"
	// OtherGate means another gate: the owner that the refusal names, or the owner of another target.
	OtherGate Scope = "other_gate"
	// Anywhere means that any target may be chosen again, once the view has changed.
	Anywhere Scope = "anywhere"
)

// policy is the retry policy for one reason.
type policy struct {
	scope Scope
	// waits is set if the cause is transient, so that a delay improves the chance of the next attempt.
	waits bool
}

// policies holds the reasons that permit a retry; all others are never retried.
//
// Customer limits are absent: the caller has to slow down, and a retry elsewhere would use the share of another gate.
// Ticket reasons are absent: a ticket names its executor, so another gate can't run it. TargetRefused is the target's
// own response and is passed on. CrashSuspect is absent so that the request can't crash a third target.
var policies = map[reason.Reason]policy{
	reason.NotReady:          {scope: OtherGate},
	reason.Draining:          {scope: OtherGate},
	reason.NotOwner:          {scope: OtherGate, waits: true},
	reason.GateUnreachable:   {scope: OtherGate},
	reason.GateFailed:        {scope: OtherGate},
	reason.LeaseLost:         {scope: OtherTarget},
	reason.OverLimit:         {scope: OtherTarget},
	reason.Probation:         {scope: OtherTarget},
	reason.TargetLeaving:     {scope: OtherTarget},
	reason.ModelNotLoaded:    {scope: OtherTarget},
	reason.TargetUnreachable: {scope: OtherTarget},
	reason.TargetFailed:      {scope: OtherTarget},
	reason.BrokenAnswer:      {scope: OtherTarget},
	reason.DeadlineExceeded:  {scope: OtherTarget},
	reason.QueueFull:         {scope: OtherTarget, waits: true},
	reason.QueueTimeout:      {scope: OtherTarget},
	reason.NoTarget:          {scope: Anywhere, waits: true},
	reason.NoGate:            {scope: Anywhere, waits: true},
}

// waitsWithoutNext lists reasons whose retry is delayed only if the refusal named no other target.
var waitsWithoutNext = map[reason.Reason]bool{
	reason.OverLimit: true,
	reason.Probation: true,
	reason.LeaseLost: true,
}

// ScopeOf returns where a request that was refused for the reason may be retried.
func ScopeOf(r reason.Reason) Scope {
	if p, ok := policies[r]; ok {
		return p.scope
	}
	return Never
}

// needsDelay reports whether a retry after the refusal should wait.
func needsDelay(r reason.Reason, hasNext bool) bool {
	if waitsWithoutNext[r] {
		return !hasNext
	}
	return policies[r].waits
}
