package entry

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// avoidTime is how long an entry avoids a target or a gate that could not be reached. The target's owner tells the entries
// within that time when the target is down.
const avoidDuration = time.Second

// avoidAfter takes a target out of the routes for a short time when a try found it unreachable or crashed. Without
// this, an entry would use up its retry budget on a dead target before the news of it arrives.
func (e *Entry) avoidTargetAfter(target string, refusal *Refusal) {
	if refusal.Reason != reason.TargetUnreachable && !refusal.crashed {
		return
	}
	e.loop.Post(func(now time.Duration) {
		known := e.state.loads[target]
		renewed := known.avoidUntil <= now
		known.avoidUntil = now + avoidDuration
		e.state.loads[target] = known
		if renewed {
			e.meters.Event("target_avoided")
			e.publish(now)
		}
	})
}

// avoidGateAfter takes the targets of a gate out of the routes for a short time when the connection to it failed. It stays
// in the view for the suspicion time, 6 s in another region, in which requests would go on failing there.
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

// ownerAvoided reports whether the gate that owns a target by the view is avoided.
func (s *controlState) ownerAvoided(now time.Duration, t *catalogue.Target) bool {
	if len(s.avoidedGates) == 0 {
		return false
	}
	owner, ok := ownership.Owner(s.view, t.Name, t.Zone)
	return ok && now < s.avoidedGates[owner.Name]
}

// forgetAvoided drops the gates that are avoided no longer.
func (s *controlState) expireAvoidedGates(now time.Duration) {
	for name, until := range s.avoidedGates {
		if until <= now {
			delete(s.avoidedGates, name)
		}
	}
}
