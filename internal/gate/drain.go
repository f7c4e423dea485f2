package gate

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
)

const (
	drainPoll = 50 * time.Millisecond
	// noteSpread is how long a gate goes on answering after its records are at the heir, so that the note that
	// names the heir has reached every gate and entry.
	noteSpread = 2 * time.Second
)

// drain stops taking new work, hands targets and tickets over and finishes the work in flight.
func (g *Gate) drain() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(g.settings.Timing.DrainLimit))
	defer cancel()
	var heir ticket.Gate
	var found bool
	g.life.OnHandOver(func() { heir, found = g.handOver(ctx) })
	g.life.Terminate()
	if !g.inFlight.wait(ctx.Done()) {
		g.desk.feed(atmostonce.HandOver{})
		g.life.LimitReached()
		return trace.LimitExceeded("%d requests were still running after the drain limit", g.inFlight.count())
	}
	if found && !g.awaitHandOver(ctx) {
		g.life.LimitReached()
		return trace.LimitExceeded("heir %s has not taken the ticket records within the drain limit", heir.Name)
	}
	g.life.Finished()
	return nil
}

// handOver hands tickets and targets over and returns the heir of the ticket records. The targets stay until the orders
// that the gate has accepted are written, since only their owner may admit those. Meanwhile it admits other requests too.
func (g *Gate) handOver(ctx context.Context) (heir ticket.Gate, found bool) {
	_ = g.loop.Call(ctx, func(time.Duration) {
		heir, found = chooseHeir(g.state.members.View(), g.self)
	})
	if found {
		g.desk.feed(atmostonce.Drain{Heir: heir})
		g.awaitOrders(ctx)
	}
	g.targetsLeft.Store(true)
	_ = g.loop.Call(ctx, func(now time.Duration) {
		g.stepMembers(now, membership.Drain{})
		g.stepOwners(now, ownership.Drain{})
		g.heartbeatNow(now, nil)
	})
	// The witness goes on until the peers know of the drain, so that they don't name it in new tickets.
	if found {
		g.desk.feedWitness(atmostonce.Drain{Heir: heir})
	}
	return heir, found
}

// awaitOrders waits until every accepted order is written or refused, for at most half of the drain limit.
func (g *Gate) awaitOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(g.settings.Timing.DrainLimit)/2)
	defer cancel()
	for g.desk.unwrittenTickets() > 0 && ctx.Err() == nil {
		control.Sleep(ctx, drainPoll)
	}
}

// chooseHeir returns the first live gate by rank, of this gate's zone where there is one.
func chooseHeir(view *membership.View, self membership.Gate) (ticket.Gate, bool) {
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
	if len(near) == 0 {
		near = far
	}
	name, ok := rendezvous.First(self.Name, near)
	if !ok {
		return ticket.Gate{}, false
	}
	member, _ := view.Gate(name)
	return ticket.Gate(member.Gate), true
}

// awaitHandOver waits until the heir has all records and the note of it has spread.
func (g *Gate) awaitHandOver(ctx context.Context) bool {
	for !g.desk.finished() {
		if ctx.Err() != nil {
			return false
		}
		control.Sleep(ctx, drainPoll)
	}
	control.Sleep(ctx, noteSpread)
	return true
}
