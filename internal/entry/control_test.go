package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/settings"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// candidatesAfter returns the candidates e0 and e1 as known to an entry at a given time, after the given load updates.
func candidatesAfter(t *testing.T, now time.Duration, updates map[time.Duration][]*pb.TargetLoad, avoided ...string) map[string]routing.Candidate {
	t.Helper()
	c, err := catalogue.Parse([]byte("revision: 1\npools:\n- {name: rose, owner: o, kind: model, max_in_flight: 4, targets: [" +
		"{name: e0, address: '127.0.0.1:1', zone: a}, {name: e1, address: '127.0.0.1:2', zone: a}]}\n"))
	if err != nil {
		t.Fatal(err)
	}
	e := &Entry{settings: new(settings.Entry), state: newControlState("entry", "a")}
	for at := time.Duration(0); at <= now; at += time.Second {
		if loads, ok := updates[at]; ok {
			e.state.acceptLoads(at, loads)
		}
	}
	for _, name := range avoided {
		reported := e.state.loads[name]
		reported.avoidUntil = now + avoidDuration
		e.state.loads[name] = reported
	}
	candidates := make(map[string]routing.Candidate)
	for _, candidate := range e.poolSnapshot(now, &c.Pools[0]).Candidates {
		candidate.InFlight = new(atomic.Int32)
		candidates[candidate.Target.Name] = candidate
	}
	return candidates
}

func load(target, state string, value int32) *pb.TargetLoad {
	return &pb.TargetLoad{Target: target, State: state, Load: value}
}

// Updates carry only the loads that changed. A busy target must not appear idle because its load has been constant for
// some seconds.
func TestUnchangedLoadDoesNotExpire(t *testing.T) {
	updates := map[time.Duration][]*pb.TargetLoad{0: {load("e0", "", 7), load("e1", "", 3)}}
	if got := candidatesAfter(t, loadExpiry, updates)["e0"].Reported; got != 0 {
		t.Errorf("load %d after a silence of %s, want 0", got, loadExpiry)
	}
	for second := time.Second; second <= 3*loadExpiry; second += time.Second {
		updates[second] = []*pb.TargetLoad{load("e1", "", int32(second/time.Second))}
	}
	if got := candidatesAfter(t, 3*loadExpiry, updates)["e0"].Reported; got != 7 {
		t.Errorf("load %d after updates without a change, want 7", got)
	}
}

// Requests must not keep failing at a lost gate until the view excludes it, and a pool must not stay closed because all
// of its gates are avoided.
func TestTargetsOfAvoidedGatesAreClosed(t *testing.T) {
	gates := []membership.Member{
		{Gate: membership.Gate{Name: "g0", Zone: "a"}, State: membership.Live},
		{Gate: membership.Gate{Name: "g1", Zone: "a"}, State: membership.Live},
	}
	view := &membership.View{Gates: gates}
	s := newControlState("entry", "a")
	s.view = view
	target := &catalogue.Target{Name: "e0", Zone: "a"}
	owner, _ := ownership.Owner(view, target.Name, target.Zone)
	for _, gate := range gates {
		s.avoidedGates = map[string]time.Duration{gate.Name: avoidDuration}
		if got, want := s.ownerAvoided(avoidDuration-1, target), gate.Name == owner.Name; got != want {
			t.Errorf("%s avoided, owned by %s: closed %t, want %t", gate.Name, owner.Name, got, want)
		}
		if s.ownerAvoided(avoidDuration, target) {
			t.Errorf("%s is avoided for longer than %s", gate.Name, avoidDuration)
		}
		s.expireAvoidedGates(avoidDuration)
		if len(s.avoidedGates) > 0 {
			t.Error("a gate that is no longer avoided was kept")
		}
	}
}

// After all targets of a pool were down at the same time and have recovered, requests must not be refused during the
// seconds until the recovery is reported.
func TestDownTargetsAreOpenedAsLastResort(t *testing.T) {
	cases := []struct {
		name         string
		e0, e1       string
		avoided      []string
		open0, open1 bool
	}{
		{"both live", "", "", nil, true, true},
		{"one down", wire.TargetDown, "", nil, false, true},
		{"one avoided", "", "", []string{"e0"}, false, true},
		{"both down", wire.TargetDown, wire.TargetDown, nil, true, true},
		{"one down, one avoided", wire.TargetDown, "", []string{"e1"}, true, true},
		{"one down, one leaving", wire.TargetDown, "leaving", nil, true, false},
		{"both leaving", "leaving", "leaving", nil, false, false},
		{"one unloaded, one gone", "unloaded", "gone", nil, false, false},
	}
	for _, test := range cases {
		updates := map[time.Duration][]*pb.TargetLoad{0: {load("e0", test.e0, 0), load("e1", test.e1, 0)}}
		got := candidatesAfter(t, 0, updates, test.avoided...)
		if got["e0"].Open != test.open0 || got["e1"].Open != test.open1 {
			t.Errorf("%s: open %t and %t, want %t and %t", test.name, got["e0"].Open, got["e1"].Open, test.open0, test.open1)
		}
	}
}
