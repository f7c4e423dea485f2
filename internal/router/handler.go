package router

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/crashguard"
	"github.com/amaranthlb/amaranthlb/internal/ingress"
	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/stall"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Limits of one request.
const (
	// defaultTimeout applies when neither the client nor the route sets a timeout.
	defaultTimeout = 30 * time.Second
	// maxAttempts bounds the targets tried for one request, including those that refused it.
	maxAttempts = 4
	// minRemainingTime is the time below which another attempt can't succeed: one round trip across zones plus the
	// shortest execution time.
	minRemainingTime = 25 * time.Millisecond
	// writeGrace is the time after the request's deadline in which the client's connection may still take written data.
	writeGrace = 2 * time.Second
	// maxBufferedBody bounds a response body that is read completely before it is forwarded. Larger ones are forwarded
	// as they arrive.
	maxBufferedBody = 1 << 20
	// longResponseTime is the time after which a response in progress is logged, since a process that is killed leaves
	// no other log line for it. It equals two flush intervals of the log. About one response in seven takes longer
	// (11,471 of 74,024 on the days of both smaller sites).
	longResponseTime = time.Second
)

// exchange is a client request in progress.
type exchange struct {
	router   *Router
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	started  time.Time
	deadline time.Time

	request routes.Request
	// version is the version of the configuration that applies to the request.
	version  uint64
	route    *routes.Route
	customer *routes.Customer
	service  string
	// maxConnections is the connection limit of each target of the service.
	maxConnections int
	// movableRuns is set if the service's targets can move a run to another target.
	movableRuns bool
	prompt      place.Prompt
	header      http.Header
	body        []byte
	// heldBody is the memory of the body; nil if it is not bounded. bodyRefused is set if the body was not read to its end.
	heldBody    *ingress.Held
	bodyRefused bool

	attempts     int
	runs         int
	triedTargets []string
	mayHaveRun   bool
	lastTarget   string
	lastErr      error
	responses    []*upstream.Response
	// targetFailure is a failure response from a target, forwarded if no other attempt succeeds.
	targetFailure *bufferedResponse
	// headerSent is set once the response header has been written.
	headerSent  bool
	resumeAfter string
	// positionKnown is set while the client has complete events only, the last of which has an ID. Other answers that have
	// begun can't be continued.
	positionKnown bool
	// choice is the target of the current attempt; promptRead is set once that target has read the prompt, and
	// promptAnswered once it has gone on after its first event. answeringSince is the time of that event.
	choice         place.Choice
	promptRead     bool
	promptAnswered bool
	answeringSince time.Time
	// promptTrial holds the shared parts of a refused prompt that is tried again; nil if it is not refused.
	promptTrial []crashguard.Part
	// requestTrial is set if the request itself is refused and tried again.
	requestTrial bool
	// trialAnnounced is set once the other routers have been notified of a trial.
	trialAnnounced bool
	// answer is what the header of the current attempt's response states.
	answer routes.Answer
	// firstAt and lastAt are the times of the first and the latest part of the response; maxGap is the longest pause
	// between two parts.
	firstAt time.Time
	lastAt  time.Time
	maxGap  time.Duration
	// progressAt is the time of the response head or of the latest complete event of the current attempt.
	progressAt time.Time
	// longResponseLogged is set once the response in progress has been logged.
	longResponseLogged bool
	// stall detects a lost packet of the stream, engine is the one that the stream comes from.
	stall  stall.Detector
	engine *stall.Engine
	// moves counts the moves of the stream's run. move is the one in progress, moved the latest complete one.
	moves int
	move  *runMove
	moved *movedRun
	// reserved is the ID of the target whose load includes the moved run although it was not asked yet to continue it.
	reserved string
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP handles a client request.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{router: r, w: w, r: request, control: http.NewResponseController(w), started: time.Now()}
	defer x.releaseBody()
	if code, retryAfter := x.prepare(); code != "" {
		x.refuse(code, retryAfter)
		x.discardBody()
		return
	}
	x.run()
}

// prepare matches the request against the configuration and reads its body.
func (x *exchange) prepare() (reason.Reason, time.Duration) {
	decoded, err := x.router.wire.DecodeRequest(x.r.Header)
	x.request = decoded
	table := x.router.table.Load()
	if table == nil || !x.router.configured() {
		return reason.NotReady, x.router.notReadyRetryAfter()
	}
	x.version = table.Version
	if err != nil {
		x.lastErr = err
		return reason.BadRequest, 0
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	if x.route = table.Match(x.r.Host, path); x.route == nil {
		return reason.UnknownPool, 0
	}
	if x.request.Key != "" {
		x.customer = table.Customer(x.request.Key)
	}
	if table.NeedsKey(x.route) && x.customer == nil {
		return reason.UnknownCustomer, 0
	}
	x.setDeadline()
	if !x.router.canFinish(x.route, x.deadline) {
		return reason.Draining, failureRetryAfter
	}
	if code := x.readBody(table.Limits); code != "" {
		return code, bodyRetryAfter(code)
	}
	x.service = x.route.Service(xxhash.Sum64String(x.request.ID))
	if service := table.Service(x.service); service != nil {
		x.maxConnections, x.movableRuns = service.MaxConnections, service.MovableRuns
	}
	x.prompt = sharedPrompt(x.request.Prompt)
	x.header = x.r.Header
	removeHopByHopHeaders(x.header)
	x.router.wire.StripRequest(x.header)
	x.resumeAfter = x.request.ResumeAfter
	return "", 0
}

func (x *exchange) setDeadline() {
	timeout := x.request.Wait
	if x.route.Timeout > 0 && (timeout == 0 || x.route.Timeout < timeout) {
		timeout = x.route.Timeout
	}
	if timeout == 0 {
		timeout = defaultTimeout
	}
	x.deadline = x.started.Add(timeout)
}

// readBody reads the request's body. A body that is refused has not been read to its end, so the connection is closed
// after the response.
func (x *exchange) readBody(limits routes.Limits) reason.Reason {
	if x.r.ContentLength == 0 || x.r.Body == nil {
		return ""
	}
	if limits.BodyBytes <= 0 {
		return x.readUnlimitedBody()
	}
	return x.readLimitedBody(limits.BodyBytes)
}

// sharedPrompt describes the prompt parts that may be shared with other requests: all but the last one.
func sharedPrompt(parts []routes.Part) place.Prompt {
	if len(parts) < 2 {
		return place.Prompt{}
	}
	shared := parts[:len(parts)-1]
	prompt := place.Prompt{
		// The ID of a part determines all parts before it, so the key of the last shared part covers the whole prefix.
		Key: promptKey(shared[len(shared)-1]),
	}
	for _, part := range shared {
		prompt.Tokens += part.Tokens
	}
	if heads := shared[:len(shared)-1]; len(heads) > 0 {
		prompt.Head = place.Head{
			Key:    promptKey(heads[len(heads)-1]),
			Tokens: prompt.Tokens - shared[len(shared)-1].Tokens,
		}
	}
	return prompt
}

// promptKey returns the key of all prompts that share the parts up to this one. It is never 0.
func promptKey(part routes.Part) uint64 { return xxhash.Sum64String(part.ID) | 1 }

// hopByHopHeaders are meaningful for a single connection only.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func removeHopByHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(header, name)
	}
}

// run tries targets until one has responded, the request is refused or its deadline has passed.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(x.router.cutoff, cancel)()
	_ = x.control.SetWriteDeadline(x.deadline.Add(writeGrace))
	x.countRequest()
	defer x.releaseReserved()
	defer x.cancelTrials()
	defer x.releaseResponses()
	for {
		if x.isCrashSuspect() || x.promptRefused() {
			x.finish(reason.CrashSuspect, 0)
			return
		}
		choice, refusal := x.nextTarget()
		if refusal != nil {
			x.finish(refusal.Reason, refusal.RetryAfter)
			return
		}
		x.announceTrials()
		moved := x.moved
		result := x.attempt(ctx, choice)
		if result.completed {
			return
		}
		if x.r.Context().Err() != nil {
			x.finish(reason.CallerGone, 0)
			return
		}
		if x.router.cutoff.Err() != nil {
			x.finish(reason.Draining, failureRetryAfter)
			return
		}
		if x.continueMoved(moved, result) {
			continue
		}
		if code := x.checkRetry(result); code != "" {
			x.finish(code, x.rejectedRetryAfter())
			return
		}
	}
}

// releaseResponses releases the responses of all attempts, whose data may be held until the client has it.
func (x *exchange) releaseResponses() {
	for _, response := range x.responses {
		response.Release()
	}
}

// rejectedRetryAfter returns the Retry-After of a request that targets rejected or that could not reach a target.
func (x *exchange) rejectedRetryAfter() time.Duration {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	if wait, passedOver := r.loadTracker.RejectedRetryAfter(r.now(), x.service); passedOver {
		return wait
	}
	return failureRetryAfter
}

// failureRetryAfter is the Retry-After for requests that targets refused or that could not reach a target. It is short
// because the next router is likely to choose another target.
const failureRetryAfter = 100 * time.Millisecond

func (x *exchange) countRequest() {
	x.router.trafficMu.Lock()
	x.router.budget.Request(x.router.now(), x.service)
	x.router.trafficMu.Unlock()
}

func (x *exchange) chooseTarget() (place.Choice, *place.Refusal) {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	now := r.now()
	purpose := place.FirstAttempt
	if x.attempts > 0 {
		purpose = place.Retry
	}
	choice, refusal := r.loadTracker.Choose(now, place.Query{
		Service:        x.service,
		Purpose:        purpose,
		Prompt:         x.prompt,
		PromptTokens:   x.request.PromptTokens,
		AnswerTokens:   x.request.ExpectedAnswerTokens(),
		Zone:           r.config.Zone,
		Exclude:        x.triedTargets,
		Remaining:      time.Until(x.deadline),
		MaxConnections: x.maxConnections,
	})
	if refusal == nil {
		r.loadTracker.Start(now, choice, x.prompt)
		if r.loadTracker.HasNotices() {
			r.signalNotices()
		}
	}
	return choice, refusal
}

// checkRetry decides whether to try another target. An empty reason allows another attempt.
func (x *exchange) checkRetry(result attemptResult) reason.Reason {
	x.triedTargets = append(x.triedTargets, x.lastTarget)
	switch {
	case time.Until(x.deadline) < minRemainingTime:
		return reason.DeadlineExceeded
	case x.attempts >= maxAttempts:
		return result.reason
	case x.mayHaveRun && !x.route.Idempotent():
		return result.reason
	case x.headerSent && !x.positionKnown:
		return result.reason
	case result.mayHaveRun && x.runs >= x.route.MaxTargets:
		return result.reason
	}
	if result.reachedTarget && !x.allowRetry() {
		return result.reason
	}
	x.router.meters.Retried(result.reason)
	return ""
}

func (x *exchange) allowRetry() bool {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	return r.budget.Allow(r.now(), x.service)
}

// finish ends a request that no target has answered completely.
func (x *exchange) finish(code reason.Reason, retryAfter time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.logOutcome(reason.CallerGone, "caller gone", logrus.InfoLevel)
		panic(http.ErrAbortHandler)
	case x.headerSent:
		x.logOutcome(code, "stream cut", logrus.WarnLevel)
		x.cutAnswer()
	case x.targetFailure != nil:
		x.logOutcome(code, "target's failure passed on", logrus.InfoLevel)
		x.writeBuffered(x.targetFailure.status, x.targetFailure.header, x.targetFailure.body)
	default:
		x.refuse(code, retryAfter)
	}
}

// cutAnswer ends an answer that has begun so that the client sees that it is not complete. The end of the connection shows
// this unless the answer ends with the connection, as for HTTP/1.0; that is reset.
func (x *exchange) cutAnswer() {
	conn, found := x.r.Context().Value(clientConnection{}).(*net.TCPConn)
	if found && !x.r.ProtoAtLeast(1, 1) {
		if err := conn.SetLinger(0); err != nil {
			x.router.log.WithField("request", x.request.ID).WithError(err).Info("client's connection can't be reset")
		}
	}
	panic(http.ErrAbortHandler)
}

// refuse responds with an error of the router itself. A status that guarantees that the request has not run is used
// only if that is certain.
func (x *exchange) refuse(code reason.Reason, retryAfter time.Duration) {
	ran := reason.NotRun
	status := code.Status()
	if code == reason.CrashSuspect {
		// The suspicion may be wrong, so the request is not reported as invalid.
		status = http.StatusServiceUnavailable
	}
	if x.mayHaveRun {
		ran = reason.MayHaveRun
		if status != http.StatusGatewayTimeout {
			status = http.StatusBadGateway
		}
	} else if status == http.StatusGatewayTimeout || status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	x.router.meters.Refused(code, ran)
	level := logrus.WarnLevel
	if code == reason.UnknownPool || code == reason.UnknownCustomer {
		level = logrus.InfoLevel
	}
	x.logOutcome(code, "refused", level)
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if retryAfter > 0 && ran == reason.NotRun {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error reason.Reason `json:"error"`
		Ran   reason.Ran    `json:"ran"`
	}{code, ran})
	if err != nil {
		body = nil // strings always marshal
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// The response is of no use to a client that has disconnected.
	_, _ = x.w.Write(body)
}

// logOutcome logs the end of a request that was not completed normally.
func (x *exchange) logOutcome(code reason.Reason, message string, level logrus.Level) {
	entry := x.router.log.WithFields(logrus.Fields{
		"request": x.request.ID,
		"reason":  code,
		"tries":   x.attempts,
		"may_run": x.mayHaveRun,
		"ms":      time.Since(x.started).Milliseconds(),
		"target":  x.lastTarget,
		"config":  x.version,
	})
	if x.route != nil {
		entry = entry.WithField("route", x.route.Name)
	}
	if x.lastErr != nil {
		entry = entry.WithError(x.lastErr)
	}
	entry.Log(level, message)
}

// writeBuffered writes a response that has been read completely.
func (x *exchange) writeBuffered(status int, from http.Header, body []byte) {
	x.copyHeader(from)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.lastErr = err
	}
}

// copyHeader copies a target's response header.
func (x *exchange) copyHeader(from http.Header) {
	removeHopByHopHeaders(from)
	to := x.w.Header()
	for name, values := range from {
		to[name] = values
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the server from guessing one
	}
	if _, ok := from["Date"]; !ok {
		to["Date"] = nil
	}
	x.headerSent = true
}

// isNotSent reports whether the error of an attempt means that no byte of the request left the process.
func isNotSent(err error) bool {
	var notSent *upstream.NotSentError
	return errors.As(err, &notSent)
}
