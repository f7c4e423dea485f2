package gate

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

const (
	drainPoll = 50 * time.Millisecond
	// notePropagationTime is how long a gate keeps answering after the heir has accepted its records, so that the note
	// that names the heir reaches every gate and entry.
	notePropagationTime = 2 * time.Second
	// heirProbeTimeout bounds the probe of whether a gate can be the heir.
	heirProbeTimeout = 500 * time.Millisecond
)

// drain stops accepting new work, hands targets and tickets over, and waits for the requests in flight.
func (g *Gate) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(g.settings.Timing.DrainLimit))
	defer cancel()
	var heir ticket.Gate
	var found bool
	g.life.OnHandOver(func() { heir, found = g.handOver(ctx) })
	g.life.Terminate()
	if !g.inFlight.wait(ctx.Done()) {
		g.tickets.stepExecutor(atmostonce.HandOver{})
		g.life.LimitReached()
		return trace.LimitExceeded("%d requests were still running after the drain limit", g.inFlight.count())
	}
	if found && !g.awaitHandOver(ctx) {
		g.life.LimitReached()
		return trace.LimitExceeded("heir %s did not accept the ticket records within the drain limit", heir.Name)
	}
	g.life.Finished()
	return nil
}

// handOver hands tickets and targets over and returns the heir of the ticket records. The targets are kept until the
// ticketed requests that the gate has accepted are written, since only the owner of a target may admit them. Until
// then the gate also admits other requests.
func (g *Gate) handOver(ctx context.Context) (heir ticket.Gate, found bool) {
	var ranked []ticket.Gate
	_ = g.loop.Call(ctx, func(time.Duration) {
		ranked = rankHeirs(g.state.members.View(), g.self)
	})
	heir, found = g.chooseHeir(ctx, ranked)
	if found {
		g.tickets.stepExecutor(atmostonce.Drain{Heir: heir})
		g.awaitUnwrittenTickets(ctx)
	}
	g.targetsReleased.Store(true)
	_ = g.loop.Call(ctx, func(now time.Duration) {
		g.stepMembers(now, membership.Drain{})
		g.stepOwners(now, ownership.Drain{})
		g.heartbeatNow(now, nil)
	})
	// The witness continues until the peers know of the drain, so that they don't name it in new tickets.
	if found {
		g.tickets.stepWitness(atmostonce.Drain{Heir: heir})
	}
	return heir, found
}

// awaitUnwrittenTickets waits until every accepted ticketed request is written or refused, for at most half of the
// drain limit.
func (g *Gate) awaitUnwrittenTickets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.settings.Timing.DrainLimit)/2)
	defer cancel()
	for g.tickets.unwrittenTickets() > 0 && ctx.Err() == nil {
		control.Sleep(ctx, drainPoll)
	}
}

// rankHeirs returns the live gates ordered by rendezvous hash, those in this gate's zone first.
func rankHeirs(view *membership.View, self membership.Gate) []ticket.Gate {
	var near, far []string
	for _, member := range view.Gates {
		if member.Name == self.Name || member.State != membership.Live || !member.Direct || member.Incarnation == 0 {
			continue
		}
		if member.Zone == self.Zone {
			near = append(near, member.Name)
		} else {
			far = append(far, member.Name)
		}
	}
	var heirs []ticket.Gate
	for _, name := range append(rendezvous.Order(self.Name, near), rendezvous.Order(self.Name, far)...) {
		member, _ := view.Gate(name)
		heirs = append(heirs, ticket.Gate(member.Gate))
	}
	return heirs
}

// chooseHeir returns the first gate that answers, or the highest-ranked gate if none does. The heir can't be changed
// later, since it may have accepted records although its reply was lost, and the view counts a killed gate as live
// until the suspicion timeout.
func (g *Gate) chooseHeir(ctx context.Context, ranked []ticket.Gate) (heir ticket.Gate, found bool) {
	for _, gate := range ranked {
		if g.answersAsHeir(ctx, gate) {
			return gate, true
		}
		g.meters.ControlCall("plan", "failed")
	}
	if len(ranked) == 0 {
		return ticket.Gate{}, false
	}
	return ranked[0], true
}

// answersAsHeir reports whether a gate process is alive and not draining.
func (g *Gate) answersAsHeir(ctx context.Context, gate ticket.Gate) bool {
	ctx, cancel := context.WithTimeout(ctx, heirProbeTimeout)
	defer cancel()
	plan, err := pb.NewDRPCTicketsClient(g.traffic.Conn(ctx, gate.Address)).Plan(ctx, &pb.PlanRequest{})
	return err == nil && !plan.Draining && plan.Self.GetIncarnation() == gate.Incarnation
}

// awaitHandOver waits until the heir has all records and the note that names it has spread.
func (g *Gate) awaitHandOver(ctx context.Context) bool {
	for !g.tickets.finished() {
		if ctx.Err() != nil {
			return false
		}
		control.Sleep(ctx, drainPoll)
	}
	control.Sleep(ctx, notePropagationTime)
	return true
}
