package orders

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an old owner that wakes with an old order and wins, and against two orders at once: the first
// owner freezes while it sends, the second takes over with a newer catalogue, the first wakes at a random time.
func TestOldOwnerDoesNotWin(t *testing.T) {
	const schedules = 60
	for _, checksFencing := range []bool{true, false} {
		late, fenced := 0, 0
		for seed := int64(1); seed <= schedules; seed++ {
			w := newSimulation(t, seed, 3, 2, checksFencing)
			runTakeover(w, checksFencing)
			for _, e := range w.engines {
				late += e.lateOrders
				fenced += e.fencedOrders
			}
		}
		t.Logf("seeds 1 to %d, engines check fencing: %v, %d late orders were taken, %d refused", schedules, checksFencing, late, fenced)
		if !checksFencing && late == 0 || checksFencing && fenced == 0 {
			t.Errorf("engines check fencing: %v: no schedule has a late order", checksFencing)
		}
	}
}

// runTakeover freezes gate-0 and lets gate-1 own its engines; gate-2 only keeps the views' size.
func runTakeover(w *simulation, checksFencing bool) {
	old, successor := w.gates[0], w.gates[1]
	oldCatalogue := testCatalogue(w.t, 1, "1", checksFencing, len(w.engines))
	newCatalogue := testCatalogue(w.t, 2, "2", checksFencing, len(w.engines))
	w.runFor(15 * time.Second)
	for _, g := range w.gates {
		g.step(CatalogueChanged{oldCatalogue})
	}
	for name := range len(w.engines) {
		old.step(Acquired{Target: engineName(name)})
	}
	old.freezeAfter = 1 + w.random.Intn(3)
	w.runWhile(w.randomDuration(8*time.Second, 16*time.Second), func() bool { return !old.frozen })
	old.frozen = true
	w.runFor(2 * time.Second)
	w.setViews(w.gates[1:])
	successor.step(CatalogueChanged{newCatalogue})
	for name := range len(w.engines) {
		successor.step(Acquired{Target: engineName(name)})
	}
	w.runFor(w.randomDuration(0, 40*time.Second))
	w.resume(old)
	w.runFor(60 * time.Second)
	w.checkConverged("2")
	w.checkLoadRate()
}

// resume lets a frozen gate continue: its stuck writes go out, and it finds only later that it lost its targets.
func (w *simulation) resume(g *fakeGate) {
	g.frozen = false
	for _, write := range g.pendingWrites {
		write()
	}
	g.pendingWrites = nil
	g.step(Tick{})
	for name := range w.engines {
		g.step(Lost{name})
	}
}

// Guards against orders that are lost or doubled when ownership moves back and forth and the catalogue changes
// meanwhile, with predecessors that confirm the handover.
func TestHandoversConverge(t *testing.T) {
	const schedules = 40
	for _, checksFencing := range []bool{true, false} {
		for seed := int64(1); seed <= schedules; seed++ {
			w := newSimulation(t, seed, 2, 2, checksFencing)
			owner := w.gates[0]
			for revision := uint64(1); revision <= 6; revision++ {
				c := testCatalogue(t, revision, fmt.Sprint(revision), checksFencing, len(w.engines))
				for _, g := range w.gates {
					g.step(CatalogueChanged{c})
				}
				next := w.gates[w.random.Intn(len(w.gates))]
				w.handover(owner, next)
				owner = next
				w.runFor(w.randomDuration(clockStep, 15*time.Second))
			}
			w.runFor(90 * time.Second)
			w.checkConverged("6")
			w.checkLoadRate()
		}
	}
	t.Logf("seeds 1 to %d", schedules)
}

func (w *simulation) handover(from, to *fakeGate) {
	for i := range len(w.engines) {
		name := engineName(i)
		released := from != to && !from.machine.OrderInFlight(w.now, name)
		from.step(Lost{name})
		to.step(Acquired{Target: name, Released: released})
	}
}

// Guards the weight store's rate when 20 engines of several owners need one model at once, also when the issuer
// is replaced meanwhile.
func TestPermitsKeepTheRate(t *testing.T) {
	const engines = 20
	for _, replaceIssuer := range []bool{false, true} {
		w := newSimulation(t, 1, 5, engines, true)
		w.runFor(15 * time.Second)
		for _, g := range w.gates {
			g.step(CatalogueChanged{testCatalogue(t, 1, "1", true, engines)})
		}
		for i := range engines {
			w.gates[i%4].step(Acquired{Target: engineName(i)})
		}
		w.runFor(8 * time.Second)
		if replaceIssuer {
			w.replaceIssuer()
		}
		start := w.now
		for len(w.loads) < engines && w.now < start+3*time.Minute {
			w.runFor(time.Second)
		}
		w.runFor(20 * time.Second)
		w.checkConverged("1")
		w.checkLoadRate()
		last := w.loads[len(w.loads)-1] - w.loads[0]
		t.Logf("seed 1, issuer replaced: %v: %d loads in %v", replaceIssuer, len(w.loads), last)
	}
}

// replaceIssuer removes the issuer from the views of all gates, one after the other within the time of
// disagreement, so that two gates believe to be the issuer.
func (w *simulation) replaceIssuer() {
	issuer, _ := PermitIssuer(w.gates[0].machine.view)
	var rest []*fakeGate
	for _, g := range w.gates {
		if g.name != issuer {
			rest = append(rest, g)
		}
	}
	for i, g := range w.gates {
		w.schedule(time.Duration(i)*time.Second, func() { g.setView(rest) })
	}
}
