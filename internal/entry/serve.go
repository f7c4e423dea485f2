package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/retry"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

// maxCandidates bounds the candidates listed in a call; admission considers no more than that.
const maxCandidates = 16

// request is the state of one caller's request.
type request struct {
	id          string
	customer    *catalogue.Customer
	pool        *catalogue.Pool
	method      string
	path        string
	contentType string
	body        []byte
	stream      bool
	deadline    time.Time
	chat        string
	chatHash    uint64
	holder      int
	holderName  string
	repeatable  bool
	// resumeFrom is the number of the first event that the caller has not received.
	resumeFrom int64
	// digest identifies the request to the crash guard; charges are the crashes attributed to it so far.
	digest  crashguard.Digest
	charges []crashguard.Charge
	// charged reports that a crash was attributed to an attempt, most recently at chargedAt.
	charged   bool
	chargedAt time.Duration
	// mayHaveRun reports that at least one attempt may have run.
	mayHaveRun bool
	// redirected reports that a gate has redirected the request to the targets in next.
	redirected bool
	next       []string
	started    time.Time
}

// preferHolder makes the target in a placement token the preferred one.
func (r *request) preferHolder(routes *routing.Pool, token placement.Token) {
	if position, ok := routes.Index(token.Target); ok {
		r.holder = position
		r.holderName = token.Target
	}
}

// serve tries targets until the response is complete or no further attempt is allowed.
func (e *Entry) serve(c *caller, request *request) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	request.started = time.Now()
	e.retryBudget.addRequest()
	request.digest = crashguard.DigestOf(request.customer.Name, request.path, request.body)
	response := newResponse(e, c, request)
	var tried routing.Tried
	// ownerRefusal is the last refusal in this pass over the targets that was due to a missing owner.
	var ownerRefusal *Refusal
	for attempt := 1; ; attempt++ {
		err := e.attemptTarget(ctx, request, response, &tried)
		if err != nil && response.resumable() {
			err = e.continueStream(ctx, request, response, err)
		}
		if err == nil {
			return response.finish()
		}
		refusal, ok := refusalIn(err)
		if !ok {
			return err
		}
		if refusal.Ran == reason.MayHaveRun {
			e.log.WithFields(logrus.Fields{
				"request": request.id, "pool": request.pool.Name, "attempt": attempt, "reason": refusal.Reason,
				"ms": time.Since(request.started).Milliseconds(),
			}).WithError(refusal).Warn("a try failed that may have run")
		}
		refusal = request.recordOutcome(refusal)
		if request.redirect(refusal) {
			e.meters.Event("redirected_over_limit")
			continue
		}
		if ownershipMoving(refusal.Reason) {
			ownerRefusal = refusal
		}
		if refusal.Reason == reason.NoTarget && ownerRefusal != nil {
			// All targets were tried; wait until one of them has an owner again.
			refusal = ownerRefusal
		} else if e.mayRetry(ctx, request, response, refusal, attempt) {
			continue
		}
		if !e.awaitOwner(ctx, request, response, refusal) {
			return e.fail(c.Request().Context(), request, response, refusal)
		}
		tried, ownerRefusal = routing.Tried{}, nil
	}
}

// redirect accepts the alternative targets that a gate names because its own target is at its limit. A request is
// redirected at most once and needs no retry budget for it: gates name only targets with free capacity, and the next
// gate queues the request instead of redirecting it again.
func (r *request) redirect(refusal *Refusal) bool {
	if r.redirected || refusal.Ran != reason.NotRun || len(refusal.next) == 0 {
		return false
	}
	r.redirected = true
	r.next = refusal.next
	return true
}

const (
	// ownerWaitLimit bounds how long a request waits while ownership of targets moves. It covers the suspicion timeout
	// of a killed gate and the handover.
	ownerWaitLimit     = 4 * time.Second
	ownerRetryInterval = 100 * time.Millisecond
)

// awaitOwner delays a request while no gate admits for its target, and reports whether to try again. The retry budget
// does not apply: such an attempt costs a gate little and a target nothing.
func (e *Entry) awaitOwner(ctx context.Context, request *request, response *response, refusal *Refusal) bool {
	if !request.repeatable || response.started || !e.shouldAwaitOwner(ctx, request, refusal) {
		return false
	}
	e.meters.Retried(refusal.Reason)
	response.reset()
	control.Sleep(ctx, ownerRetryInterval)
	return ctx.Err() == nil
}

// shouldAwaitOwner reports whether a refused request should wait until its target has an owner.
func (e *Entry) shouldAwaitOwner(ctx context.Context, request *request, refusal *Refusal) bool {
	return ownershipMoving(refusal.Reason) && time.Since(request.started) <= ownerWaitLimit && ctx.Err() == nil
}

// ownershipMoving reports whether a refusal indicates that ownership of the target is moving between gates.
func ownershipMoving(r reason.Reason) bool {
	switch r {
	case reason.NotOwner, reason.Draining, reason.NotReady, reason.LeaseLost, reason.Probation, reason.NoGate, reason.GateUnreachable:
		return true
	}
	return false
}

// mayRetry reports whether the retry policy allows another attempt, after waiting for the delay that it requires.
func (e *Entry) mayRetry(ctx context.Context, request *request, response *response, refusal *Refusal, attempt int) bool {
	permit, ok := e.retryBudget.allow(retry.Attempt{
		Number:     attempt,
		Reason:     refusal.Reason,
		Ran:        refusal.Ran,
		Repeatable: request.repeatable,
		BytesSent:  response.bytesSent,
		HasNext:    len(refusal.next) > 0,
		Deadline:   e.clock.Now() + time.Until(request.deadline),
	})
	if !ok {
		if permit.Denied != refusal.Reason {
			e.meters.RetryDenied(permit.Denied)
		}
		return false
	}
	e.meters.Retried(refusal.Reason)
	response.reset()
	return control.Sleep(ctx, permit.Delay)
}

// attemptTarget sends the request to one target through the gate that owns it.
func (e *Entry) attemptTarget(ctx context.Context, request *request, response *response, tried *routing.Tried) error {
	snapshot := e.snapshot.Load()
	routes, ok := snapshot.Routes.Pool(request.pool.Name)
	if !ok {
		return refuse(reason.UnknownPool, "the catalogue no longer has pool %s", request.pool.Name)
	}
	if err := e.checkSuspect(request); err != nil {
		return err
	}
	position, ok := e.pick(routes, request, tried)
	if !ok {
		return &Refusal{Reason: reason.NoTarget, Ran: reason.NotRun, Message: "no target of " + request.pool.Name + " is open", RetryAfter: time.Second}
	}
	tried.Add(position)
	candidate := &routes.Candidates[position]
	owner, ok := ownership.Owner(snapshot.View, candidate.Target.Name, candidate.Target.Zone)
	if !ok {
		return refuse(reason.NoGate, "no gate is live")
	}
	candidate.InFlight.Add(1)
	defer candidate.InFlight.Add(-1)
	e.suspects.started(request.digest, candidate.Target.Name)
	defer e.suspects.ended(request.digest, candidate.Target.Name)
	call := e.serveRequest(ctx, request, candidate.Target.Name)
	if request.holder != position {
		call.PreviousTarget = request.holderName
	}
	if !request.redirected {
		call.Candidates = routes.Alternatives(request.chatHash, maxCandidates, tried)
		if position == request.holder {
			call.PatienceMs = uint32(routes.HolderWait().Milliseconds())
		}
	}
	err := e.callOwner(ctx, owner, call, response)
	if refusal, ok := refusalIn(err); ok {
		e.avoidTargetAfter(candidate.Target.Name, refusal)
	}
	return err
}

// callOwner calls the owner of a target. If that gate names another one as the owner, it calls that one too.
func (e *Entry) callOwner(ctx context.Context, owner membership.Gate, call *pb.ServeRequest, response *response) error {
	err := e.callGate(ctx, owner, call, response)
	refusal, ok := refusalIn(err)
	if ok {
		e.avoidGateAfter(owner, refusal)
	}
	if ok && refusal.owner.Name != "" && refusal.owner.Name != owner.Name {
		e.meters.Event("redirected")
		return e.callGate(ctx, refusal.owner, call, response)
	}
	return err
}

// choose selects a target: one that a gate named, else one selected by the routing policy, else the least loaded, where
// the request is queued unless its gate knows a target with free capacity.
func choose(request *request, routes *routing.Pool, tried *routing.Tried) (position int, ok bool) {
	for _, name := range request.next {
		if position, ok := routes.Index(name); ok && routes.Open(position, tried) {
			return position, true
		}
	}
	if position, ok := routes.Pick(request.chatHash, request.holder, tried); ok {
		return position, true
	}
	return routes.LeastLoaded(request.chatHash, tried)
}

func (e *Entry) serveRequest(ctx context.Context, request *request, target string) *pb.ServeRequest {
	remaining := int64(0)
	if limit, ok := ctx.Deadline(); ok {
		remaining = time.Until(limit).Milliseconds()
	}
	return &pb.ServeRequest{
		RequestId:   request.id,
		Customer:    request.customer.Name,
		Pool:        request.pool.Name,
		Target:      target,
		Method:      request.method,
		Path:        request.path,
		Body:        request.body,
		ContentType: request.contentType,
		Class:       string(request.customer.Class),
		DeadlineMs:  remaining,
		Stream:      request.stream,
		Chat:        request.chat,
		Entry:       e.settings.Name,
		Digest:      uint64(request.digest),
		Suspect:     len(request.charges) > 0,
		Charges:     wire.Charges(request.charges),
	}
}

// callGate sends one call to a gate and passes the events that it returns to the response.
func (e *Entry) callGate(ctx context.Context, gate membership.Gate, call *pb.ServeRequest, response *response) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := pb.NewDRPCTrafficClient(e.traffic.Conn(ctx, gate.Address))
	call.Loads = e.loadRelay.loadsFor(call.Pool, gate.Name)
	events, err := client.Serve(ctx, call)
	if err != nil {
		return gateError(ctx, err)
	}
	defer func() { _ = events.Close() }()
	stall := time.AfterFunc(e.stallTimeout(), cancel)
	defer stall.Stop()
	for {
		event, err := events.Recv()
		if err != nil {
			return gateError(ctx, err)
		}
		stall.Reset(e.stallTimeout())
		done, err := response.accept(event)
		if done || err != nil {
			return err
		}
	}
}

func (e *Entry) stallTimeout() time.Duration { return time.Duration(e.settings.StallTimeout) }

// gateError converts an error of the RPC layer to a refusal.
func gateError(ctx context.Context, err error) error {
	var dial *rpc.DialError
	switch {
	case errors.As(err, &dial):
		return refuse(reason.GateUnreachable, "%v", dial)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Refusal{Reason: reason.DeadlineExceeded, Ran: reason.MayHaveRun, Message: "the deadline passed"}
	case errors.Is(err, io.EOF):
		return &Refusal{Reason: reason.GateFailed, Ran: reason.MayHaveRun, Message: "the gate ended the answer early"}
	}
	return &Refusal{Reason: reason.GateFailed, Ran: reason.MayHaveRun, Message: err.Error()}
}

// refusalOf converts the refusal in a gate's reply.
func refusalOf(r *pb.Refusal) *Refusal {
	return &Refusal{
		Reason:       reason.Reason(r.Reason),
		Ran:          wire.RanFrom(r.Ran),
		Message:      r.Detail,
		RetryAfter:   time.Duration(r.RetryAfterMs) * time.Millisecond,
		next:         r.Next,
		owner:        wire.GateFrom(r.Owner),
		askOtherGate: r.Elsewhere,
		crashed:      reason.Reason(r.Reason) == reason.TargetFailed && len(r.Charges) > 0,
		heir:         wire.TicketGateFrom(r.Heir),
	}
}
