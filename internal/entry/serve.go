package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/rpc"
	"github.com/amaranthlb/amaranthlb/internal/stream"
)

const maximumTries = 4

// request is one caller's request on its way through the entry.
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
	repeatable  bool
}

// useHolder makes the target of a placement token the first choice.
func (r *request) useHolder(routes *routing.Pool, token placement.Token) {
	if position, ok := routes.Index(token.Target); ok {
		r.holder = position
	}
}

// serve tries targets until the answer is whole or no further try is allowed.
func (e *Entry) serve(c *caller, request *request) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	answer := newAnswer(e, c, request)
	var tried routing.Tried
	var last *Refusal
	for try := 0; try < maximumTries; try++ {
		err := e.tryOnce(ctx, request, answer, &tried)
		if err == nil {
			return answer.finish()
		}
		if !errors.As(err, &last) {
			return err
		}
		if answer.begun() || (last.Ran != reason.No && !request.repeatable) || ctx.Err() != nil {
			break
		}
		e.meters.Retried(last.Reason)
	}
	return answer.fail(last)
}

// tryOnce sends the request to one target through its owner.
func (e *Entry) tryOnce(ctx context.Context, request *request, answer *answer, tried *routing.Tried) error {
	snapshot := e.snapshot.Load()
	routes, ok := snapshot.Routes.Pool(request.pool.Name)
	if !ok {
		return refuse(reason.UnknownPool, "the catalogue no longer has pool %s", request.pool.Name)
	}
	position, ok := routes.Pick(request.chatHash, request.holder, tried)
	if !ok {
		return &Refusal{Reason: reason.NoTarget, Ran: reason.No, Message: "no target of " + request.pool.Name + " has room", RetryAfter: time.Second}
	}
	tried.Add(position)
	candidate := &routes.Candidates[position]
	owner, ok := ownership.Owner(snapshot.View, candidate.Target.Name, candidate.Target.Zone)
	if !ok {
		return refuse(reason.NoGate, "no gate is live")
	}
	candidate.InFlight.Add(1)
	defer candidate.InFlight.Add(-1)
	return e.callGate(ctx, owner, e.serveRequest(ctx, request, candidate.Target.Name), answer)
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
	}
}

// callGate sends one call to a gate and feeds its events to the answer.
func (e *Entry) callGate(ctx context.Context, gate membership.Gate, call *pb.ServeRequest, answer *answer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := pb.NewDRPCTrafficClient(e.traffic.Conn(ctx, gate.Address))
	events, err := client.Serve(ctx, call)
	if err != nil {
		return gateError(ctx, err)
	}
	defer func() { _ = events.Close() }()
	verifier := stream.NewVerifier(call.RequestId, call.ResumeFrom)
	stall := time.AfterFunc(e.stallTimeout(), cancel)
	defer stall.Stop()
	for {
		event, err := events.Recv()
		if err != nil {
			return gateError(ctx, err)
		}
		stall.Reset(e.stallTimeout())
		done, err := answer.accept(event, verifier)
		if done || err != nil {
			return err
		}
	}
}

func (e *Entry) stallTimeout() time.Duration { return time.Duration(e.settings.StallTimeout) }

// gateError turns an error of the rpc layer into a refusal.
func gateError(ctx context.Context, err error) error {
	var dial *rpc.DialError
	switch {
	case errors.As(err, &dial):
		return refuse(reason.GateUnreachable, "%v", dial)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return &Refusal{Reason: reason.DeadlineExceeded, Ran: reason.Unknown, Message: "the deadline passed"}
	case errors.Is(err, io.EOF):
		return &Refusal{Reason: reason.GateFailed, Ran: reason.Unknown, Message: "the gate ended the answer early"}
	}
	return &Refusal{Reason: reason.GateFailed, Ran: reason.Unknown, Message: err.Error()}
}

// refusalOf turns a gate's refusal into the entry's form.
func refusalOf(r *pb.Refusal) *Refusal {
	ran := reason.No
	if r.Ran != pb.Ran_RAN_NO {
		ran = reason.Unknown
	}
	return &Refusal{
		Reason:     reason.Reason(r.Reason),
		Ran:        ran,
		Message:    r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
	}
}
