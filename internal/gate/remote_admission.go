package gate

import (
	"context"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// remoteAdmission is the admission of a ticketed request by another gate, which owns the target. A ticket's executor
// needs it when it no longer owns any target of the pool, because the ticket can't be used at another gate.
type remoteAdmission struct {
	target *catalogue.Target
	// writeBy is the earliest time at which the owner's lease may end.
	writeBy time.Time
	// held ends when the owner no longer counts the request.
	held context.Context
	// release ends the admission at the owner.
	release context.CancelFunc
}

// valid reports whether the request may be written now.
func (b *remoteAdmission) valid() bool {
	return b.held.Err() == nil && time.Now().Before(b.writeBy)
}

// admitRemotely asks the owners of the pool's targets to admit the request, starting with the target that the entry
// chose.
func (r *ticketRun) admitRemotely(ctx context.Context) (*remoteAdmission, reason.Reason) {
	snapshot, pool, why := r.pool()
	if why != "" {
		return nil, why
	}
	why = reason.NoTarget
	for _, t := range preferTarget(pool.Targets, r.request.Target) {
		if snapshot.View.Target(t.Name) != membership.Live {
			continue
		}
		owner, ok := ownership.Owner(snapshot.View, t.Name, t.Zone)
		if !ok || owner.Name == r.gate.self.Name {
			continue
		}
		var remote *remoteAdmission
		if remote, why = r.admitAt(ctx, owner, t); remote != nil {
			return remote, ""
		}
	}
	return nil, why
}

// preferTarget lists targets, the one with the given name first.
func preferTarget(targets []catalogue.Target, name string) []*catalogue.Target {
	list := make([]*catalogue.Target, 0, len(targets))
	for i := range targets {
		list = append(list, &targets[i])
		if targets[i].Name == name {
			list[0], list[i] = list[i], list[0]
		}
	}
	return list
}

// admitAt asks one gate to admit the request. The owner's lease is counted from before the call, so that it is never
// overestimated.
func (r *ticketRun) admitAt(ctx context.Context, owner membership.Gate, t *catalogue.Target) (*remoteAdmission, reason.Reason) {
	held, release := context.WithCancel(ctx)
	sent := time.Now()
	stream, err := pb.NewDRPCTrafficClient(r.gate.traffic.Conn(held, owner.Address)).Admit(held, &pb.AdmitRequest{
		Target:     t.Name,
		Customer:   r.request.Customer,
		Class:      r.request.Class,
		DeadlineMs: remaining(ctx).Milliseconds(),
	})
	var reply *pb.AdmitReply
	if err == nil {
		reply, err = stream.Recv()
	}
	if err != nil {
		release()
		r.gate.meters.ControlCall("admit", "failed")
		return nil, reason.GateUnreachable
	}
	if reply.Reason != "" {
		release()
		r.gate.meters.ControlCall("admit", "refused")
		return nil, reason.Reason(reply.Reason)
	}
	go func() {
		// The owner sends no further message: the end of the stream is the end of the admission.
		_, _ = stream.Recv()
		release()
	}()
	r.gate.meters.Event("order_admitted_elsewhere")
	return &remoteAdmission{
		target:  t,
		writeBy: sent.Add(time.Duration(reply.WriteWithinMs) * time.Millisecond),
		held:    held,
		release: release,
	}, ""
}

// Admit admits a ticketed request of another gate to a target that this gate owns, until the other gate ends the call.
func (s *trafficServer) Admit(request *pb.AdmitRequest, out pb.DRPCTraffic_AdmitStream) error {
	g := s.gate
	g.inFlight.begin()
	defer g.inFlight.end()
	ctx, cancel := context.WithTimeout(out.Context(), time.Duration(request.DeadlineMs)*time.Millisecond)
	defer cancel()
	snapshot := g.snapshot.Load()
	switch {
	case snapshot == nil:
		return out.Send(&pb.AdmitReply{Reason: string(reason.NotReady)})
	case g.targetsReleased.Load():
		return out.Send(&pb.AdmitReply{Reason: string(reason.Draining)})
	case !snapshot.Owned[request.Target]:
		return out.Send(&pb.AdmitReply{Reason: string(reason.NotOwner)})
	}
	id, err := g.admission.acquire(ctx, &admission.Request{
		Target:   request.Target,
		Customer: request.Customer,
		Class:    catalogue.Class(request.Class),
		Deadline: g.clock.Now() + remaining(ctx),
	})
	if err != nil {
		return out.Send(&pb.AdmitReply{Reason: string(reasonOf(err))})
	}
	defer g.admission.release(id, true)
	left := g.permission(request.Target).LeaseEnd - g.clock.Now()
	if err := out.Send(&pb.AdmitReply{WriteWithinMs: left.Milliseconds()}); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
