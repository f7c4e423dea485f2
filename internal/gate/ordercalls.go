package gate

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/orders"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/target"
)

const (
	engineReadTimeout = 2 * time.Second
	// orderTimeout exceeds the time for which the state machine waits for an answer; it only ends the call.
	orderTimeout  = 8 * time.Second
	permitTimeout = time.Second
)

// engineOf returns the engine with the given name, or false if the current catalogue no longer contains it.
func (g *Gate) engineOf(name string) (*catalogue.Target, bool) {
	snapshot := g.snapshot.Load()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Catalogue.Target(name)
}

// readEngine reads an engine's status.
func (g *Gate) readEngine(read orders.ReadStatus) {
	t, ok := g.engineOf(read.Target)
	if !ok {
		go g.loop.Post(func(now time.Duration) { g.stepOrders(now, orders.StatusFailed{Read: read.Read}) })
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(g.lifetime, engineReadTimeout)
		defer cancel()
		status, err := g.targets.Status(ctx, t.Address)
		g.loop.Post(func(now time.Duration) {
			if err != nil {
				g.meters.ControlCall("status", "failed")
				g.stepOrders(now, orders.StatusFailed{Read: read.Read})
				return
			}
			g.stepOrders(now, orders.StatusRead{Read: read.Read, Status: engineStatus(status)})
		})
	}()
}

func engineStatus(status target.Status) orders.Status {
	return orders.Status{
		Model:    status.Model,
		Version:  status.Version,
		Adapters: status.Adapters,
		Role:     status.Role,
		Fence:    status.Fence,
		Busy:     status.Busy,
	}
}

// sendOrder sends an order. Immediately before the write it checks that the order has not expired and that the gate
// still owns the engine.
func (g *Gate) sendOrder(order orders.SendOrder) {
	t, ok := g.engineOf(order.Target)
	if !ok {
		go g.loop.Post(func(now time.Duration) { g.orderAnswered(now, order, orders.NotSent) })
		return
	}
	guard := func() bool { return g.clock.Now() <= order.NotAfter && g.mayWrite(t) }
	go func() {
		ctx, cancel := context.WithTimeout(g.lifetime, orderTimeout)
		defer cancel()
		result := orderResult(g.targets.SendOrder(ctx, t.Address, targetOrder(order), guard))
		g.loop.Post(func(now time.Duration) { g.orderAnswered(now, order, result) })
	}()
}

func (g *Gate) orderAnswered(now time.Duration, order orders.SendOrder, result orders.OrderResult) {
	g.meters.Order(string(order.Change.Kind), string(result))
	g.stepOrders(now, orders.OrderAnswered{Order: order.Order, Result: result})
}

func targetOrder(order orders.SendOrder) target.Order {
	change := order.Change
	return target.Order{
		Fence:   order.Fence,
		Kind:    string(change.Kind),
		Model:   change.Model,
		Version: change.Version,
		Adapter: change.Adapter,
		Role:    change.Role,
	}
}

// orderResult converts the error of a call to a result for the orders state machine.
func orderResult(err error) orders.OrderResult {
	var failed *target.Error
	switch {
	case err == nil:
		return orders.Accepted
	case errors.Is(err, target.ErrStaleFence):
		return orders.Fenced
	case !errors.As(err, &failed):
		return orders.Rejected
	case failed.Kind == target.Failed:
		return orders.Unanswered
	}
	return orders.NotSent
}

// requestPermit requests a permit from its issuer. A failed call counts as a refusal.
func (g *Gate) requestPermit(request orders.RequestPermit) {
	issuer, ok := g.state.members.View().Gate(request.Issuer)
	go func() {
		answer := orders.PermitAnswered{Request: request.Request, RetryAfter: permitTimeout}
		if ok {
			answer = g.callIssuer(issuer.Address, request.Request, answer)
		}
		g.loop.Post(func(now time.Duration) { g.stepOrders(now, answer) })
	}()
}

func (g *Gate) callIssuer(address string, number uint64, failed orders.PermitAnswered) orders.PermitAnswered {
	ctx, cancel := context.WithTimeout(g.lifetime, permitTimeout)
	defer cancel()
	client := pb.NewDRPCControlClient(g.control.Conn(ctx, address))
	reply, err := client.Permit(ctx, &pb.PermitRequest{Gate: g.self.Name, Number: number})
	if err != nil {
		g.meters.ControlCall("permit", "failed")
		return failed
	}
	return orders.PermitAnswered{
		Request:    number,
		Granted:    reply.Granted,
		Lifetime:   time.Duration(reply.LifetimeMs) * time.Millisecond,
		RetryAfter: time.Duration(reply.RetryAfterMs) * time.Millisecond,
	}
}

// Permit answers a gate that requests permission to load model weights.
func (s *controlServer) Permit(ctx context.Context, request *pb.PermitRequest) (*pb.PermitReply, error) {
	var reply *pb.PermitReply
	err := s.gate.loop.Call(ctx, func(now time.Duration) { reply = s.gate.answerPermit(now, request) })
	return reply, err
}

// answerPermit lets the orders state machine decide; it answers within the same step.
func (g *Gate) answerPermit(now time.Duration, request *pb.PermitRequest) *pb.PermitReply {
	reply := &pb.PermitReply{}
	event := orders.PermitRequested{Request: request.Number, From: request.Gate}
	for _, effect := range g.state.orders.machine.Step(now, event) {
		answer, ok := effect.(orders.AnswerPermit)
		if !ok {
			g.performOrder(now, effect)
			continue
		}
		reply.Granted = answer.Answer.Granted
		reply.LifetimeMs = answer.Answer.Lifetime.Milliseconds()
		reply.RetryAfterMs = answer.Answer.RetryAfter.Milliseconds()
	}
	g.meters.Event(permitEvent(reply.Granted))
	return reply
}

func permitEvent(granted bool) string {
	if granted {
		return "permit_granted"
	}
	return "permit_refused"
}
