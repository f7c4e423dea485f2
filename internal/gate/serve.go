package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/admission"
	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
	"github.com/amaranthlb/amaranthlb/internal/stream"
	"github.com/amaranthlb/amaranthlb/internal/target"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// relayBufferBytes is the maximum size of the chunks of a response that is not an event stream.
	relayBufferBytes = 32 << 10
	eventStream      = "text/event-stream"
	resumeAttempts   = 3
)

// trafficServer serves the RPCs of entries.
type trafficServer struct {
	gate *Gate
}

// refusal is an error that ends a request without a complete response.
type refusal struct {
	reason     reason.Reason
	ran        reason.Ran
	detail     string
	retryAfter time.Duration
	next       []string
	// owner is the gate to try instead, if this gate is not the owner and knows which gate is.
	owner membership.Gate
	// elsewhere is set if another gate may know more about a ticket: the heir if it is set, or else the witness.
	elsewhere bool
	heir      ticket.Gate
	charges   []crashguard.Charge
}

func (r *refusal) Error() string { return string(r.reason) + ": " + r.detail }

func refuse(r reason.Reason, ran reason.Ran, detail string) *refusal {
	return &refusal{reason: r, ran: ran, detail: detail}
}

// Serve runs one request for an entry.
func (s *trafficServer) Serve(request *pb.ServeRequest, out pb.DRPCTraffic_ServeStream) error {
	g := s.gate
	g.inFlight.begin()
	defer g.inFlight.end()
	ctx := out.Context()
	if request.DeadlineMs > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(request.DeadlineMs)*time.Millisecond)
		defer cancel()
	}
	call := &call{gate: g, request: request, out: out, state: newRequestState()}
	defer call.reportProgress()()
	err := call.run(ctx)
	var refused *refusal
	if errors.As(err, &refused) {
		if ran := call.state.allowedRan(refused.ran); ran != refused.ran {
			g.meters.Event("refusal_corrected")
			refused.ran = ran
		}
		g.meters.Refused(refused.reason, refused.ran)
		return call.sendRefusal(refused)
	}
	if err == nil {
		g.meters.Answered()
	}
	return err
}

// call is a request that is being processed by the gate.
type call struct {
	gate    *Gate
	request *pb.ServeRequest
	out     pb.DRPCTraffic_ServeStream
	// sent is set if an event was sent since reportProgress last checked.
	sent atomic.Bool
	// admitted is the admission ID of the request at its target, or 0 if it has not been admitted.
	admitted admission.ID
	state    requestState
}

func (c *call) run(ctx context.Context) error {
	// Tickets are handled before the readiness check: a process that replaced the ticket's executor can't know that
	// the request did not run.
	if len(c.request.Ticket) > 0 {
		return c.runTicket(ctx)
	}
	snapshot := c.gate.snapshot.Load()
	if snapshot == nil {
		return refuse(reason.NotReady, reason.NotRun, "the gate has no catalogue yet")
	}
	t, ok := snapshot.Catalogue.Target(c.request.Target)
	if !ok {
		return refuse(reason.NoTarget, reason.NotRun, "the catalogue has no target "+c.request.Target)
	}
	if c.request.Resume {
		c.state.fire(statechart.RequestOnResume)
		return c.resumeGuarded(ctx, t, func() error { return c.resume(ctx, t, c.request.ResumeFrom) })
	}
	if c.gate.targetsReleased.Load() {
		return c.redirect(snapshot, t, reason.Draining, "the gate is stopping")
	}
	if !snapshot.Owned[t.Name] {
		return c.redirect(snapshot, t, reason.NotOwner, "the gate does not own "+t.Name)
	}
	c.gate.acceptEntryLoads(c.request)
	if err := c.checkSuspect(ctx, snapshot, t); err != nil {
		return err
	}
	id, err := c.gate.admission.acquire(ctx, &admission.Request{
		Target:        t.Name,
		Customer:      c.request.Customer,
		Class:         catalogue.Class(c.request.Class),
		Deadline:      c.deadline(ctx),
		Candidates:    c.request.Candidates,
		MaxTargetWait: time.Duration(c.request.PatienceMs) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	c.admitted = id
	c.state.fire(statechart.RequestOnAdmit)
	c.transferCache(ctx, snapshot, t)
	err = c.runGuarded(ctx, t, func() error { return c.forward(ctx, t) })
	c.gate.admission.release(id, err == nil)
	return err
}

// deadline returns the request's deadline on the gate's clock, or 0 if it has none.
func (c *call) deadline(ctx context.Context) time.Duration {
	limit, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return c.gate.clock.Now() + time.Until(limit)
}

// redirect refuses a request and names the gate that owns the target, as far as this gate knows.
func (c *call) redirect(snapshot *Snapshot, t *catalogue.Target, why reason.Reason, detail string) error {
	refused := refuse(why, reason.NotRun, detail)
	for _, gate := range ownership.Ranked(snapshot.View, t.Name, t.Zone) {
		if gate.Name != c.gate.self.Name {
			refused.owner = gate
			break
		}
	}
	return refused
}

// forward sends the request to the target and relays the response.
func (c *call) forward(ctx context.Context, t *catalogue.Target) error {
	attempt := &target.Attempt{Guard: func() bool { return c.gate.mayWrite(t) }}
	response, err := c.gate.targets.Do(ctx, t.Address, c.targetRequest(), attempt)
	if attempt.Started() {
		c.state.fire(statechart.RequestOnWrite)
	}
	if err != nil {
		return c.targetError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if t.Pool().Kind == catalogue.Model && response.Status >= http.StatusInternalServerError {
		return refuse(reason.TargetRefused, reason.MayHaveRun, t.Name+" answered with "+http.StatusText(response.Status))
	}
	if err := c.sendAdmitted(t, response); err != nil {
		return err
	}
	if strings.HasPrefix(response.ContentType, eventStream) {
		return c.relayEvents(ctx, t, response, 0)
	}
	return c.relayBody(ctx, response)
}

func (c *call) targetRequest() target.Request {
	return target.Request{
		ID:          c.request.RequestId,
		Customer:    c.request.Customer,
		Chat:        c.request.Chat,
		Method:      c.request.Method,
		Path:        c.request.Path,
		ContentType: c.request.ContentType,
		Priority:    catalogue.Class(c.request.Class).Priority(),
		Body:        c.request.Body,
	}
}

// mayWrite is the final check before the first byte is written to a target.
func (g *Gate) mayWrite(t *catalogue.Target) bool {
	return g.permission(t.Name).Valid(g.clock.Now())
}

// targetError converts an error of the target client to a refusal.
func (c *call) targetError(ctx context.Context, err error) error {
	var failed *target.Error
	if !errors.As(err, &failed) {
		return refuse(reason.Internal, reason.MayHaveRun, err.Error())
	}
	switch failed.Kind {
	case target.Unreachable:
		if ctx.Err() != nil {
			return refuse(reason.DeadlineExceeded, reason.NotRun, "the deadline passed before the target was reached")
		}
		return refuse(reason.TargetUnreachable, reason.NotRun, failed.Error())
	case target.Forbidden:
		return refuse(reason.LeaseLost, reason.NotRun, failed.Error())
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse(reason.DeadlineExceeded, reason.MayHaveRun, "the deadline passed while the target was working")
	}
	return refuse(reason.TargetFailed, reason.MayHaveRun, failed.Error())
}

// resume attaches to a stream that is already running at the target; it is not new work.
func (c *call) resume(ctx context.Context, t *catalogue.Target, from int64) error {
	response, err := c.gate.targets.Resume(ctx, t.Address, c.request.RequestId, from)
	if err != nil {
		return correctRan(c.targetError(ctx, err))
	}
	defer func() { _ = response.Body.Close() }()
	if !strings.HasPrefix(response.ContentType, eventStream) {
		return refuse(reason.StreamGone, reason.MayHaveRun, "the target no longer has the stream")
	}
	if err := c.sendAdmitted(t, response); err != nil {
		return err
	}
	return c.relayEvents(ctx, t, response, from)
}

// relayEvents relays an event stream. If the connection to the target breaks, it resumes the stream where it stopped.
func (c *call) relayEvents(ctx context.Context, t *catalogue.Target, response *target.Response, from int64) error {
	writer := stream.NewWriter(from)
	body := response.Body
	for attempt := 0; ; attempt++ {
		before := writer.Next()
		done, err := c.copyEvents(body, writer)
		if writer.Next() > before {
			attempt = 0
		}
		if done {
			return c.sendEnd(writer, response)
		}
		if err != nil && ctx.Err() != nil {
			return c.targetError(ctx, &target.Error{Kind: target.Failed, Address: t.Address, Cause: err})
		}
		if !t.Pool().Resumable || attempt >= resumeAttempts {
			return refuse(reason.TargetFailed, reason.MayHaveRun, t.Name+" broke off its answer")
		}
		again, err := c.gate.targets.Resume(ctx, t.Address, c.request.RequestId, writer.Next())
		if err != nil {
			return correctRan(c.targetError(ctx, err))
		}
		if !strings.HasPrefix(again.ContentType, eventStream) {
			_ = again.Body.Close()
			return refuse(reason.TargetFailed, reason.MayHaveRun, t.Name+" broke off its answer and no longer has it")
		}
		defer func() { _ = again.Body.Close() }()
		body = again.Body
	}
}

// copyEvents relays events in sequence order. It returns true at the end marker, and false if the connection breaks or
// an event is missing. Events that are available at the same time are sent in one message.
func (c *call) copyEvents(body io.Reader, writer *stream.Writer) (bool, error) {
	batch := &chunkBatch{call: c, writer: writer}
	done, err := batch.copy(body)
	return done, errors.Join(batch.flush(), err)
}

// relayBody relays a response that is not an event stream.
func (c *call) relayBody(ctx context.Context, response *target.Response) error {
	writer := stream.NewWriter(0)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := c.sendChunk(writer, buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return c.sendEnd(writer, response)
		}
		if err != nil {
			return c.targetError(ctx, &target.Error{Kind: target.Failed, Address: c.request.Target, Cause: err})
		}
	}
}

func (c *call) sendAdmitted(t *catalogue.Target, response *target.Response) error {
	return c.send(&pb.ServeEvent{Event: &pb.ServeEvent_Admitted{Admitted: &pb.Admitted{
		Target:       t.Name,
		Status:       int32(response.Status),
		ContentType:  response.ContentType,
		ModelVersion: c.gate.modelVersion(t),
		Loads:        c.gate.poolLoads(c.request.Pool),
	}}})
}

func (c *call) sendChunk(writer *stream.Writer, data []byte) error {
	sequence := writer.Add(data)
	return c.send(&pb.ServeEvent{Event: &pb.ServeEvent_Chunk{Chunk: &pb.Chunk{Sequence: sequence, Data: data}}})
}

func (c *call) sendEnd(writer *stream.Writer, response *target.Response) error {
	c.state.fire(statechart.RequestOnEnd)
	count, checksum := writer.End()
	// The target has finished, so its slot is released before the caller's next request can arrive.
	c.gate.admission.release(c.admitted, true)
	return c.send(&pb.ServeEvent{Event: &pb.ServeEvent_End{End: &pb.End{
		Count:       count,
		Checksum:    checksum,
		Status:      int32(response.Status),
		ContentType: response.ContentType,
		Loads:       c.gate.poolLoads(c.request.Pool),
	}}})
}

func (c *call) sendRefusal(r *refusal) error {
	return c.send(&pb.ServeEvent{Event: &pb.ServeEvent_Refusal{Refusal: &pb.Refusal{
		Reason:       string(r.reason),
		Ran:          wire.Ran(r.ran),
		RetryAfterMs: r.retryAfter.Milliseconds(),
		Next:         r.next,
		Detail:       r.detail,
		Owner:        owner(r.owner),
		Elsewhere:    r.elsewhere,
		Heir:         wire.TicketGate(r.heir),
		Loads:        c.gate.poolLoads(c.request.Pool),
		Charges:      wire.Charges(r.charges),
	}}})
}

func owner(gate membership.Gate) *pb.GateRef {
	if gate.Name == "" {
		return nil
	}
	return wire.Gate(gate)
}

func (c *call) send(event *pb.ServeEvent) error {
	c.sent.Store(true)
	event.RequestId = c.request.RequestId
	return c.out.Send(event)
}
