package entry

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// avoidDuration is how long an entry avoids a target or a gate that could not be reached. If a target is down, its
// owner reports that to the entries within this time.
const avoidDuration = time.Second

// avoidTargetAfter removes a target from the routes for avoidDuration if an attempt found it unreachable or crashed.
// Otherwise an entry would exhaust its retry budget on a dead target before the owner's report arrives.
func (e *Entry) avoidTargetAfter(target string, refusal *Refusal) {
	if refusal.Reason != reason.TargetUnreachable && !refusal.crashed {
		return
	}
	e.loop.Post(func(now time.Duration) {
		reported := e.state.loads[target]
		renewed := reported.avoidUntil <= now
		reported.avoidUntil = now + avoidDuration
		e.state.loads[target] = reported
		if renewed {
			e.meters.Event("target_avoided")
			e.publish(now)
		}
	})
}

// avoidGateAfter removes the targets of a gate from the routes for avoidDuration if the connection to the gate failed.
// A failed gate stays in the view for the suspicion timeout (6 s in another region), during which requests to it would
// keep failing.
func (e *Entry) avoidGateAfter(gate membership.Gate, refusal *Refusal) {
	if refusal.Reason != reason.GateFailed && refusal.Reason != reason.GateUnreachable {
		return
	}
	e.loop.Post(func(now time.Duration) {
		renewed := e.state.avoidedGates[gate.Name] <= now
		e.state.avoidedGates[gate.Name] = now + avoidDuration
		if renewed {
			e.meters.Event("gate_avoided")
			e.publish(now)
		}
	})
}

// ownerAvoided reports whether the gate that owns a target according to the view is being avoided.
func (s *controlState) ownerAvoided(now time.Duration, t *catalogue.Target) bool {
	if len(s.avoidedGates) == 0 {
		return false
	}
	owner, ok := ownership.Owner(s.view, t.Name, t.Zone)
	return ok && now < s.avoidedGates[owner.Name]
}

// expireAvoidedGates removes the gates whose avoidance period has ended.
func (s *controlState) expireAvoidedGates(now time.Duration) {
	for name, until := range s.avoidedGates {
		if until <= now {
			delete(s.avoidedGates, name)
		}
	}
}
