package place

import (
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

// Guards against initial placements that are still used after their engine restarted, or for longer than prompts are likely
// to stay cached, and against initial placements that take precedence over later ones.
func TestInitialPlacements(t *testing.T) {
	q := query(5, 8000)
	prefers := func(p *Picture) string { return choose(t, p, 2*second, q).Target.ID }
	usual := prefers(picture(12, 64))
	holder := "t0"
	if usual == holder {
		holder = "t1"
	}
	learned := func() *Picture {
		p := picture(12, 64)
		p.Inherit(second, []Placement{{Key: q.Prompt.Key, Target: rendezvous.Hash(holder)}})
		return p
	}
	if got := prefers(learned()); got != holder {
		t.Errorf("chosen %s, %s has the prompt", got, holder)
	}
	p := learned()
	list := targets(12, 64)
	for i := range list {
		list[i].Born = 1
	}
	p.SetTargets(2*second, list, second)
	if got := prefers(p); got == holder {
		t.Errorf("%s is chosen for what it had before it started anew", got)
	}
	p = learned()
	if got := choose(t, p, second+initialLifetime, q).Target.ID; got == holder {
		t.Errorf("%s is chosen for what it had long ago", got)
	}
	p = learned()
	p.HoldersFromPeer(2*second, Placements{Own: []Placement{{Key: q.Prompt.Key, Target: rendezvous.Hash("t7")}}})
	if got := prefers(p); got != "t7" {
		t.Errorf("chosen %s, t7 got the prompt last", got)
	}
	if known := p.Known(2 * second); len(known) != 1 || known[0].Target != rendezvous.Hash("t7") {
		t.Errorf("another process is told %v", known)
	}
}
