package replay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

const chatPath = "/v1/chat/completions"

// chat sends the turns of one chat, each when its time has come and the one before it has ended.
func (c *Client) chat(ctx context.Context, first *turn) {
	placement := ""
	for current := first; current != nil; current = current.next {
		if !c.waitUntil(ctx, current.event.At()) {
			return
		}
		c.recorder.sent(time.Since(c.started))
		sent := &sentTurn{client: c, turn: current, placement: placement, sent: time.Now()}
		placement = sent.run(ctx)
	}
}

// sentTurn is one turn under way.
type sentTurn struct {
	client    *Client
	turn      *turn
	placement string
	sent      time.Time

	text           strings.Builder
	lastID         string
	lastSequence   int
	duplicated     bool
	lastToken      time.Time
	done           bool
	prompt, cached int
	backoff        backoff
}

// errDone ends the reading of a stream after its end marker.
var errDone = errors.New("the stream is complete")

// refusedStream is an error event within a stream.
type refusedStream struct{ *refusal }

func (r refusedStream) Error() string { return string(r.Code) + ": " + r.Message }

// run tries until the answer is whole or the caller's patience is over. It returns the placement for the
// next turn.
func (s *sentTurn) run(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	s.reset()
	for {
		refused := s.try(ctx)
		if s.done {
			s.check()
			return s.placement
		}
		if !permitsRepeat(refused) || !s.backoff.wait(ctx, refused) {
			s.client.recorder.failed(refused.Code, refused.Message)
			return s.placement
		}
		s.client.recorder.update(func(m *Measures) { m.Retries++ })
		s.reset()
	}
}

// permitsRepeat reports whether it makes sense to send a repeatable request again.
func permitsRepeat(refused *refusal) bool {
	switch refused.Code {
	case reason.BadRequest, reason.BodyTooLarge, reason.UnknownCustomer, reason.ForeignCustomer,
		reason.UnknownPool, reason.CrashSuspect, notRefusal:
		return false
	}
	return true
}

// reset forgets a partial answer.
func (s *sentTurn) reset() {
	s.text.Reset()
	s.lastID, s.lastSequence, s.duplicated = "", -1, false
}

// try sends the turn once and resumes its stream as often as that makes progress.
func (s *sentTurn) try(ctx context.Context) *refusal {
	refused := s.exchange(ctx, exchange{
		method: http.MethodPost, body: s.turn.body(), headers: map[string]string{headerPlacement: s.placement},
	})
	for !s.done && s.lastID != "" && ctx.Err() == nil {
		before := s.lastSequence
		s.client.recorder.update(func(m *Measures) { m.Resumes++ })
		refused = s.exchange(ctx, exchange{
			method: http.MethodGet, headers: map[string]string{headerLastEventID: s.lastID},
		})
		if s.lastSequence == before {
			break
		}
	}
	return refused
}

// exchange sends one request and reads its stream; it returns why the answer is not whole.
func (s *sentTurn) exchange(ctx context.Context, x exchange) *refusal {
	x.path, x.key = chatPath, s.client.key(s.turn.event.Customer)
	answer, err := s.client.do(ctx, s.turn.event.Zone, x)
	if err != nil {
		return brokenOff(ctx, unreachable, err)
	}
	if answer.StatusCode != http.StatusOK {
		return s.client.readRefusal(ctx, answer)
	}
	defer func() { _ = answer.Body.Close() }()
	if placement := answer.Header.Get(headerPlacement); placement != "" {
		s.placement = placement
	}
	err = readEvents(answer.Body, s.event)
	var refused refusedStream
	switch {
	case errors.Is(err, errDone):
		s.done = true
		return nil
	case errors.As(err, &refused):
		s.client.recorder.refused(refused.Code, refused.Message)
		return refused.refusal
	}
	return brokenOff(ctx, brokenStream, err)
}

// event handles one event of the stream.
func (s *sentTurn) event(event sseEvent) error {
	if event.name == "error" {
		return refusedStream{parseRefusal([]byte(event.data))}
	}
	if event.data == "[DONE]" {
		return errDone
	}
	var chunk answerChunk
	if err := json.Unmarshal([]byte(event.data), &chunk); err != nil {
		return err
	}
	s.position(event)
	s.chunk(chunk)
	return nil
}

// position notes the event's number; a number that does not follow the last one is a duplicate or a gap.
func (s *sentTurn) position(event sseEvent) {
	if event.id == "" {
		return
	}
	if sequence, ok := event.sequence(); ok {
		s.duplicated = s.duplicated || sequence <= s.lastSequence
		s.lastSequence = sequence
	}
	s.lastID = event.id
}

func (s *sentTurn) chunk(chunk answerChunk) {
	if chunk.Placement != "" {
		s.placement = chunk.Placement
	}
	if chunk.Usage != nil {
		s.prompt = chunk.Usage.PromptTokens
		s.cached = chunk.Usage.PromptTokensDetails.CachedTokens
	}
	for _, choice := range chunk.Choices {
		if choice.Delta.Content != "" {
			s.token(choice.Delta.Content)
		}
	}
}

func (s *sentTurn) token(text string) {
	now := time.Now()
	if s.lastToken.IsZero() {
		s.client.recorder.token(true, now.Sub(s.sent))
	} else {
		s.client.recorder.token(false, now.Sub(s.lastToken))
	}
	s.lastToken = now
	s.text.WriteString(text)
}

// check compares an answer that looks whole with the expected one.
func (s *sentTurn) check() {
	got, want := s.text.String(), s.turn.answer()
	switch {
	case s.duplicated:
		s.client.recorder.update(func(m *Measures) { m.Duplicate++ })
	case got == want:
		s.client.recorder.answered(s.prompt, s.cached, s.client.oracle[s.turn])
	case strings.HasPrefix(want, got):
		s.client.recorder.update(func(m *Measures) { m.Short++ })
	default:
		s.client.recorder.update(func(m *Measures) { m.Wrong++ })
	}
}
