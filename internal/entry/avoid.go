package entry

import (
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// avoidTime is how long an entry avoids a target that could not be reached. The target's owner tells the entries
// within that time when the target is down.
const avoidTime = time.Second

// avoidAfter takes a target out of the routes for a short time when a try found it unreachable or crashed. Without
// this, an entry would use up its retry budget on a dead target before the news of it arrives.
func (e *Entry) avoidAfter(target string, refusal *Refusal) {
	if refusal.Reason != reason.TargetUnreachable && !refusal.crashed {
		return
	}
	e.loop.Post(func(now time.Duration) {
		known := e.state.loads[target]
		renewed := known.avoidUntil <= now
		known.avoidUntil = now + avoidTime
		e.state.loads[target] = known
		if renewed {
			e.meters.Event("target_avoided")
			e.publish(now)
		}
	})
}
