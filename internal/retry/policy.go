package retry

import "github.com/amaranthlb/amaranthlb/internal/reason"

// Scope says where a refused request may be tried again.
type Scope string

// Scopes of retries.
const (
	// Never means that another try can't succeed, or that the caller has to decide.
	Never Scope = "never"
	// OtherTarget means any target of the pool but the one that refused.
	OtherTarget Scope = "other_target"
	// OtherGate means another gate: the owner that the refusal names, or the owner of another target.
	OtherGate Scope = "other_gate"
	// Anywhere means the same choice again, once the view has changed.
	Anywhere Scope = "anywhere"
)

// policy is the rule for one reason.
type policy struct {
	scope Scope
	// waits is set if the cause is transient, so that a delay improves the chance of the next attempt.
	waits bool
}

// policies holds the reasons that permit a retry; all others never do.
//
// Limits of a customer are absent: the caller has to slow down, and a try elsewhere would use the share of another
// gate. Ticket reasons are absent: a ticket names its executor, so another gate can't run it. TargetRefused is
// the target's own answer and is passed on. CrashSuspect is absent so that no third target is lost.
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

// ScopeOf returns where a request that was refused for the reason may be tried again.
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
