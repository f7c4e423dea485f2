package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Limits of an attempt.
const (
	// streamIdleTimeout is the time without any data after which a resumable stream continues at another target.
	// Clients abandon a silent stream after 2 s.
	streamIdleTimeout = 1200 * time.Millisecond
	streamBuffer      = 4 << 10
	// maxEventBytes bounds an incomplete event of a stream. Events hold a few tokens.
	maxEventBytes = 1 << 20
	// maxDrainBytes and drainTimeout bound what is read of a rejection, so that its connection can be reused: a
	// target in trouble may send data without end.
	maxDrainBytes = 16 << 10
	drainTimeout  = 50 * time.Millisecond
)

// attemptResult is the result of an attempt at one target.
type attemptResult struct {
	// completed means that the client has the complete response.
	completed bool
	reason    reason.Reason
	outcome   place.Outcome
	// answered means that the target has answered completely, with a failure.
	answered bool
	// mayHaveRun means that the target may have run the request, reachedTarget that the target received it.
	mayHaveRun    bool
	reachedTarget bool
}

// attempt sends the request to a target and forwards its response.
func (x *exchange) attempt(ctx context.Context, choice place.Choice) attemptResult {
	r := x.router
	startedAt := time.Now()
	if x.moved == nil {
		x.attempts++
	}
	x.lastTarget = choice.Target.ID
	x.choice, x.promptRead = choice, false
	x.promptAnswered, x.answeringSince, x.answer = false, time.Time{}, routes.Answer{}
	x.reserved = ""
	moved := x.moved
	result := x.sendToTarget(ctx, choice)
	if x.r.Context().Err() != nil && !result.completed {
		result.outcome = place.Neutral
	}
	now := r.now()
	x.markPromptRead()
	r.trafficMu.Lock()
	r.loadTracker.End(choice.Target.ID, now, result.outcome, time.Since(startedAt))
	if result.outcome == place.Good && x.prompt.Key == 0 && x.route.Kind != routes.Stream {
		r.loadTracker.MeasureDuration(choice.Target.ID, now, x.route.Name, time.Since(startedAt))
	}
	r.trafficMu.Unlock()
	if result.outcome == place.Crashed {
		x.recordClosed(choice.Target)
	}
	if result.mayHaveRun {
		x.mayHaveRun = true
		if x.moved == moved {
			x.runs++
		}
	}
	if result.answered || result.completed && result.outcome == place.Good {
		x.recordAnswered()
	}
	if result.completed {
		r.meters.Answered()
		if result.outcome == place.Good {
			x.recordPromptAnswered()
		}
	}
	fields := logrus.Fields{
		"request": x.request.ID, "target": choice.Target.ID, "zone": choice.Target.Zone, "load": choice.Load.Requests, "prefill": choice.Load.Prefill,
		"mean": choice.Mean, "rank": choice.Rank, "source": choice.Source, "ms": time.Since(startedAt).Milliseconds(), "outcome": result.outcome.String(),
		"config": x.version, "load_age_ms": choice.LoadAge.Milliseconds(),
	}
	if result.reason != "" {
		fields["reason"] = result.reason
	}
	r.meters.RecordDuration(telemetry.PhaseWhole, x.route.Kind.String(), time.Since(startedAt))
	if !x.firstAt.IsZero() {
		r.meters.RecordDuration(telemetry.PhaseFirst, x.route.Kind.String(), x.firstAt.Sub(x.started))
		r.meters.RecordDuration(telemetry.PhaseGap, x.route.Kind.String(), x.maxGap)
		fields["first_ms"] = x.firstAt.Sub(x.started).Milliseconds()
		fields["gap_ms"] = x.maxGap.Milliseconds()
	}
	fields["route"] = x.route.Name
	if choice.Limited > 0 {
		fields["limited"] = choice.Limited
	}
	if choice.Cold > 0 {
		fields["cold"] = choice.Cold
	}
	if choice.Paused > 0 {
		fields["paused"] = choice.Paused
	}
	if choice.ConfirmsLimit {
		fields["confirms_limit"] = true
	}
	if x.answer.InvalidRetryAfter != "" {
		fields["retry_after_invalid"] = x.answer.InvalidRetryAfter
	}
	if x.answer.Load.RelativeDuration > 0 {
		fields["relative_duration"] = x.answer.Load.RelativeDuration
	}
	if x.answer.InvalidRelativeDuration != "" {
		fields["relative_duration_invalid"] = x.answer.InvalidRelativeDuration
	}
	if x.answer.HasRateLimit {
		fields["rate_limit"] = x.answer.RateLimit
	}
	if result.outcome == place.Crashed && len(x.request.Prompt) > 0 {
		fields["prompt"] = loggedPrompt(x.request.Prompt)
		fields["answering"] = !x.answeringSince.IsZero()
	}
	if x.lastErr != nil {
		fields["error"] = x.lastErr.Error()
	}
	level := logrus.InfoLevel
	if !result.completed {
		level = logrus.WarnLevel
	}
	r.log.WithFields(fields).Log(level, "tried")
	return result
}

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// loggedPrompt returns the IDs of the prompt's parts for a log line.
func loggedPrompt(parts []routes.Part) string {
	ids := make([]string, 0, maxLoggedParts)
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// markPromptRead records that the target has begun to answer the request, or will not. It has an effect only once per
// attempt.
func (x *exchange) markPromptRead() {
	if x.promptRead {
		return
	}
	x.promptRead = true
	x.router.trafficMu.Lock()
	defer x.router.trafficMu.Unlock()
	x.router.loadTracker.PromptRead(x.choice)
}

func (x *exchange) sendToTarget(ctx context.Context, choice place.Choice) attemptResult {
	target := choice.Target
	order := routes.Dispatch{
		TargetID:    target.ID,
		Remaining:   max(time.Until(x.deadline), time.Millisecond),
		Priority:    x.route.Priority,
		HasPriority: x.route.Kind == routes.Stream,
		FetchFrom:   choice.Source,
	}
	if x.customer != nil {
		order.Customer = x.customer.Name
		if x.customer.HasPriority {
			order.Priority = x.customer.Priority
		}
	}
	order.Priority = min(max(order.Priority, 0), 9)
	if x.moved != nil {
		order.ContinueFrom, order.FetchFrom = x.moved.run.Reference, ""
	}
	if x.route.Resumable || x.moved != nil {
		order.ResumeAfter = x.resumeAfter
	}
	header := x.header.Clone()
	x.router.wire.EncodeOrder(header, order)
	headTimeout := time.Until(x.deadline)
	if x.route.Resumable && x.runs+1 < x.route.MaxTargets {
		headTimeout = min(headTimeout, streamIdleTimeout)
	}
	response, err := x.router.pool.Do(ctx, upstream.Call{
		Address:       target.Address,
		Method:        x.r.Method,
		URI:           x.r.RequestURI,
		Host:          x.r.Host,
		Header:        header,
		Body:          x.body,
		RequestID:     x.request.ID,
		HeadTimeout:   headTimeout,
		NewConnection: !x.route.Idempotent(),
	})
	x.lastErr = err
	if err != nil {
		return x.classifyFailure(ctx, err)
	}
	defer response.Close()
	x.responses = append(x.responses, response)
	x.answer = response.Answer
	x.report(target, response.Answer)
	return x.forwardResponse(response)
}

func (x *exchange) report(target routes.Target, answer routes.Answer) {
	r := x.router
	// Another instance at the address says nothing about the target, and neither does a response that is not from it.
	stated := !answer.Misdirected && (answer.Sealed || answer.NotRun)
	var change place.StatementChange
	firstDuration := false
	r.trafficMu.Lock()
	if answer.HasLoad {
		r.loadTracker.Report(target.ID, r.now(), answer.Load)
	}
	if stated {
		change = r.loadTracker.Stated(r.now(), target, answer.Statements)
		firstDuration = r.loadTracker.ReportDuration(target.ID, r.now(), answer.Load.RelativeDuration)
	}
	r.trafficMu.Unlock()
	r.logStatements(target, answer.Statements, change)
	if firstDuration {
		r.meters.Event("relative_duration_begun")
		r.log.WithFields(logrus.Fields{"target": target.ID, "relative_duration": answer.Load.RelativeDuration}).Info("targets state how long work takes")
	}
	if answer.InvalidRelativeDuration != "" {
		r.meters.Event("relative_duration_invalid")
	}
}

// classifyFailure returns the result of an attempt without a response.
func (x *exchange) classifyFailure(ctx context.Context, err error) attemptResult {
	if isNotSent(err) {
		outcome := place.Unreachable
		if ctx.Err() != nil {
			outcome = place.Neutral
		}
		return attemptResult{reason: reason.TargetUnreachable, outcome: outcome}
	}
	result := attemptResult{reason: reason.TargetFailed, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
	if ctx.Err() != nil && x.r.Context().Err() == nil {
		result.reason = reason.DeadlineExceeded
		return result
	}
	result.outcome = outcomeOf(err)
	return result
}

// outcomeOf distinguishes a connection closed by the target from an attempt that this process gave up.
func outcomeOf(err error) place.Outcome {
	var failure *upstream.BrokenError
	if errors.As(err, &failure) && failure.Closed {
		return place.Crashed
	}
	return place.Failed
}

// forwardResponse handles the header of a response and forwards the response.
func (x *exchange) forwardResponse(response *upstream.Response) attemptResult {
	answer := response.Answer
	switch {
	case answer.NotRun:
		x.drain(response)
		result := attemptResult{reason: reason.TargetRefused, outcome: place.Refused, reachedTarget: true}
		if answer.Misdirected {
			result.outcome = place.Failed
			result.reason = reason.TargetLeaving
		}
		return result
	case !answer.Sealed || answer.Encoded:
		x.lastErr = errNotFromTarget
		return attemptResult{reason: reason.BrokenAnswer, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
	case response.Status >= http.StatusInternalServerError:
		return x.bufferFailure(response)
	case x.headerSent:
		return x.forwardEvents(response, true)
	case x.route.Kind == routes.Stream && response.Status == http.StatusOK && isEventStream(response.Header):
		return x.forwardEvents(response, false)
	default:
		return x.forwardBuffered(response)
	}
}

var errNotFromTarget = errors.New("response is not sealed by the target or is content-encoded")

// drain reads the rest of a short response, so that the connection can be reused.
func (x *exchange) drain(response *upstream.Response) {
	deadline := earlier(x.deadline, time.Now().Add(drainTimeout))
	if _, err := response.ReadAll(maxDrainBytes, deadline); err != nil {
		x.lastErr = err
	}
}

var errNotEvents = errors.New("response to a stream that is continued has no events with IDs")

var errEventTooLong = errors.New("event exceeds the size limit")

// brokenResult returns the result for a response that broke off after its header.
func brokenResult(err error) attemptResult {
	return attemptResult{reason: reason.BrokenAnswer, outcome: outcomeOf(err), mayHaveRun: true, reachedTarget: true}
}

// bufferFailure keeps a target's failure response, which finish forwards if no other target may be tried.
func (x *exchange) bufferFailure(response *upstream.Response) attemptResult {
	body, err := response.ReadAll(maxBufferedBody, x.deadline)
	if err != nil {
		x.lastErr = err
		return brokenResult(err)
	}
	result := attemptResult{reason: reason.TargetFailed, outcome: place.Failed, answered: true, mayHaveRun: true, reachedTarget: true}
	if !x.headerSent {
		x.targetFailure = &bufferedResponse{status: response.Status, header: response.Header, body: body}
	}
	return result
}

// forwardBuffered reads a response completely before it is forwarded, so that a truncated one can be retried. A long
// response is forwarded as it arrives.
func (x *exchange) forwardBuffered(response *upstream.Response) attemptResult {
	if response.Length > maxBufferedBody {
		return x.forwardStream(response, nil)
	}
	body, err := response.ReadAll(maxBufferedBody, x.deadline)
	switch {
	case errors.Is(err, upstream.ErrTooLong):
		return x.forwardStream(response, body)
	case err != nil:
		x.lastErr = err
		return brokenResult(err)
	}
	response.Close()
	x.writeBuffered(response.Status, response.Header, body)
	return attemptResult{completed: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
}

// forwardStream forwards a response as it arrives, starting with the part that has already been read.
func (x *exchange) forwardStream(response *upstream.Response, prefix []byte) attemptResult {
	x.writeStreamHeader(response)
	if len(prefix) > 0 {
		if failure := x.writeChunk(prefix); failure != nil {
			return *failure
		}
	}
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Read(buffer, x.deadline)
		if n > 0 {
			if failure := x.writeChunk(buffer[:n]); failure != nil {
				return *failure
			}
		}
		if err == io.EOF {
			return attemptResult{completed: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
		}
		if err != nil {
			x.lastErr = err
			return brokenResult(err)
		}
	}
}

func (x *exchange) writeStreamHeader(response *upstream.Response) {
	length := response.Header.Get("Content-Length")
	x.copyHeader(response.Header)
	if response.Length >= 0 && x.route.Kind != routes.Stream {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(response.Status)
}

// writeChunk writes and flushes a part of the response. The result is nil unless the client has disconnected.
func (x *exchange) writeChunk(content []byte) *attemptResult {
	_, err := x.w.Write(content)
	if err == nil {
		err = x.control.Flush()
	}
	if err != nil {
		x.lastErr = err
		return &attemptResult{reason: reason.CallerGone, outcome: place.Neutral, mayHaveRun: true, reachedTarget: true}
	}
	x.markPromptRead()
	now := time.Now()
	if x.answeringSince.IsZero() {
		x.answeringSince = now
	} else if now.Sub(x.answeringSince) >= answerSettlingTime {
		x.recordPromptAnswered()
	}
	if x.firstAt.IsZero() {
		x.firstAt = now
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastAt))
	}
	x.lastAt = now
	x.logLongResponse(now)
	return nil
}

// logLongResponse logs a response that has been in progress for longResponseTime, once.
func (x *exchange) logLongResponse(now time.Time) {
	if x.longResponseLogged || now.Sub(x.started) < longResponseTime {
		return
	}
	x.longResponseLogged = true
	x.router.log.WithFields(logrus.Fields{
		"request": x.request.ID, "route": x.route.Name, "target": x.lastTarget, "config": x.version,
		"first_ms": x.firstAt.Sub(x.started).Milliseconds(), "ms": now.Sub(x.started).Milliseconds(),
	}).Info("answer in progress")
}

// forwardEvents forwards a stream in complete events, so that another target can resume it after the last one. The
// parameter continued means that the client already has the beginning.
func (x *exchange) forwardEvents(response *upstream.Response, continued bool) attemptResult {
	if continued && (response.Status != http.StatusOK || !isEventStream(response.Header)) {
		return attemptResult{reason: reason.StreamGone, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
	}
	var pending []byte
	buffer := make([]byte, streamBuffer)
	declared := response.Header.Get("Content-Type") != ""
	x.progressAt = time.Now()
	x.stall.Restart(x.progressAt)
	x.engine = x.router.streams.Begin(x.choice.Target.ID)
	defer x.engine.End()
	defer func() { x.fireMove(statechart.MoveOnEnd) }()
	for {
		n, err := x.readEvents(func(deadline time.Time, onTimeout func() (time.Time, bool)) (int, error) {
			return response.ReadWatched(buffer, deadline, onTimeout)
		})
		pending = append(pending, buffer[:n]...)
		if complete := completeEventsLength(pending); complete > 0 {
			if continued && !declared {
				// The beginning had IDs, so what has none is not the rest of it.
				if _, declared = lastEventID(pending[:complete], ""); !declared {
					x.lastErr = errNotEvents
					return attemptResult{reason: reason.StreamGone, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
				}
			}
			if !x.headerSent {
				x.writeStreamHeader(response)
			}
			if failure := x.writeChunk(pending[:complete]); failure != nil {
				return *failure
			}
			x.stall.Event(x.lastAt)
			x.engine.Event(x.lastAt)
			x.progressAt = x.lastAt
			x.resumeAfter, x.positionKnown = lastEventID(pending[:complete], x.resumeAfter)
			pending = append(pending[:0], pending[complete:]...)
		}
		if err != nil && x.continuesElsewhere(err, response, pending) {
			return attemptResult{outcome: place.Neutral, mayHaveRun: true, reachedTarget: true}
		}
		if err == io.EOF {
			return x.finishEvents(response, pending)
		}
		if len(pending) > maxEventBytes || !response.Hold(2*int64(cap(pending))) {
			x.lastErr = errEventTooLong
			return brokenResult(errEventTooLong)
		}
		if err != nil {
			x.lastErr = err
			return brokenResult(err)
		}
	}
}

// continuesElsewhere reports whether the end of a stream belongs to the move of its run. A run that is stopped ends its
// stream early, which only the framing tells from a complete one.
func (x *exchange) continuesElsewhere(err error, response *upstream.Response, pending []byte) bool {
	before := x.moved
	complete := err == io.EOF && !response.Unframed && len(bytes.TrimSpace(pending)) == 0
	if !complete && (err == io.EOF || outcomeOf(err) == place.Crashed) {
		x.fireMove(statechart.MoveOnBreak)
	}
	return errors.Is(err, errRunMoved) || x.moved != before
}

var errEndedInsideEvent = errors.New("stream ended inside an event")

// finishEvents completes a stream that its target has ended, unless it has ended inside an event.
func (x *exchange) finishEvents(response *upstream.Response, pending []byte) attemptResult {
	if len(bytes.TrimSpace(pending)) > 0 {
		x.lastErr = errEndedInsideEvent
		return brokenResult(errEndedInsideEvent)
	}
	if !x.headerSent {
		x.writeStreamHeader(response)
	}
	return attemptResult{completed: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
}

// isEventStream reports whether a response to a stream request holds events. One without a type does.
func isEventStream(header http.Header) bool {
	value := header.Get("Content-Type")
	mediaType, _, err := mime.ParseMediaType(value)
	return value == "" || err == nil && mediaType == "text/event-stream"
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// completeEventsLength returns the length of the complete events at the beginning of a stream.
func completeEventsLength(content []byte) int {
	lf := bytes.LastIndex(content, []byte("\n\n"))
	crlf := bytes.LastIndex(content, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf > lf:
		return crlf + 4
	default:
		return lf + 2
	}
}

// lastEventID returns the ID of the last event that has one, or else the previous ID, and whether the last event has one.
func lastEventID(events []byte, previous string) (last string, known bool) {
	ended := false
	for line := range bytes.Lines(events) {
		if len(bytes.TrimSpace(line)) == 0 {
			ended = true
			continue
		}
		if ended {
			known, ended = false, false
		}
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			previous, known = string(bytes.TrimSpace(value)), true
		}
	}
	return previous, known
}
