package gate

import (
	"context"
	"fmt"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/gossip"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// handoverTimeout bounds one handover call; it is shorter than the suspicion timeout.
const handoverTimeout = time.Second

func (g *Gate) newOwners() *ownership.Machine {
	timing := g.settings.Timing
	config := ownership.DefaultConfig()
	config.Lease = time.Duration(timing.Lease)
	config.SuspectAfter = time.Duration(timing.Suspicion)
	config.ListDisagreement = time.Duration(timing.ListDisagreement)
	config.ReportLag = time.Duration(timing.ReportLag)
	return ownership.New(config, g.self, g.clock.Now())
}

// stepOwners applies an event to the ownership state machine and performs the resulting effects. It returns the answer
// if the event was a handover request.
func (g *Gate) stepOwners(now time.Duration, event ownership.Event) *pb.HandoverReply {
	var answer *pb.HandoverReply
	for _, effect := range g.state.owners.Step(now, event) {
		switch e := effect.(type) {
		case ownership.Publish:
			g.publishPermissions(e.Snapshot)
		case ownership.SendHandoverRequest:
			g.askHandover(now, e)
		case ownership.SendHandoverReply:
			answer = g.handoverReply(now, e.Handovers)
		case ownership.AnnounceClaims:
			g.meters.Event("ownership_claimed")
			g.state.claims = append(g.state.claims, e.Targets...)
			g.heartbeatNow(now, nil)
			g.state.claims = nil
		case ownership.Watch:
			g.stepMembers(now, membership.Watch{Gates: e.Gates})
		}
	}
	return answer
}

// ownershipTargets lists the targets of a catalogue with their zones, which determine their owners.
func ownershipTargets(current *catalogue.Catalogue) []ownership.Target {
	var targets []ownership.Target
	for i := range current.Pools {
		for j := range current.Pools[i].Targets {
			t := &current.Pools[i].Targets[j]
			targets = append(targets, ownership.Target{Name: t.Name, Zone: t.Zone})
		}
	}
	return targets
}

// publishPermissions makes the current permissions available to admission and to the final check before a write.
func (g *Gate) publishPermissions(permissions *ownership.Snapshot) {
	g.permissions.Store(permissions)
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return
	}
	g.admission.update(func(c *admission.Controller, now time.Duration, out []admission.Outcome) []admission.Outcome {
		for name := range snapshot.Owned {
			if t, ok := snapshot.Catalogue.Target(name); ok {
				out = g.configureTarget(c, now, snapshot, t, out)
			}
		}
		return out
	})
	g.updateOrders(g.clock.Now())
}

// permission returns what this gate may currently admit to a target.
func (g *Gate) permission(target string) ownership.Permission {
	permissions := g.permissions.Load()
	if permissions == nil {
		return ownership.Permission{}
	}
	return permissions.Permission(target)
}

// permissionModes describes the permission for each owned target, for operators.
func (g *Gate) permissionModes(snapshot *Snapshot) map[string]string {
	modes := make(map[string]string, len(snapshot.Owned))
	for name := range snapshot.Owned {
		p := g.permission(name)
		modes[name] = fmt.Sprintf("%s, external %d, leftover %d", p.Mode, p.External, p.Residual)
	}
	return modes
}

// targetCap converts a permission to an admission cap.
func targetCap(p ownership.Permission) admission.Cap {
	if p.Mode == ownership.None {
		return admission.NoAdmission(p.Reason)
	}
	return admission.Cap{Max: admission.Unlimited, Reduce: p.Limit, Reason: p.Reason}
}

// askHandover asks a former owner to stop admitting requests to the targets that this gate takes over.
func (g *Gate) askHandover(asked time.Duration, ask ownership.SendHandoverRequest) {
	request := &pb.HandoverRequest{
		Successor:   wire.Gate(g.self),
		ViewVersion: g.state.members.View().Version,
		Targets:     ask.Targets,
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.lifetime, handoverTimeout)
		defer cancel()
		reply, err := pb.NewDRPCControlClient(g.control.Conn(ctx, ask.To.Address)).Handover(ctx, request)
		g.loop.Post(func(now time.Duration) {
			if err != nil {
				g.meters.ControlCall("handover", "failed")
				g.stepOwners(now, ownership.HandoverFailed(ask))
				return
			}
			g.stepOwners(now, g.handoverFrom(now, asked, reply))
		})
	}()
}

// Handover answers a gate that takes over targets.
func (s *controlServer) Handover(ctx context.Context, request *pb.HandoverRequest) (*pb.HandoverReply, error) {
	g := s.gate
	var reply *pb.HandoverReply
	err := g.loop.Call(ctx, func(now time.Duration) {
		successor := wire.GateFrom(request.Successor)
		g.stepMembers(now, membership.Contact{From: successor})
		reply = g.stepOwners(now, ownership.HandoverRequested{By: successor, Targets: request.Targets})
	})
	if reply == nil {
		reply = &pb.HandoverReply{From: wire.Gate(g.self)}
	}
	return reply, err
}

// handoverReply adds the requests in flight to the state machine's answer. They are read after admission has stopped.
func (g *Gate) handoverReply(now time.Duration, handovers []ownership.Handover) *pb.HandoverReply {
	reply := &pb.HandoverReply{From: wire.Gate(g.self)}
	for _, handover := range handovers {
		target := &pb.TargetHandover{
			Target:   handover.Target,
			Stopped:  handover.Stopped,
			Clean:    handover.Clean,
			External: int32(handover.External),

			OrderInFlight: g.state.orders.machine.OrderInFlight(now, handover.Target),
		}
		for _, count := range g.admission.inFlight(handover.Target) {
			target.InFlight = append(target.InFlight, &pb.CustomerInFlight{
				Customer: count.Customer,
				Count:    int32(count.Count),
				EndsMs:   timeLeft(count.Deadline, now).Milliseconds(),
			})
		}
		reply.Targets = append(reply.Targets, target)
	}
	return reply
}

// noDeadline is the remaining time that is reported for requests without a deadline.
const noDeadline = 24 * time.Hour

func timeLeft(deadline, now time.Duration) time.Duration {
	if deadline == 0 {
		return noDeadline
	}
	return deadline - now
}

func (g *Gate) handoverFrom(now, asked time.Duration, reply *pb.HandoverReply) ownership.HandoverReply {
	event := ownership.HandoverReply{From: wire.GateFrom(reply.From), RequestedAt: asked}
	for _, target := range reply.Targets {
		handover := ownership.Handover{
			Target:   target.Target,
			Stopped:  target.Stopped,
			Clean:    target.Clean,
			External: int(target.External),
		}
		g.recordRelease(target)
		if work, ok := handedOver(now, target); ok {
			handover.InFlight = append(handover.InFlight, work)
			g.state.handedOver[target.Target] = handedOverWork{from: event.From, asked: asked, answered: now, count: work.Count}
		}
		event.Handovers = append(event.Handovers, handover)
	}
	return event
}

// handedOver sums the requests in flight over all customers, because the load records that later show how many remain
// are not broken down by customer.
func handedOver(now time.Duration, target *pb.TargetHandover) (ownership.InFlight, bool) {
	var work ownership.InFlight
	for _, count := range target.InFlight {
		work.Count += int(count.Count)
		work.Deadline = max(work.Deadline, now+time.Duration(count.EndsMs)*time.Millisecond)
	}
	return work, work.Count > 0
}

// handedOverWork is the number of requests that a former owner had in flight at a target when it answered a handover.
type handedOverWork struct {
	from     membership.Gate
	asked    time.Duration
	answered time.Duration
	count    int
}

// reportWorkDone compares a former owner's load record with the requests in flight that it handed over, and reports
// those that have finished to the ownership state machine.
func (g *Gate) reportWorkDone(now time.Duration, record gossip.Record[*pb.LoadRecord]) {
	for name, work := range g.state.handedOver {
		same := work.from.Name == record.Payload.Gate && work.from.Incarnation == record.Payload.Incarnation
		if !same || now-record.Age <= work.answered {
			continue
		}
		left := loadOf(record.Payload, name)
		if left >= work.count {
			continue
		}
		g.stepOwners(now, ownership.WorkDone{Target: name, From: work.from, RequestedAt: work.asked, Count: work.count - left})
		work.count = left
		g.state.handedOver[name] = work
		if left == 0 {
			delete(g.state.handedOver, name)
		}
	}
}

// loadOf returns the number of requests that a gate has admitted to a target; a target missing from its record has
// none.
func loadOf(record *pb.LoadRecord, target string) int {
	for _, load := range record.Targets {
		if load.Target == target {
			return int(load.Load)
		}
	}
	return 0
}
