package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routing"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	headerTicket = "Amaranth-Ticket"
	// planTimeout bounds the call that asks an executor which gates it can reach.
	planTimeout = time.Second
	// maxPlanAttempts bounds the executors that are asked for one ticket.
	maxPlanAttempts     = 3
	settleTimeout       = 3 * time.Second
	settleRetryInterval = 500 * time.Millisecond
	// maxSettleAttempts bounds the calls to the witness, or its heirs, for one caller's request.
	maxSettleAttempts = 3
	// maxHeirs bounds the chain of heirs that is followed for one caller's request.
	maxHeirs = 3
)

// heirs makes the drain notes safe for concurrent use. They name the gates (heirs) that act in place of stopped ones.
type heirs struct {
	mu    sync.Mutex
	notes *atmostonce.DrainNotes
}

func newHeirs() *heirs { return &heirs{notes: atmostonce.NewDrainNotes()} }

func (h *heirs) add(now time.Duration, note atmostonce.DrainNote) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.notes.Expire(now)
	h.notes.Add(now, note)
}

// resolve returns the gate process that acts in place of the given one.
func (h *heirs) resolve(now time.Duration, gate ticket.Gate) ticket.Gate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.notes.Resolve(now, gate)
}

// acceptNotices applies the notices that gates propagate: crash charges and drain notes.
func (e *Entry) acceptNotices(now time.Duration, notices []*pb.Notice) {
	e.suspects.merge(wire.ChargesInNotices(notices))
	for _, record := range wire.NoticesFrom(notices) {
		if note := record.Payload.Note; note != nil {
			e.heirs.add(now, atmostonce.DrainNote{
				From:      wire.TicketGateFrom(note.From),
				Heir:      wire.TicketGateFrom(note.Heir),
				Remaining: time.Duration(note.RemainingMs)*time.Millisecond - record.Age,
			})
		}
	}
}

// serveOnce handles a request that may run at most once.
func (e *Entry) serveOnce(c *caller, request *request) error {
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	text := c.Request().Header.Get(headerTicket)
	if text == "" {
		return e.issueTicket(ctx, c, request)
	}
	t, err := e.openTicket(request, text)
	if err != nil {
		return err
	}
	encoded, err := e.codec.Encode(t)
	if err != nil {
		return err
	}
	request.digest = crashguard.DigestOf(request.customer.Name, request.path, request.body)
	if err := e.checkSuspect(request); err != nil {
		return err
	}
	response := newResponse(e, c, request)
	if err := e.runTicket(ctx, request, t, encoded, response); err != nil {
		return err
	}
	return response.finish()
}

// openTicket decodes a ticket and verifies that it was issued for this request.
func (e *Entry) openTicket(request *request, text string) (ticket.Ticket, error) {
	t, err := e.codec.DecodeText(text)
	if err != nil {
		return ticket.Ticket{}, refuse(reason.TicketInvalid, "header %s: %v", headerTicket, err)
	}
	if t.Customer != request.customer.Name {
		return ticket.Ticket{}, refuse(reason.ForeignCustomer, "header %s: the ticket belongs to another customer", headerTicket)
	}
	if !t.Binds(request.customer.Name, request.pool.Name, ticket.Digest(request.method, request.path, request.body)) {
		return ticket.Ticket{}, refuse(reason.TicketInvalid, "header %s: the ticket was issued for another method, path or body", headerTicket)
	}
	return t, nil
}

// issueTicket refuses a request without a ticket, which did not run, and sends the caller a ticket to repeat it with.
func (e *Entry) issueTicket(ctx context.Context, c *caller, request *request) error {
	request.started = time.Now()
	for {
		t, err := e.requestTicket(ctx, request)
		if err == nil {
			return e.replyWithTicket(c, t)
		}
		refusal, ok := refusalIn(err)
		if !ok || !e.shouldAwaitOwner(ctx, request, refusal) {
			return err
		}
		e.meters.Retried(refusal.Reason)
		control.Sleep(ctx, ownerRetryInterval)
	}
}

// requestTicket asks the owners of up to maxPlanAttempts targets in turn until one of them can be the executor.
func (e *Entry) requestTicket(ctx context.Context, request *request) (t ticket.Ticket, err error) {
	var tried routing.Tried
	for range maxPlanAttempts {
		next, failed := e.planTicket(ctx, request, &tried)
		if failed == nil {
			return next, nil
		}
		// Why earlier targets gave no ticket is more useful to the caller than that no further target is open.
		if refusal, ok := refusalIn(failed); err == nil || !ok || refusal.Reason != reason.NoTarget {
			err = failed
		}
	}
	return t, err
}

func (e *Entry) replyWithTicket(c *caller, t ticket.Ticket) error {
	text, err := e.codec.EncodeText(t)
	if err != nil {
		return err
	}
	c.Response().Header().Set(headerTicket, text)
	return refuse(reason.TicketRequired, "send the request again with the header %s", headerTicket)
}

// planTicket creates a ticket with the owner of a target as executor and a gate that the owner can reach as witness.
func (e *Entry) planTicket(ctx context.Context, request *request, tried *routing.Tried) (ticket.Ticket, error) {
	snapshot := e.snapshot.Load()
	routes, ok := snapshot.Routes.Pool(request.pool.Name)
	if !ok {
		return ticket.Ticket{}, refuse(reason.UnknownPool, "the catalogue no longer has pool %s", request.pool.Name)
	}
	position, ok := routes.LeastLoaded(request.chatHash, tried)
	if !ok {
		return ticket.Ticket{}, refuse(reason.NoTarget, "no target of %s is open", request.pool.Name)
	}
	tried.Add(position)
	chosen := routes.Candidates[position].Target
	owner, ok := ownership.Owner(snapshot.View, chosen.Name, chosen.Zone)
	if !ok {
		return ticket.Ticket{}, refuse(reason.NoGate, "no gate is live")
	}
	plan, err := e.plan(ctx, owner)
	if err != nil {
		return ticket.Ticket{}, err
	}
	return e.newTicket(request, plan)
}

func (e *Entry) plan(ctx context.Context, owner membership.Gate) (*pb.PlanReply, error) {
	ctx, cancel := context.WithTimeout(ctx, planTimeout)
	defer cancel()
	plan, err := pb.NewDRPCTicketsClient(e.traffic.Conn(ctx, owner.Address)).Plan(ctx, &pb.PlanRequest{})
	if err != nil {
		return nil, refuse(reason.GateUnreachable, "gate %s can't be asked for a ticket", owner.Name)
	}
	if plan.Draining {
		return nil, refuse(reason.Draining, "gate %s is stopping", owner.Name)
	}
	return plan, nil
}

func (e *Entry) newTicket(request *request, plan *pb.PlanReply) (ticket.Ticket, error) {
	id, err := ticket.NewID(rand.Reader)
	if err != nil {
		return ticket.Ticket{}, err
	}
	executor := wire.TicketGateFrom(plan.Self)
	witness, ok := chooseWitness(id, executor, plan.Reachable)
	if !ok {
		return ticket.Ticket{}, refuse(reason.WitnessUnreachable, "gate %s reaches no other gate", executor.Name)
	}
	return ticket.Ticket{
		ID:       id,
		Executor: executor,
		Witness:  witness,
		Customer: request.customer.Name,
		Entry:    e.settings.Name,
		Pool:     request.pool.Name,
		Body:     ticket.Digest(request.method, request.path, request.body),
		Expiry:   time.Now().Add(time.Duration(e.settings.Timing.TicketExpiry)),
	}, nil
}

// chooseWitness selects a gate in another zone, or in the same zone if the executor can reach no other.
func chooseWitness(id ticket.ID, executor ticket.Gate, reachable []*pb.GateRef) (ticket.Gate, bool) {
	gates := make(map[string]ticket.Gate)
	var same, other []string
	for _, ref := range reachable {
		gates[ref.Name] = wire.TicketGateFrom(ref)
		if ref.Zone == executor.Zone {
			same = append(same, ref.Name)
		} else {
			other = append(other, ref.Name)
		}
	}
	if len(other) == 0 {
		other = same
	}
	name, ok := rendezvous.First(id.String(), other)
	return gates[name], ok
}

// runTicket asks the executor, or its heirs, to run the ticket. If they can't determine the outcome, the witness does.
func (e *Entry) runTicket(ctx context.Context, request *request, t ticket.Ticket, encoded []byte, response *response) error {
	gate := e.heirs.resolve(e.clock.Now(), t.Executor)
	for range maxHeirs {
		call := e.serveRequest(ctx, request, "")
		call.Ticket = encoded
		response.reset()
		err := e.callGate(ctx, membership.Gate(gate), call, response)
		if err == nil {
			return nil
		}
		var refusal *Refusal
		if !errors.As(err, &refusal) {
			return err
		}
		if refusal.heir.Name == "" {
			return e.handleExecutorRefusal(ctx, refusal, t, encoded, response)
		}
		gate = refusal.heir
	}
	return e.settle(ctx, t, encoded, response)
}

// handleExecutorRefusal asks the witness if the executor could not be reached or refers to another gate, and otherwise
// returns the refusal.
func (e *Entry) handleExecutorRefusal(ctx context.Context, refusal *Refusal, t ticket.Ticket, encoded []byte, response *response) error {
	switch {
	case refusal.askOtherGate:
	case refusal.Reason == reason.GateUnreachable, refusal.Reason == reason.GateFailed, refusal.Reason == reason.BrokenAnswer:
	default:
		return refusal
	}
	e.meters.Event("ticket_settled")
	return e.settle(ctx, t, encoded, response)
}

// settle asks the witness, or its heirs, for the outcome of a ticket.
func (e *Entry) settle(ctx context.Context, t ticket.Ticket, encoded []byte, response *response) error {
	gate := e.heirs.resolve(e.clock.Now(), t.Witness)
	for range maxSettleAttempts {
		reply, err := e.settleWithWitness(ctx, gate, encoded)
		if err != nil {
			control.Sleep(ctx, settleRetryInterval)
			gate = e.heirs.resolve(e.clock.Now(), gate)
			continue
		}
		if reply.Verdict == pb.SettleVerdict_SETTLE_NOT_WITNESS && reply.Heir.GetName() != "" {
			gate = wire.TicketGateFrom(reply.Heir)
			continue
		}
		return response.acceptResult(wire.ResultFrom(reply.Answer))
	}
	return &Refusal{Reason: reason.UnknownOutcome, Ran: reason.MayHaveRun, Message: "neither the executor nor the witness of the ticket can be asked"}
}

func (e *Entry) settleWithWitness(ctx context.Context, gate ticket.Gate, encoded []byte) (*pb.SettleReply, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	client := pb.NewDRPCTicketsClient(e.traffic.Conn(ctx, gate.Address))
	return client.Settle(ctx, &pb.SettleRequest{Ticket: encoded})
}

// acceptResult fills the response with the outcome of a ticketed request as recorded by the witness.
func (r *response) acceptResult(result atmostonce.Result) error {
	if result.Answer == nil {
		return &Refusal{Reason: result.Reason, Ran: result.Ran, Message: "the ticket was settled without its executor"}
	}
	if err := r.acceptAdmitted(&pb.Admitted{Status: int32(result.Answer.Status), ContentType: result.Answer.ContentType}); err != nil {
		return err
	}
	r.buffer = append(r.buffer, result.Answer.Body...)
	return nil
}
