package gate

import (
	"context"
	"testing"
	"time"

	"storj.io/drpc"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// admitStream records the replies to an Admit call.
type admitStream struct {
	drpc.Stream
	ctx     context.Context
	replies chan *pb.AdmitReply
}

func (s *admitStream) Context() context.Context { return s.ctx }

func (s *admitStream) Send(reply *pb.AdmitReply) error {
	s.replies <- reply
	return nil
}

// Guards against a gate that admits a ticketed request for another gate without owning the target, or while it gives
// up its targets.
func TestRemoteAdmissionNeedsOwnership(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*Gate, *Snapshot)
		want    reason.Reason
	}{
		{"no catalogue", func(*Gate, *Snapshot) {}, reason.NotReady},
		{"stopping", func(g *Gate, s *Snapshot) { g.snapshot.Store(s); g.targetsReleased.Store(true) }, reason.Draining},
		{"not the owner", func(g *Gate, s *Snapshot) { delete(s.Owned, "e0"); g.snapshot.Store(s) }, reason.NotOwner},
	}
	for _, test := range cases {
		g, snapshot := newTestGate(t, 1)
		test.prepare(g, snapshot)
		stream := &admitStream{ctx: t.Context(), replies: make(chan *pb.AdmitReply, 1)}
		if err := (&trafficServer{gate: g}).Admit(&pb.AdmitRequest{Target: "e0", DeadlineMs: 1000}, stream); err != nil {
			t.Errorf("%s: %v", test.name, err)
			continue
		}
		if reply := <-stream.replies; reason.Reason(reply.Reason) != test.want {
			t.Errorf("%s: refused with %q, want %q", test.name, reply.Reason, test.want)
		}
	}
}

// Guards against a request that counts at its owner for longer or shorter than the executor keeps the call open.
func TestRemoteAdmissionCountsUntilCallEnds(t *testing.T) {
	g, snapshot := newTestGate(t, 1)
	g.snapshot.Store(snapshot)
	g.configureAdmission(snapshot)
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		return c.SetCap(now, "e0", admission.Cap{Max: admission.Unlimited, Reduce: func(limit int) int { return limit }}, out)
	})
	ctx, end := context.WithCancel(t.Context())
	stream := &admitStream{ctx: ctx, replies: make(chan *pb.AdmitReply, 1)}
	done := make(chan error, 1)
	go func() {
		done <- (&trafficServer{gate: g}).Admit(&pb.AdmitRequest{Target: "e0", Customer: "press", DeadlineMs: 60_000}, stream)
	}()
	if reply := <-stream.replies; reply.Reason != "" {
		t.Fatalf("refused with %q", reply.Reason)
	}
	count := func() int {
		sum := 0
		for _, customer := range g.admission.inFlight("e0") {
			sum += customer.Count
		}
		return sum
	}
	if count() != 1 {
		t.Errorf("%d orders in flight while the call is open", count())
	}
	end()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if count() != 0 {
		t.Errorf("%d orders in flight after the call", count())
	}
}

// Guards against writing a request after the owner's lease may have ended, or after the owner has stopped counting it.
func TestRemoteAdmissionEndsWithLeaseOrRelease(t *testing.T) {
	held, release := context.WithCancel(t.Context())
	defer release()
	open := &remoteAdmission{writeBy: time.Now().Add(time.Minute), held: held}
	if !open.valid() {
		t.Error("an admission within its lease is not valid")
	}
	if (&remoteAdmission{writeBy: time.Now(), held: held}).valid() {
		t.Error("an admission after the lease is valid")
	}
	release()
	if open.valid() {
		t.Error("an admission that the owner has ended is valid")
	}
}

// Guards against requests that go to a target other than the one that the entry chose.
func TestChosenTargetIsAskedFirst(t *testing.T) {
	targets := []catalogue.Target{{Name: "s0"}, {Name: "s1"}, {Name: "s2"}}
	list := preferTarget(targets, "s2")
	if len(list) != 3 || list[0].Name != "s2" || list[1].Name != "s1" || list[2].Name != "s0" {
		t.Errorf("got %v", list)
	}
}
