package entry

import (
	"context"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/settings"
)

// An entry must not keep following a gate in another zone after a short loss of the gates in its own zone, and must not
// leave the only gate that it follows.
func TestSwitchToNearerGate(t *testing.T) {
	gate := func(name, zone string) membership.Gate {
		return membership.Gate{Name: name, Address: name, Zone: zone, Region: "r"}
	}
	near, nearOther, far := gate("a1", "a"), gate("a2", "a"), gate("b1", "b")
	cases := []struct {
		name        string
		slot, other membership.Gate
		otherLive   bool
		secondState membership.State
		want        bool
	}{
		{"far, a near one is free", far, near, true, membership.Live, true},
		{"far, the near one is suspected", far, near, true, membership.Suspected, false},
		{"far, the other slot has no gate", far, near, false, membership.Live, false},
		{"near", nearOther, near, true, membership.Live, false},
		{"near, the other is far", near, far, true, membership.Live, false},
	}
	for _, test := range cases {
		clock := control.NewClock()
		e := &Entry{
			settings: &settings.Entry{Common: settings.Common{Name: "entry", Zone: "a", Region: "r"}},
			clock:    clock, loop: control.NewLoop(clock), state: newControlState("entry", "a"),
		}
		ctx, cancel := context.WithCancel(t.Context())
		go e.loop.Run(ctx, control.Handlers{OnTick: func(time.Duration) {}, Interval: time.Second, PauseThreshold: time.Hour})
		e.state.view = &membership.View{Gates: []membership.Member{
			{Gate: near, State: membership.Live}, {Gate: nearOther, State: test.secondState}, {Gate: far, State: membership.Live},
		}}
		e.state.followed = [followedGates]followed{{gate: test.slot, live: true}, {gate: test.other, live: test.otherLive}}
		if got := e.nearerGate(ctx, 0); got != test.want {
			t.Errorf("%s: %t, want %t", test.name, got, test.want)
		}
		cancel()
	}
}
