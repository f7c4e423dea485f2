package entry

import (
	"sync/atomic"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/routing"
)

// An explanation must name the rule that determined the choice.
func TestExplanationNamesRule(t *testing.T) {
	c, err := catalogue.Parse([]byte("revision: 1\npools:\n- {name: rose, owner: o, kind: model, max_in_flight: 4, targets: [" +
		"{name: e0, address: '127.0.0.1:1', zone: a}, {name: e1, address: '127.0.0.1:2', zone: a}, {name: e2, address: '127.0.0.1:3', zone: a}]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	const busy, closed = 50, -1
	cases := []struct {
		name   string
		loads  [3]int32 // by rank
		holder int      // rank
		want   Rule
		choice int // rank
	}{
		{"idle", [3]int32{}, -1, RuleFirstRank, 0},
		{"first has more load", [3]int32{2, 1, 3}, -1, RuleLessLoaded, 1},
		{"first is closed", [3]int32{closed, 0, 0}, -1, RuleFirstRank, 1},
		{"holder", [3]int32{}, 2, RuleHolder, 2},
		{"holder is closed", [3]int32{0, 0, closed}, 2, RuleFirstRank, 0},
		{"all full", [3]int32{busy + 1, busy, busy + 1}, -1, RuleAllAtLimit, 1},
		{"all closed", [3]int32{closed, closed, closed}, 0, RuleNoneOpen, -1},
	}
	for _, test := range cases {
		pool, _ := c.Pool("rose")
		candidates := make([]routing.Candidate, 3)
		for i := range candidates {
			target := &pool.Targets[i]
			candidates[i] = routing.Candidate{Target: target, Hash: target.Hash(), InFlight: new(atomic.Int32)}
		}
		ranks := routing.NewPool(pool, candidates).Rank(chatHash(callerKey("press", "c1")))
		for rank, load := range test.loads {
			candidates[ranks[rank]].Open, candidates[ranks[rank]].Reported = load != closed, max(load, 0)
		}
		holder := routing.NoHolder
		if test.holder >= 0 {
			holder = ranks[test.holder]
		}
		got := explanation(&Snapshot{Catalogue: c, View: &membership.View{}}, routing.NewPool(pool, candidates), callerKey("press", "c1"), holder)
		choice := ""
		if test.choice >= 0 {
			choice = candidates[ranks[test.choice]].Target.Name
		}
		if got.Rule != test.want || got.Choice != choice {
			t.Errorf("%s: %s because of %s, want %s because of %s", test.name, got.Choice, got.Rule, choice, test.want)
		}
	}
}
