package gate

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/amaranthlb/amaranthlb/internal/atmostonce"
	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/stream"
	"github.com/amaranthlb/amaranthlb/internal/target"
	"github.com/amaranthlb/amaranthlb/internal/ticket"
	"github.com/amaranthlb/amaranthlb/internal/wire"
)

const (
	// ticketCallTimeout bounds one call of the ticket protocol between gates.
	ticketCallTimeout = time.Second
	inheritTimeout    = 5 * time.Second
)

// ticketConfig returns the default configuration of the at-most-once protocol with the given expiry and grace period.
func ticketConfig(expiry, grace time.Duration) atmostonce.Config {
	config := atmostonce.DefaultConfig()
	config.Timing.Expiry = expiry
	config.Timing.GracePeriod = grace
	return config
}

func (g *Gate) newTicketDriver() *ticketDriver {
	timing := g.settings.Timing
	config := ticketConfig(time.Duration(timing.TicketExpiry), time.Duration(timing.TicketGrace))
	return newTicketDriver(g.clock, ticket.Gate(g.self), config, ticketEffects{
		sendIntent:  func(e atmostonce.SendIntent) { go g.sendIntent(e) },
		execute:     func(e atmostonce.Execute) { go g.execute(e) },
		sendOutcome: func(e atmostonce.SendOutcome) { go g.sendOutcome(e) },
		sendRecords: func(e atmostonce.SendRecords) { go g.sendRecords(e) },
		spreadNote:  g.spreadNote,
	})
}

// ticketsClient returns a client of the ticket service of a gate, or of its heir if it has handed its records over.
func (g *Gate) ticketsClient(ctx context.Context, gate ticket.Gate) pb.DRPCTicketsClient {
	return pb.NewDRPCTicketsClient(g.traffic.Conn(ctx, g.tickets.resolve(gate).Address))
}

func (g *Gate) sendIntent(e atmostonce.SendIntent) {
	ctx, cancel := context.WithTimeout(g.lifetime, ticketCallTimeout)
	defer cancel()
	unreachable := atmostonce.WitnessUnreachable{ID: e.Ticket.ID}
	encoded, err := g.codec.Encode(e.Ticket)
	if err != nil {
		g.tickets.stepExecutor(unreachable)
		return
	}
	request := &pb.IntentRequest{Ticket: encoded, Executor: wire.TicketGate(e.Executor)}
	reply, err := g.ticketsClient(ctx, e.To).Intent(ctx, request)
	if err != nil {
		g.meters.ControlCall("intent", "failed")
		g.tickets.stepExecutor(unreachable)
		return
	}
	g.tickets.stepExecutor(atmostonce.IntentAnswered{
		ID:      e.Ticket.ID,
		Verdict: wire.VerdictFrom(reply.Verdict),
		Heir:    wire.TicketGateFrom(reply.Heir),
	})
}

func (g *Gate) sendOutcome(e atmostonce.SendOutcome) {
	ctx, cancel := context.WithTimeout(g.lifetime, ticketCallTimeout)
	defer cancel()
	encoded, err := g.codec.Encode(e.Ticket)
	if err != nil {
		return
	}
	request := &pb.OutcomeRequest{Ticket: encoded, Answer: wire.Result(e.Result)}
	reply, err := g.ticketsClient(ctx, e.To).Outcome(ctx, request)
	if err != nil {
		g.meters.ControlCall("outcome", "failed")
		return
	}
	if reply.Stored {
		g.tickets.stepExecutor(atmostonce.OutcomeStored{ID: e.Ticket.ID})
	}
}

// sendRecords hands the ticket records of this incarnation to the heir. The state machine repeats the call until the
// heir has accepted.
func (g *Gate) sendRecords(e atmostonce.SendRecords) {
	ctx, cancel := context.WithTimeout(g.lifetime, inheritTimeout)
	defer cancel()
	records, err := wire.Records(e.Records, g.codec)
	if err != nil {
		g.log.WithError(err).Error("ticket records can't be encoded")
		return
	}
	client := pb.NewDRPCTicketsClient(g.traffic.Conn(ctx, e.To.Address))
	reply, err := client.Inherit(ctx, &pb.InheritRequest{
		From:    wire.TicketGate(e.From),
		To:      wire.TicketGate(e.To),
		Role:    string(e.Role),
		Records: records,
	})
	if err != nil {
		g.meters.ControlCall("inherit", "failed")
		return
	}
	inherited := atmostonce.Inherited{From: e.From, Accepted: reply.Accepted}
	if e.Role == atmostonce.WitnessRole {
		g.tickets.stepWitness(inherited)
		return
	}
	g.tickets.stepExecutor(inherited)
}

// runTicket serves a non-repeatable request, which carries a ticket.
func (c *call) runTicket(ctx context.Context) error {
	g := c.gate
	t, err := g.codec.Decode(c.request.Ticket)
	if err != nil {
		return refuse(reason.TicketInvalid, reason.NotRun, err.Error())
	}
	if !t.Binds(c.request.Customer, c.request.Pool, ticket.Digest(c.request.Method, c.request.Path, c.request.Body)) {
		return refuse(reason.TicketInvalid, reason.NotRun, "the ticket was issued for another request")
	}
	id, reply := g.tickets.openCall()
	defer g.tickets.closeCall(id)
	g.ticketRequests.add(id, c.request)
	defer g.ticketRequests.release(id)
	g.tickets.stepExecutor(atmostonce.Submit{Ticket: t, Remaining: t.Remaining(time.Now()), Call: id})
	answer, ok := await[atmostonce.Reply](ctx.Done(), reply)
	if !ok {
		g.tickets.stepExecutor(atmostonce.CallerGone{ID: t.ID, Call: id})
		return refuse(reason.DeadlineExceeded, reason.MayHaveRun, "the deadline passed before the request's outcome was known")
	}
	g.tickets.awaitHeir(ctx, answer.Result.Heir)
	return c.sendResult(answer.Result)
}

// sendResult sends the result of a ticketed request to the entry.
func (c *call) sendResult(result atmostonce.Result) error {
	if result.Answer == nil {
		return &refusal{
			reason:    result.Reason,
			ran:       result.Ran,
			detail:    "the request's ticket ended without an answer",
			elsewhere: result.Elsewhere,
			heir:      result.Heir,
		}
	}
	response := &target.Response{Status: result.Answer.Status, ContentType: result.Answer.ContentType}
	if err := c.send(&pb.ServeEvent{Event: &pb.ServeEvent_Admitted{Admitted: &pb.Admitted{
		Target:      c.request.Target,
		Status:      int32(response.Status),
		ContentType: response.ContentType,
	}}}); err != nil {
		return err
	}
	writer := stream.NewWriter(0)
	if err := c.sendChunk(writer, result.Answer.Body); err != nil {
		return err
	}
	return c.sendEnd(writer, response)
}

// ticketServer serves the RPCs of the ticket protocol.
type ticketServer struct {
	gate *Gate
}

var (
	errNoReply = errors.New("the gate is stopping")
	// errPeersUnknown is returned while the gate has just started and may still discover other gates.
	errPeersUnknown = errors.New("the gate has not heard of the other gates yet")
)

// Plan returns this process and the gates that it can reach, for issuing a new ticket. A gate that has just started
// returns an error, so that the caller retries instead of concluding that there is no other gate to record an intent.
func (s *ticketServer) Plan(ctx context.Context, _ *pb.PlanRequest) (*pb.PlanReply, error) {
	g := s.gate
	reply := &pb.PlanReply{Self: wire.Gate(g.self), Draining: g.life.Draining()}
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return nil, errPeersUnknown
	}
	joining := false
	for _, member := range snapshot.View.Gates {
		switch {
		case member.Name == g.self.Name:
		case member.State == membership.Live && member.Direct && member.Incarnation != 0:
			reply.Reachable = append(reply.Reachable, wire.Gate(member.Gate))
		case member.State == membership.Joining:
			joining = true
		}
	}
	if joining && len(reply.Reachable) == 0 {
		return nil, errPeersUnknown
	}
	return reply, nil
}

// witnessCall is a ticket protocol call to this gate in its role as witness.
type witnessCall struct {
	ticket ticket.Ticket
	left   time.Duration
	id     atmostonce.Call
}

// asWitness applies the event of a call to the witness and returns the witness's reply.
func asWitness[E atmostonce.Effect](ctx context.Context, g *Gate, encoded []byte, event func(witnessCall) atmostonce.Event) (E, error) {
	var none E
	t, err := g.codec.Decode(encoded)
	if err != nil {
		return none, trace.Wrap(err)
	}
	id, reply := g.tickets.openCall()
	defer g.tickets.closeCall(id)
	g.tickets.stepWitness(event(witnessCall{ticket: t, left: t.Remaining(time.Now()), id: id}))
	answer, ok := await[E](ctx.Done(), reply)
	if !ok {
		return none, errNoReply
	}
	return answer, nil
}

// Intent records that an executor is about to run a ticket.
func (s *ticketServer) Intent(ctx context.Context, request *pb.IntentRequest) (*pb.IntentReply, error) {
	answer, err := asWitness[atmostonce.IntentReply](ctx, s.gate, request.Ticket, func(c witnessCall) atmostonce.Event {
		return atmostonce.Intent{Ticket: c.ticket, Remaining: c.left, Executor: wire.TicketGateFrom(request.Executor), Call: c.id}
	})
	if err != nil {
		return nil, err
	}
	s.gate.tickets.awaitHeir(ctx, answer.Heir)
	return &pb.IntentReply{Verdict: wire.Verdict(answer.Verdict), Heir: wire.TicketGate(answer.Heir)}, nil
}

// Settle decides the outcome of a ticket whose executor is unreachable.
func (s *ticketServer) Settle(ctx context.Context, request *pb.SettleRequest) (*pb.SettleReply, error) {
	var asked ticket.Ticket
	answer, err := asWitness[atmostonce.SettleReply](ctx, s.gate, request.Ticket, func(c witnessCall) atmostonce.Event {
		asked = c.ticket
		return atmostonce.Settle{Ticket: c.ticket, Remaining: c.left, Call: c.id}
	})
	if err != nil {
		return nil, err
	}
	s.gate.tickets.awaitHeir(ctx, answer.Heir)
	settled := &pb.SettleReply{
		Verdict: pb.SettleVerdict(answer.Verdict),
		Answer:  wire.Result(answer.Result),
		Heir:    wire.TicketGate(answer.Heir),
	}
	if answer.Verdict == atmostonce.SettleUnknown {
		s.gate.queryPoolOutcome(ctx, asked, settled)
	}
	return settled, nil
}

// Outcome stores the result of a ticket.
func (s *ticketServer) Outcome(ctx context.Context, request *pb.OutcomeRequest) (*pb.OutcomeReply, error) {
	answer, err := asWitness[atmostonce.OutcomeReply](ctx, s.gate, request.Ticket, func(c witnessCall) atmostonce.Event {
		return atmostonce.Outcome{Ticket: c.ticket, Remaining: c.left, Result: wire.ResultFrom(request.Answer), Call: c.id}
	})
	if err != nil {
		return nil, err
	}
	return &pb.OutcomeReply{Stored: answer.Stored}, nil
}

// Inherit accepts the ticket records of a gate that is draining.
func (s *ticketServer) Inherit(ctx context.Context, request *pb.InheritRequest) (*pb.InheritReply, error) {
	d := s.gate.tickets
	records, err := wire.RecordsFrom(request.Records, s.gate.codec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	id, reply := d.openCall()
	defer d.closeCall(id)
	event := atmostonce.Inherit{
		From:    wire.TicketGateFrom(request.From),
		To:      wire.TicketGateFrom(request.To),
		Records: records,
		Call:    id,
	}
	if atmostonce.Role(request.Role) == atmostonce.WitnessRole {
		d.stepWitness(event)
	} else {
		d.stepExecutor(event)
	}
	answer, ok := await[atmostonce.InheritReply](ctx.Done(), reply)
	if !ok {
		return nil, errNoReply
	}
	return &pb.InheritReply{Accepted: answer.Accepted}, nil
}
