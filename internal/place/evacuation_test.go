package place

import (
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Guards against calls to an evacuated zone that are not choices of a target for a request.
func TestEvacuatedZoneGetsNoCalls(t *testing.T) {
	p := picture(3, 64)
	p.SetEvacuated(map[string]bool{"z1": true})
	for _, target := range append(targets(3, 64), routes.Target{ID: "gone", Zone: "z1"}) {
		for purpose := range purposeCount {
			if got, want := p.Allowed(second, target, purpose), target.Zone != "z1"; got != want {
				t.Errorf("%s, purpose %d: allowed %v, want %v", target.ID, purpose, got, want)
			}
		}
	}
	if usable, listed := p.Count(second); usable != 2 || listed != 3 || p.EvacuatedTargets() != 1 {
		t.Errorf("%d of %d targets usable, %d evacuated", usable, listed, p.EvacuatedTargets())
	}
}

// Guards against placements that are forgotten with an evacuation, so that prompts are read again after it, and against
// copies from the zone during it.
func TestPlacementsOutlastAnEvacuation(t *testing.T) {
	p := picture(3, 64)
	p.SetCachesKnown()
	q := query(1, 8000)
	before := choose(t, p, second, q)
	p.Start(second, before, q.Prompt)
	p.SetEvacuated(map[string]bool{before.Target.Zone: true})
	during := choose(t, p, 2*second, q)
	if during.Target.Zone == before.Target.Zone || during.Source == before.Target.Address {
		t.Errorf("%s chosen with source %q while the zone of %s is evacuated", during.Target.ID, during.Source, before.Target.ID)
	}
	p.SetEvacuated(nil)
	if after := choose(t, p, 3*second, q); after.Target.ID != before.Target.ID {
		t.Errorf("%s chosen after the evacuation, %s has the prompt", after.Target.ID, before.Target.ID)
	}
}

// Guards against a refusal with the reason, or the time, of targets that may be chosen later than others.
func TestShortestTimeDecidesTheRefusal(t *testing.T) {
	pause := func(length time.Duration) func(p *LoadTracker, target routes.Target) {
		return func(p *LoadTracker, target routes.Target) {
			p.Stated(second, target, routes.Statements{RetryAfter: length})
		}
	}
	for _, test := range []struct {
		name      string
		other     func(p *LoadTracker, target routes.Target)
		want      reason.Reason
		least, at time.Duration
	}{
		{name: "paused for less", other: pause(600 * time.Millisecond), want: reason.OverLimit, least: 600 * time.Millisecond, at: 1200 * time.Millisecond},
		{name: "paused for longer", other: pause(3 * second), want: reason.Evacuated, least: second, at: 2 * second},
		{name: "leaving", other: exclude[Leaving], want: reason.NoTarget, least: blockBase, at: blockBase},
	} {
		for range 10 {
			p := picture(2, 64)
			list := targets(2, 64)
			p.SetEvacuated(map[string]bool{list[0].Zone: true})
			test.other(p, list[1])
			_, refusal := p.Choose(second, Query{Service: "s", Remaining: 5 * second})
			if refusal == nil || refusal.Reason != test.want || refusal.RetryAfter < test.least || refusal.RetryAfter > test.at {
				t.Errorf("%s: %+v, want %s after %v to %v", test.name, refusal, test.want, test.least, test.at)
			}
		}
	}
}
