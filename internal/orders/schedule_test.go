package orders

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a former owner whose delayed order prevails, and against concurrent orders: the first owner freezes
// while it sends, the second takes over with a newer catalogue, and the first resumes at a random time.
func TestFormerOwnerDoesNotPrevail(t *testing.T) {
	const schedules = 60
	for _, checksFencing := range []bool{true, false} {
		late, fenced := 0, 0
		for seed := int64(1); seed <= schedules; seed++ {
			s := newSimulation(t, seed, 3, 2, checksFencing)
			runTakeover(s, checksFencing)
			for _, e := range s.engines {
				late += e.lateOrders
				fenced += e.fencedOrders
			}
		}
		t.Logf("seeds 1 to %d, engines check fencing: %v, %d late orders accepted, %d orders fenced", schedules, checksFencing, late, fenced)
		if !checksFencing && late == 0 || checksFencing && fenced == 0 {
			t.Errorf("engines check fencing: %v: no schedule produced a late order", checksFencing)
		}
	}
}

// runTakeover freezes gate-0 and lets gate-1 take over its engines. gate-2 takes part only so that the views keep their
// size.
func runTakeover(s *simulation, checksFencing bool) {
	old, successor := s.gates[0], s.gates[1]
	oldCatalogue := testCatalogue(s.t, 1, "1", checksFencing, len(s.engines))
	newCatalogue := testCatalogue(s.t, 2, "2", checksFencing, len(s.engines))
	s.runFor(15 * time.Second)
	for _, g := range s.gates {
		g.step(CatalogueChanged{oldCatalogue})
	}
	for i := range len(s.engines) {
		old.step(OwnershipAcquired{Target: engineName(i)})
	}
	old.freezeAfter = 1 + s.random.Intn(3)
	s.runWhile(s.randomDuration(8*time.Second, 16*time.Second), func() bool { return !old.frozen })
	old.frozen = true
	s.runFor(2 * time.Second)
	s.setViews(s.gates[1:])
	successor.step(CatalogueChanged{newCatalogue})
	for i := range len(s.engines) {
		successor.step(OwnershipAcquired{Target: engineName(i)})
	}
	s.runFor(s.randomDuration(0, 40*time.Second))
	s.resume(old)
	s.runFor(60 * time.Second)
	s.checkConverged("2")
	s.checkLoadRate()
}

// resume lets a frozen gate continue: its pending writes are sent, and only then does it learn that it no longer owns
// its targets.
func (s *simulation) resume(g *fakeGate) {
	g.frozen = false
	for _, write := range g.pendingWrites {
		write()
	}
	g.pendingWrites = nil
	g.step(Tick{})
	for name := range s.engines {
		g.step(OwnershipLost{name})
	}
}

// Guards against lost or duplicate orders when ownership moves back and forth between gates while the catalogue
// changes, with predecessors that confirm the handover.
func TestHandoversConverge(t *testing.T) {
	const schedules = 40
	for _, checksFencing := range []bool{true, false} {
		for seed := int64(1); seed <= schedules; seed++ {
			s := newSimulation(t, seed, 2, 2, checksFencing)
			owner := s.gates[0]
			for revision := uint64(1); revision <= 6; revision++ {
				c := testCatalogue(t, revision, fmt.Sprint(revision), checksFencing, len(s.engines))
				for _, g := range s.gates {
					g.step(CatalogueChanged{c})
				}
				next := s.gates[s.random.Intn(len(s.gates))]
				s.handover(owner, next)
				owner = next
				s.runFor(s.randomDuration(clockStep, 15*time.Second))
			}
			s.runFor(90 * time.Second)
			s.checkConverged("6")
			s.checkLoadRate()
		}
	}
	t.Logf("seeds 1 to %d", schedules)
}

func (s *simulation) handover(from, to *fakeGate) {
	for i := range len(s.engines) {
		name := engineName(i)
		released := from != to && !from.machine.OrderInFlight(s.now, name)
		from.step(OwnershipLost{name})
		to.step(OwnershipAcquired{Target: name, Released: released})
	}
}

// Guards against exceeding the weight store's load rate when 20 engines of several owners need one model at the same
// time, with and without a replacement of the issuer meanwhile.
func TestPermitsLimitLoadRate(t *testing.T) {
	const engines = 20
	for _, replaceIssuer := range []bool{false, true} {
		s := newSimulation(t, 1, 5, engines, true)
		s.runFor(15 * time.Second)
		for _, g := range s.gates {
			g.step(CatalogueChanged{testCatalogue(t, 1, "1", true, engines)})
		}
		for i := range engines {
			s.gates[i%4].step(OwnershipAcquired{Target: engineName(i)})
		}
		s.runFor(8 * time.Second)
		if replaceIssuer {
			s.replaceIssuer()
		}
		start := s.now
		for len(s.loads) < engines && s.now < start+3*time.Minute {
			s.runFor(time.Second)
		}
		s.runFor(20 * time.Second)
		s.checkConverged("1")
		s.checkLoadRate()
		elapsed := s.loads[len(s.loads)-1] - s.loads[0]
		t.Logf("seed 1, issuer replaced: %v: %d loads in %v", replaceIssuer, len(s.loads), elapsed)
	}
}

// replaceIssuer removes the issuer from the views of all gates, one after the other within MaxViewDisagreement, so
// that two gates temporarily consider themselves the issuer.
func (s *simulation) replaceIssuer() {
	issuer, _ := PermitIssuer(s.gates[0].machine.view)
	var rest []*fakeGate
	for _, g := range s.gates {
		if g.name != issuer {
			rest = append(rest, g)
		}
	}
	for i, g := range s.gates {
		s.schedule(time.Duration(i)*time.Second, func() { g.setView(rest) })
	}
}
