package place

import (
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Guards against initial placements that are still used after their engine restarted, or for longer than prompts are
// likely to stay cached, and against initial placements that take precedence over later ones.
func TestInitialPlacements(t *testing.T) {
	q := query(5, 8000)
	prefers := func(p *LoadTracker) string { return choose(t, p, 2*second, q).Target.ID }
	usual := prefers(picture(12, 64))
	holder := "t0"
	if usual == holder {
		holder = "t1"
	}
	learned := func() *LoadTracker {
		p := picture(12, 64)
		p.AddInitialPlacements(second, []Placement{{Key: q.Prompt.Key, Target: rendezvous.Hash(holder)}})
		return p
	}
	if got := prefers(learned()); got != holder {
		t.Errorf("chose %s, want %s, which has the prompt cached", got, holder)
	}
	p := learned()
	list := targets(12, 64)
	for i := range list {
		list[i].StartedAt = 1
	}
	p.SetTargets(2*second, list, second)
	if got := prefers(p); got == holder {
		t.Errorf("%s was chosen for its cache from before its restart", got)
	}
	p = learned()
	if got := choose(t, p, second+initialLifetime, q).Target.ID; got == holder {
		t.Errorf("%s was chosen for an expired placement", got)
	}
	p = learned()
	p.PlacementsFromPeer(2*second, Placements{Own: []Placement{{Key: q.Prompt.Key, Target: rendezvous.Hash("t7")}}})
	if got := prefers(p); got != "t7" {
		t.Errorf("chose %s, want t7, which received the prompt last", got)
	}
	if known := p.KnownPlacements(2 * second); len(known) != 1 || known[0].Target != rendezvous.Hash("t7") {
		t.Errorf("known placements: got %v, want only t7", known)
	}
}
