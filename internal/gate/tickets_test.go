package gate

import (
	"errors"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/daemon"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// Guards against ticketed requests that are refused for lack of a witness because a gate that has just started, and
// has not discovered the other gates yet, is taken for the only gate.
func TestPlanOfAStartingGate(t *testing.T) {
	self := membership.Gate{Name: "a1", Incarnation: 1}
	peer := func(name string, state membership.State) membership.Member {
		return membership.Member{Gate: membership.Gate{Name: name, Incarnation: 2}, State: state, Direct: true}
	}
	cases := []struct {
		name      string
		snapshot  *Snapshot
		reachable int
		err       error
	}{
		{"no catalogue yet", nil, 0, errPeersUnknown},
		{"peers not heard yet", &Snapshot{View: &membership.View{Gates: []membership.Member{peer("a2", membership.Joining)}}}, 0, errPeersUnknown},
		{"one peer not heard yet", &Snapshot{View: &membership.View{Gates: []membership.Member{
			peer("a2", membership.Joining), peer("a3", membership.Live),
		}}}, 1, nil},
		{"no other gate", &Snapshot{View: &membership.View{Gates: []membership.Member{
			{Gate: self, State: membership.Live, Direct: true},
		}}}, 0, nil},
	}
	for _, test := range cases {
		g := &Gate{self: self, life: daemon.NewLifecycle(logrus.NewEntry(logrus.New()))}
		g.snapshot.Store(test.snapshot)
		reply, err := (&ticketServer{gate: g}).Plan(t.Context(), &pb.PlanRequest{})
		if !errors.Is(err, test.err) || len(reply.GetReachable()) != test.reachable {
			t.Errorf("%s: reaches %d, %v; want %d, %v", test.name, len(reply.GetReachable()), err, test.reachable, test.err)
		}
	}
}
