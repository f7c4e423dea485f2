package entry

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// resumeChat continues a stream after the event that the caller saw last.
func (e *Entry) resumeChat(c *caller) error {
	token, from, err := e.streamPosition(c)
	if err != nil {
		return err
	}
	pool, ok := c.snapshot.Catalogue.Pool(token.Pool)
	if !ok {
		return &Refusal{Reason: reason.StreamGone, Ran: reason.Unknown, Message: "the catalogue no longer has pool " + token.Pool}
	}
	limit := time.Duration(pool.Deadline)
	request := &request{id: token.Request, customer: c.customer, pool: pool, deadline: time.Now().Add(limit)}
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	answer := newAnswer(e, c, request)
	call := e.serveRequest(ctx, request, token.Target)
	call.Resume, call.ResumeFrom = true, from
	gate, ok := nearestGate(c.snapshot.View, e.settings.Zone)
	if !ok {
		return refuse(reason.NoGate, "no gate is live")
	}
	if err := e.callGate(ctx, gate, call, answer); err != nil {
		return err
	}
	return answer.finish()
}

// streamPosition reads the stream and the first missing event from the Last-Event-ID header.
func (e *Entry) streamPosition(c *caller) (placement.Token, int64, error) {
	id := c.Request().Header.Get(headerLastEventID)
	text, last, ok := strings.Cut(id, ".")
	sequence, err := strconv.ParseInt(last, 10, 64)
	if !ok || err != nil || sequence < 0 {
		return placement.Token{}, 0, refuse(reason.BadRequest, "header %s: %q is not the id of an event", headerLastEventID, id)
	}
	token, err := e.sealer.Open(text, placement.Stream, c.customer.Name, time.Now())
	switch {
	case err == placement.ErrForeign:
		return placement.Token{}, 0, refuse(reason.ForeignCustomer, "header %s: the stream belongs to another customer", headerLastEventID)
	case err == placement.ErrExpired:
		return placement.Token{}, 0, &Refusal{Reason: reason.StreamGone, Ran: reason.Unknown, Message: "the stream can no longer be resumed"}
	case err != nil:
		return placement.Token{}, 0, refuse(reason.BadRequest, "header %s: %v", headerLastEventID, err)
	}
	return token, sequence + 1, nil
}

// nearestGate returns a live gate, of the zone where there is one.
func nearestGate(view *membership.View, zone string) (membership.Gate, bool) {
	var nearest membership.Gate
	found := false
	for _, member := range view.Gates {
		if member.State != membership.Live {
			continue
		}
		if member.Zone == zone {
			return member.Gate, true
		}
		if !found {
			nearest, found = member.Gate, true
		}
	}
	return nearest, found
}
