package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/telemetry"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Times of a try.
const (
	// streamIdleTimeout is the time without any byte after which a stream that may be resumed goes on elsewhere. Callers
	// leave a silent stream after 2 s.
	streamIdleTimeout = 1200 * time.Millisecond
	streamBuffer = 4 << 10
)

// attemptResult is what a try at one target came to.
type attemptResult struct {
	// done says that the caller has the answer.
	done    bool
	reason  reason.Reason
	outcome place.Outcome
	// mayHaveRun says that the target may have run the request, arrived that it got it.
	mayHaveRun  bool
	reachedTarget bool
}

// attempt sends the request to a target and passes its answer on.
func (x *exchange) attempt(ctx context.Context, choice place.Choice) attemptResult {
	r := x.router
	began := time.Now()
	x.attempts++
	x.lastTarget = choice.Target.ID
	x.choice, x.promptRead = choice, false
	result := x.sendToTarget(ctx, choice)
	if x.r.Context().Err() != nil && !result.done {
		result.outcome = place.Neutral
	}
	now := r.now()
	x.markPromptRead()
	r.traffic.Lock()
	r.loadTracker.End(choice.Target.ID, now, result.outcome, time.Since(began))
	r.traffic.Unlock()
	if result.outcome == place.Crashed {
		x.recordCrash(choice.Target.ID, choice.Target.Born)
	}
	if result.mayHaveRun {
		x.mayHaveRun = true
		x.runs++
	}
	if result.done {
		r.meters.Answered()
	}
	fields := logrus.Fields{
		"request": x.request.ID, "target": choice.Target.ID, "zone": choice.Target.Zone, "load": choice.Load.Requests, "prefill": choice.Load.Prefill,
		"mean": choice.Mean, "rank": choice.Rank, "source": choice.Source, "ms": time.Since(began).Milliseconds(), "outcome": result.outcome.String(),
		"config": x.version, "load_age_ms": choice.LoadAge.Milliseconds(),
	}
	if result.reason != "" {
		fields["reason"] = result.reason
	}
	r.meters.Took(telemetry.PhaseWhole, x.route.Kind.String(), time.Since(began))
	if !x.firstAt.IsZero() {
		r.meters.Took(telemetry.PhaseFirst, x.route.Kind.String(), x.firstAt.Sub(x.started))
		r.meters.Took(telemetry.PhaseGap, x.route.Kind.String(), x.maxGap)
		fields["first_ms"] = x.firstAt.Sub(x.started).Milliseconds()
		fields["gap_ms"] = x.maxGap.Milliseconds()
	}
	fields["route"] = x.route.Name
	if x.lastErr != nil {
		fields["error"] = x.lastErr.Error()
	}
	level := logrus.InfoLevel
	if !result.done {
		level = logrus.WarnLevel
	}
	r.log.WithFields(fields).Log(level, "tried")
	return result
}

// markPromptRead takes the prompt of the present try off the target's load, once.
func (x *exchange) markPromptRead() {
	if x.promptRead {
		return
	}
	x.promptRead = true
	if x.choice.Prefill == 0 {
		return
	}
	x.router.traffic.Lock()
	defer x.router.traffic.Unlock()
	x.router.loadTracker.Began(x.choice)
}

func (x *exchange) sendToTarget(ctx context.Context, choice place.Choice) attemptResult {
	target := choice.Target
	order := routes.Order{
		TargetID:    target.ID,
		Left:        max(time.Until(x.deadline), time.Millisecond),
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
	if x.route.Resumable {
		order.ResumeAfter = x.resumeAfter
	}
	header := x.header.Clone()
	x.router.wire.EncodeOrder(header, order)
	headTimeout := time.Until(x.deadline)
	if x.route.Resumable && x.runs+1 < x.route.MaxTargets {
		headTimeout = min(headTimeout, streamIdleTimeout)
	}
	response, err := x.router.pool.Do(ctx, upstream.Call{
		Address:     target.Address,
		Method:      x.r.Method,
		URI:         x.r.RequestURI,
		Host:        x.r.Host,
		Header:      header,
		Body:        x.body,
		RequestID:   x.request.ID,
		HeadTimeout: headTimeout,
		Fresh:       !x.route.Idempotent(),
	})
	x.lastErr = err
	if err != nil {
		return x.classifyFailure(ctx, err)
	}
	defer response.Close()
	x.report(target, response.Answer)
	return x.forwardResponse(response)
}

func (x *exchange) report(target routes.Target, answer routes.Answer) {
	if !answer.HasLoad {
		return
	}
	r := x.router
	r.traffic.Lock()
	r.loadTracker.Report(target.ID, r.now(), answer.Load)
	r.traffic.Unlock()
}

// classifyFailure classifies a try without an answer.
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

// outcomeOf tells a target that ended the connection from one that was given up.
func outcomeOf(err error) place.Outcome {
	var failure *upstream.BrokenError
	if errors.As(err, &failure) && failure.Closed {
		return place.Crashed
	}
	return place.Failed
}

// forwardResponse handles the head of an answer and passes the answer on.
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
	case x.route.Kind == routes.Stream && response.Status == http.StatusOK && x.route.Resumable:
		return x.forwardEvents(response, false)
	case x.route.Kind == routes.Stream && response.Status == http.StatusOK:
		return x.forwardStream(response, nil)
	default:
		return x.forwardBuffered(response)
	}
}

var errNotFromTarget = errors.New("response is not the target's own")

// drain reads the rest of a short answer, so that the connection can be kept.
func (x *exchange) drain(response *upstream.Response) {
	if _, err := response.ReadAll(maxBufferedBody, x.deadline); err != nil {
		x.lastErr = err
	}
}

// brokenResult classifies an answer that broke off after its head.
func brokenResult(err error) attemptResult {
	return attemptResult{reason: reason.BrokenAnswer, outcome: outcomeOf(err), mayHaveRun: true, reachedTarget: true}
}

// bufferFailure keeps a target's own failure; it is passed on at once where no other target may be asked.
func (x *exchange) bufferFailure(response *upstream.Response) attemptResult {
	body, err := response.ReadAll(maxBufferedBody, x.deadline)
	if err != nil {
		x.lastErr = err
		return brokenResult(err)
	}
	result := attemptResult{reason: reason.TargetFailed, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
	if !x.headerSent {
		x.targetFailure = &bufferedResponse{status: response.Status, header: response.Header, body: body}
	}
	return result
}

// forwardBuffered reads an answer in full before it is passed on, so that a broken one can be tried again. A long one is
// passed on as it arrives.
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
	return attemptResult{done: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
}

// forwardStream passes an answer on as it arrives, after what was read of it.
func (x *exchange) forwardStream(response *upstream.Response, begin []byte) attemptResult {
	x.startStream(response)
	if len(begin) > 0 {
		if failure := x.writeChunk(begin); failure != nil {
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
			return attemptResult{done: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
		}
		if err != nil {
			x.lastErr = err
			return brokenResult(err)
		}
	}
}

func (x *exchange) startStream(response *upstream.Response) {
	length := response.Header.Get("Content-Length")
	x.copyHeader(response.Header)
	if response.Length >= 0 && !x.route.Resumable {
		x.w.Header().Set("Content-Length", length)
	}
	x.w.WriteHeader(response.Status)
}

// writeChunk writes and flushes bytes of the answer. The result is nil unless the caller is gone.
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
	if x.firstAt.IsZero() {
		x.firstAt = now
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastAt))
	}
	x.lastAt = now
	x.logLongResponse(now)
	return nil
}

// logLongResponse writes a line of an answer that is in progress for long, once.
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

// forwardEvents passes a stream on in whole events, so that another target can go on after the last one. Continued says
// that the caller already has the beginning.
func (x *exchange) forwardEvents(response *upstream.Response, continued bool) attemptResult {
	if continued && response.Status != http.StatusOK {
		return attemptResult{reason: reason.StreamGone, outcome: place.Failed, mayHaveRun: true, reachedTarget: true}
	}
	var pending []byte
	buffer := make([]byte, streamBuffer)
	for {
		n, err := response.Read(buffer, earlier(x.deadline, time.Now().Add(streamIdleTimeout)))
		pending = append(pending, buffer[:n]...)
		if whole := wholeEvents(pending); whole > 0 {
			if !x.headerSent {
				x.startStream(response)
			}
			if failure := x.writeChunk(pending[:whole]); failure != nil {
				return *failure
			}
			x.resumeAfter = lastEventID(pending[:whole], x.resumeAfter)
			pending = append(pending[:0], pending[whole:]...)
		}
		if err == io.EOF {
			return x.endEvents(response, pending)
		}
		if err != nil {
			x.lastErr = err
			return brokenResult(err)
		}
	}
}

// endEvents ends a stream that its target has ended.
func (x *exchange) endEvents(response *upstream.Response, pending []byte) attemptResult {
	if !x.headerSent {
		x.startStream(response)
	}
	if len(pending) > 0 {
		if failure := x.writeChunk(pending); failure != nil {
			return *failure
		}
	}
	return attemptResult{done: true, outcome: place.Good, mayHaveRun: true, reachedTarget: true}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// wholeEvents returns the length of the complete events at the begin of a stream.
func wholeEvents(content []byte) int {
	unix := bytes.LastIndex(content, []byte("\n\n"))
	network := bytes.LastIndex(content, []byte("\r\n\r\n"))
	switch {
	case unix < 0 && network < 0:
		return 0
	case network > unix:
		return network + 4
	default:
		return unix + 2
	}
}

// lastEventID returns the id of the last event that has one, or the id before.
func lastEventID(events []byte, before string) string {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			before = string(bytes.TrimSpace(value))
		}
	}
	return before
}
