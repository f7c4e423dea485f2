package entry

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/placement"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// maxResumeGates bounds the gates that are tried for one interruption of a stream.
const maxResumeGates = 4

// resumeChat resumes a stream after the last event that the caller received.
func (e *Entry) resumeChat(c *caller) error {
	token, from, err := e.parseLastEventID(c)
	if err != nil {
		return err
	}
	pool, ok := c.snapshot.Catalogue.Pool(token.Pool)
	if !ok {
		return &Refusal{Reason: reason.StreamGone, Ran: reason.MayHaveRun, Message: "the catalogue no longer has pool " + token.Pool}
	}
	request := &request{
		id:         token.Request,
		customer:   c.customer,
		pool:       pool,
		deadline:   time.Now().Add(time.Duration(pool.Deadline)),
		resumeFrom: from,
		mayHaveRun: true,
	}
	ctx, cancel := context.WithDeadline(c.Request().Context(), request.deadline)
	defer cancel()
	response := newResponse(e, c, request)
	if err := e.resume(ctx, request, response, token.Target); err != nil {
		var refusal *Refusal
		if errors.As(err, &refusal) {
			return response.fail(request.recordOutcome(refusal))
		}
		return err
	}
	return response.finish()
}

// continueStream resumes a stream that was interrupted at its gate. It returns the original error if another gate can't
// resolve it, or if the stream can't be resumed.
func (e *Entry) continueStream(ctx context.Context, request *request, response *response, cause error) error {
	var refusal *Refusal
	if !errors.As(cause, &refusal) || !resumableReason(refusal.Reason) {
		return cause
	}
	e.meters.Event("stream_resumed")
	if err := e.resume(ctx, request, response, response.admitted.Target); err != nil {
		e.meters.Event("stream_resume_failed")
		return cause
	}
	return nil
}

func resumableReason(r reason.Reason) bool {
	switch r {
	case reason.GateFailed, reason.GateUnreachable, reason.BrokenAnswer:
		return true
	}
	return false
}

// resume asks gates, nearest first, to attach to the stream at its engine. Any gate may do so, since resuming a stream
// does not start new work.
func (e *Entry) resume(ctx context.Context, request *request, response *response, target string) error {
	gates := nearestGates(e.snapshot.Load().View, e.settings.Zone)
	err := error(refuse(reason.NoGate, "no gate is live"))
	for _, gate := range gates[:min(len(gates), maxResumeGates)] {
		response.verifier.ResetChecksum()
		call := e.serveRequest(ctx, request, target)
		call.Resume, call.ResumeFrom = true, response.verifier.Next()
		err = e.callGate(ctx, gate, call, response)
		var refusal *Refusal
		if err == nil || !errors.As(err, &refusal) || !resumableReason(refusal.Reason) {
			return err
		}
	}
	return err
}

// parseLastEventID returns the stream token and the number of the first missing event from the Last-Event-ID header.
func (e *Entry) parseLastEventID(c *caller) (placement.Token, int64, error) {
	id := c.Request().Header.Get(headerLastEventID)
	text, last, ok := strings.Cut(id, ".")
	sequence, err := strconv.ParseInt(last, 10, 64)
	if !ok || err != nil || sequence < 0 {
		return placement.Token{}, 0, refuse(reason.BadRequest, "header %s: %q is not the id of an event", headerLastEventID, id)
	}
	token, err := e.sealer.Open(text, placement.Stream, c.customer.Name, time.Now())
	switch {
	case err == placement.ErrWrongCustomer:
		return placement.Token{}, 0, refuse(reason.ForeignCustomer, "header %s: the stream belongs to another customer", headerLastEventID)
	case err == placement.ErrExpired:
		return placement.Token{}, 0, &Refusal{Reason: reason.StreamGone, Ran: reason.MayHaveRun, Message: "the stream can no longer be resumed"}
	case err != nil:
		return placement.Token{}, 0, refuse(reason.BadRequest, "header %s: %v", headerLastEventID, err)
	}
	return token, sequence + 1, nil
}

// nearestGates returns the live gates, with those in the given zone first.
func nearestGates(view *membership.View, zone string) []membership.Gate {
	var near, far []membership.Gate
	for _, member := range view.Gates {
		switch {
		case member.State != membership.Live:
		case member.Zone == zone:
			near = append(near, member.Gate)
		default:
			far = append(far, member.Gate)
		}
	}
	return append(near, far...)
}
