package ingress

import (
	"testing"
	"time"
)

// Guards against giving up a body that is about to end, one that makes progress while others stand still, or one of a
// customer that holds little. Load: bodies that stop short beside ordinary ones.
func TestVictimOrder(t *testing.T) {
	const limit = 1000
	type state struct {
		customer   string
		held, left int64
		// early and late are the bytes received at the start and 3 s later, half a second before the choice.
		early, late int64
	}
	for name, c := range map[string]struct {
		bodies []state
		victim int
	}{
		"only body":               {[]state{{"a", 900, 100, 0, 0}}, -1},
		"least progress":          {[]state{{"", 100, 50, 0, 0}, {"", 100, 900, 500, 10}, {"", 100, 900, 0, 20}}, 1},
		"nearest to its end":      {[]state{{"", 100, 10, 0, 0}, {"", 100, 900, 0, 900}}, 1},
		"customer above its part": {[]state{{"", 100, 10, 0, 0}, {"a", 300, 900, 0, 0}, {"b", 300, 900, 0, 500}, {"b", 300, 900, 0, 400}}, 3},
		"customer holds the most": {[]state{{"", 10, 10, 0, 0}, {"a", 200, 900, 0, 0}, {"b", 150, 800, 0, 0}, {"b", 150, 900, 0, 0}}, 3},
		"newest of equals":        {[]state{{"", 100, 900, 0, 0}, {"", 100, 900, 0, 0}, {"", 100, 900, 0, 0}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var bodies Bodies
			var list []*Body
			for _, s := range c.bodies {
				list = append(list, bodies.Start(0, 0, s.customer, s.held, s.left+s.early+s.late))
			}
			for i, s := range c.bodies {
				list[i].Received(0, s.early)
				list[i].Received(3*time.Second, s.late)
			}
			victim := bodies.Victim(3500*time.Millisecond, limit)
			if c.victim < 0 && victim != nil || c.victim >= 0 && victim != list[c.victim] {
				t.Errorf("got %+v, want body %d", victim, c.victim)
			}
		})
	}
}
