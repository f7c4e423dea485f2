package replay

import (
	"context"
	"net/http"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/standin/service"
)

// callOutcome is how a non-repeatable call ended for its caller.
type callOutcome struct {
	answered bool
	// ran is what the last refusal said.
	ran reason.Ran
}

// sentCall is one service call under way.
type sentCall struct {
	client *Client
	event  *Event
	ticket string
	// uncertain says that a try with this ticket ended without saying whether the call ran. What a later
	// refusal says is then about that try only, unless it is about the ticket itself.
	uncertain bool
	backoff   backoff
}

// call sends one service call until it is answered or can't be.
func (c *Client) call(ctx context.Context, event *Event) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	c.recorder.sent(time.Since(c.started))
	sent := &sentCall{client: c, event: event}
	refused := sent.run(ctx)
	if refused != nil {
		c.recorder.failed(refused.Code, refused.Message)
	}
	if !event.Repeatable {
		c.noteOutcome(event, sent.outcome(refused))
	}
}

func (s *sentCall) outcome(refused *refusal) *callOutcome {
	switch {
	case refused == nil:
		return &callOutcome{answered: true}
	case s.uncertain:
		return &callOutcome{ran: reason.MayHaveRun}
	}
	return &callOutcome{ran: refused.Ran}
}

func (c *Client) noteOutcome(event *Event, outcome *callOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[event.Prompt] = outcome
}

// run returns nil after an answer, or the last refusal.
func (s *sentCall) run(ctx context.Context) *refusal {
	for {
		held := s.ticket != ""
		refused := s.try(ctx)
		if refused == nil {
			return nil
		}
		s.uncertain = s.uncertain || refused.Ran == reason.MayHaveRun
		if !s.mayRepeat(refused) {
			return refused
		}
		if refused.Code == reason.TicketRequired && !held {
			continue
		}
		if !s.backoff.wait(ctx, refused) {
			return refused
		}
		s.client.recorder.update(func(m *Measures) { m.Retries++ })
	}
}

// mayRepeat reports whether the call may be sent again, and drops a ticket that can never run.
func (s *sentCall) mayRepeat(refused *refusal) bool {
	switch refused.Code {
	case reason.TicketSealed, reason.TicketExpired, reason.WitnessUnreachable:
		if refused.Ran == reason.NotRun {
			s.ticket, s.uncertain = "", false
		}
		return refused.Ran == reason.NotRun
	case reason.UnknownOutcome, reason.TicketInvalid:
		return s.event.Repeatable
	case reason.TicketRequired:
		return s.ticket != ""
	}
	if !permitsRepeat(refused) {
		return false
	}
	return refused.Ran == reason.NotRun || s.event.Repeatable || s.ticket != ""
}

// try sends the call once.
func (s *sentCall) try(ctx context.Context) *refusal {
	answer, err := s.client.do(ctx, s.event.Zone, exchange{
		method: http.MethodPost, path: "/v1/services/" + s.event.Pool + "/" + s.event.Path,
		key: s.client.key(s.event.Customer), body: []byte(s.event.Prompt),
		headers: map[string]string{headerTicket: s.ticket},
	})
	if err != nil {
		return brokenOff(ctx, unreachable, err)
	}
	if answer.StatusCode == http.StatusPreconditionRequired {
		s.ticket = answer.Header.Get(headerTicket)
	}
	if answer.StatusCode != http.StatusOK {
		return s.client.readRefusal(ctx, answer)
	}
	body, err := readAnswer(answer)
	if err != nil {
		return brokenOff(ctx, unreachable, err)
	}
	s.check(body)
	return nil
}

func (s *sentCall) check(body []byte) {
	err := service.Check(body, http.MethodPost, "/"+s.event.Path, []byte(s.event.Prompt))
	s.client.recorder.update(func(m *Measures) {
		if err != nil {
			m.Wrong++
			return
		}
		m.Answered++
	})
}
