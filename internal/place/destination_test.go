package place

import (
	"testing"
)

// Guards against moved runs that crowd one engine, against a move to an engine that is leaving, failing, starting or
// was tried before, and against needless traffic between zones. The load is a fleet of engines of which some are busy.
func TestChooseDestination(t *testing.T) {
	const engines = 12
	for name, c := range map[string]struct {
		prepare func(p *LoadTracker)
		exclude []string
		want    string // empty if no target has room
	}{
		"local zone, away from the source": {
			prepare: func(p *LoadTracker) { occupy(p, 1, "t3", "t6", "t9", "t1", "t2") },
			exclude: []string{"t6", "t9"},
			want:    "t3",
		},
		"a busy local target is passed over": {
			prepare: func(p *LoadTracker) {
				occupy(p, 9, "t3", "t6", "t9")
				occupy(p, 1, "t1", "t2", "t4", "t5", "t7", "t8", "t10")
			},
			want: "t11",
		},
		"all others are excluded": {
			prepare: func(*LoadTracker) {},
			exclude: []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10", "t11"},
		},
		"all others are full": {
			prepare: func(p *LoadTracker) {
				for id, state := range p.byID {
					if id != "t0" {
						state.own = state.target.Slots
					}
				}
			},
		},
		"targets that can't be reached are no destination": {
			prepare: func(p *LoadTracker) {
				for id, state := range p.byID {
					if id != "t5" {
						state.blocked = 2 * second
					}
				}
			},
			want: "t5",
		},
		"only blocked targets": {
			prepare: func(p *LoadTracker) {
				for _, state := range p.byID {
					state.blocked = 2 * second
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := picture(engines, 16)
			c.prepare(p)
			source := p.byID["t0"].target
			choice, found := p.ChooseDestination(second, source, "z0", c.exclude)
			if found != (c.want != "") || found && choice.Target.ID != c.want {
				t.Errorf("got %q (%t), want %q", choice.Target.ID, found, c.want)
			}
		})
	}
}

// occupy gives the listed targets a number of requests each, and spreads the same number over all.
func occupy(p *LoadTracker, requests int, ids ...string) {
	for _, id := range ids {
		p.byID[id].own = requests
	}
}

// Guards against the same destination for all streams of an engine that stalls.
func TestMovedRunsAreSpread(t *testing.T) {
	p := picture(12, 16)
	source := p.byID["t0"].target
	count := map[string]int{}
	for range 24 {
		choice, found := p.ChooseDestination(second, source, "z0", nil)
		if !found {
			t.Fatal("no destination")
		}
		p.Start(second, choice, Prompt{})
		count[choice.Target.ID]++
	}
	for id, runs := range count {
		if runs > 4 {
			t.Errorf("%s received %d of 24 moved runs", id, runs)
		}
	}
}

// Guards against moves away from an engine that is slow because it reads a long prompt of this or another process.
func TestPrefillingTargetIsRecognized(t *testing.T) {
	p := picture(3, 16)
	q := query(1, 8000)
	choice := choose(t, p, second, q)
	if p.Prefilling(second, choice.Target.ID) {
		t.Error("an idle target is reported")
	}
	p.Start(second, choice, q.Prompt)
	if !p.Prefilling(second, choice.Target.ID) {
		t.Error("a target that reads a prompt of 8,000 tokens is not reported")
	}
	p.PromptRead(choice)
	if p.Prefilling(second, choice.Target.ID) {
		t.Error("a target that has read its prompts is reported")
	}
	hash := p.byID[choice.Target.ID].hash
	p.PeerLoads("peer", second, map[uint64]Load{hash: {Requests: 1, Prefill: 4}})
	if !p.Prefilling(second, choice.Target.ID) {
		t.Error("the prompt of a peer is not counted")
	}
	if p.Prefilling(second, "unknown") {
		t.Error("an unknown target is reported")
	}
}
