package router

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/upstream"
)

// Limits of one request.
const (
	// defaultTimeout applies where neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// maxAttempts bounds the targets that are asked for one request, those that refused included.
	maxAttempts = 4
	// minRemainingTime is the time below which another try can't succeed: a round trip across zones and the shortest work.
	minRemainingTime = 25 * time.Millisecond
	// writeGrace is the time that a caller's connection gets beyond the request's end to take what was written.
	writeGrace = 2 * time.Second
	// maxBufferedBody bounds an answer that is read whole before it is passed on. Larger ones are passed on as they come.
	maxBufferedBody = 1 << 20
	// minNotReadyRetry and notReadyLongest bound what callers of a router without configuration are told to wait. A router
	// that was started with the store up is ready after some 100 ms.
	minNotReadyRetry   = 200 * time.Millisecond
	maxNotReadyRetry = 2 * time.Second
	// longResponseTime is the time after which an answer in progress is logged: a process that is killed leaves no other line of
	// it. It is two flushes of the log; about one answer in seven lasts longer (11,471 of 74,024 on the days of both smaller
	// sites).
	longResponseTime = time.Second
)

// exchange is a request in progress.
type exchange struct {
	router  *Router
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	started time.Time
	deadline     time.Time

	request routes.Request
	// version is that of the configuration which the request is handled by.
	version  uint64
	route    *routes.Route
	customer *routes.Customer
	service  string
	// maxConnections is the limit of each target of the service.
	maxConnections int
	prompt         place.Prompt
	header         http.Header
	body           []byte

	attempts   int
	runs    int
	triedTargets   []string
	mayHaveRun  bool
	lastTarget    string
	lastErr error
	// targetFailure is an answer with a failure that a target gave, passed on if no other try does better.
	targetFailure *bufferedResponse
	// headerSent says that the answer's head has been written.
	headerSent bool
	resumeAfter   string
	// choice is the target of the present try, which has read the prompt when began is set.
	choice place.Choice
	promptRead  bool
	// firstAt and lastAt are the times of the first and the last part of the answer, gap the longest pause between two.
	firstAt time.Time
	lastAt  time.Time
	maxGap     time.Duration
	// longResponseLogged says that the line of a long answer has been written.
	longResponseLogged bool
}

type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// ServeHTTP handles a caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{router: r, w: w, r: request, control: http.NewResponseController(w), started: time.Now()}
	if why, retryAfter := x.prepare(); why != "" {
		x.refuse(why, retryAfter)
		return
	}
	x.run()
}

// prepare matches the request with the configuration and reads its body.
func (x *exchange) prepare() (reason.Reason, time.Duration) {
	decoded, err := x.router.wire.DecodeRequest(x.r.Header)
	x.request = decoded
	table := x.router.table.Load()
	if table == nil {
		// The store may be down: the longer it has taken, the longer it is likely to take.
		return reason.NotReady, min(max(x.router.now(), minNotReadyRetry), maxNotReadyRetry)
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
	if !x.router.canFinish(x.route) {
		return reason.Draining, retryAfterFailure
	}
	if why := x.readBody(table.Limits); why != "" {
		return why, 0
	}
	x.service = x.route.Service(xxhash.Sum64String(x.request.ID))
	if service := table.Service(x.service); service != nil {
		x.maxConnections = service.MaxConnections
	}
	x.prompt = sharedPrompt(x.request.Prompt)
	x.header = x.r.Header
	removeHopHeaders(x.header)
	x.router.wire.StripRequest(x.header)
	x.resumeAfter = x.request.ResumeAfter
	return "", 0
}

func (x *exchange) setDeadline() {
	limit := x.request.Wait
	if x.route.Timeout > 0 && (limit == 0 || x.route.Timeout < limit) {
		limit = x.route.Timeout
	}
	if limit == 0 {
		limit = defaultTimeout
	}
	x.deadline = x.started.Add(limit)
}

func (x *exchange) readBody(limits routes.Limits) reason.Reason {
	if x.r.ContentLength == 0 || x.r.Body == nil {
		return ""
	}
	source := x.r.Body
	if limits.BodyBytes > 0 {
		source = http.MaxBytesReader(x.w, x.r.Body, limits.BodyBytes)
	}
	if x.r.ContentLength > 0 && (limits.BodyBytes == 0 || x.r.ContentLength <= limits.BodyBytes) {
		x.body = make([]byte, 0, x.r.ContentLength+1)
	}
	body, err := readInto(x.body, source)
	x.body = body
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return reason.BodyTooLarge
	case err != nil:
		x.lastErr = err
		return reason.CallerGone
	}
	return ""
}

// readInto appends all that a reader has to a buffer.
func readInto(buffer []byte, source io.Reader) ([]byte, error) {
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := source.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
	}
}

// sharedPrompt describes the parts that other requests share: all but the last one.
func sharedPrompt(parts []routes.Part) place.Prompt {
	if len(parts) < 2 {
		return place.Prompt{}
	}
	shared := parts[:len(parts)-1]
	prompt := place.Prompt{
		// The parts before the last one are the same for all prompts that hold it.
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

// promptKey is the key of the prompts that share the parts up to this one; it is never 0.
func promptKey(part routes.Part) uint64 { return xxhash.Sum64String(part.ID) | 1 }

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func removeHopHeaders(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(header, name)
	}
}

// run tries targets until one has answered, the request is refused, or its time is over.
func (x *exchange) run() {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	_ = x.control.SetWriteDeadline(x.deadline.Add(writeGrace))
	x.countRequest()
	for {
		if x.isCrashSuspect() {
			x.finish(reason.CrashSuspect, 0)
			return
		}
		choice, refusal := x.chooseTarget()
		if refusal != nil {
			x.finish(refusal.Reason, refusal.RetryAfter)
			return
		}
		result := x.attempt(ctx, choice)
		if result.done {
			return
		}
		if x.r.Context().Err() != nil {
			x.finish(reason.CallerGone, 0)
			return
		}
		if why := x.checkRetry(result); why != "" {
			x.finish(why, retryAfterFailure)
			return
		}
	}
}

// retryAfterFailure tells callers when to come back after targets refused or could not be reached: the next router's
// choice differs, so it is short.
const retryAfterFailure = 100 * time.Millisecond

func (x *exchange) countRequest() {
	x.router.traffic.Lock()
	x.router.budget.Request(x.router.now(), x.service)
	x.router.traffic.Unlock()
}

func (x *exchange) chooseTarget() (place.Choice, *place.Refusal) {
	r := x.router
	r.traffic.Lock()
	defer r.traffic.Unlock()
	now := r.now()
	choice, refusal := r.loadTracker.Choose(now, place.Query{
		Service:        x.service,
		Prompt:         x.prompt,
		PromptTokens:   x.request.PromptTokens,
		Zone:           r.config.Zone,
		Exclude:        x.triedTargets,
		Left:           time.Until(x.deadline),
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

// checkRetry decides whether another target is tried; an empty reason means yes.
func (x *exchange) checkRetry(result attemptResult) reason.Reason {
	x.triedTargets = append(x.triedTargets, x.lastTarget)
	switch {
	case time.Until(x.deadline) < minRemainingTime:
		return reason.DeadlineExceeded
	case x.attempts >= maxAttempts:
		return result.reason
	case result.mayHaveRun && !x.route.Idempotent():
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
	r.traffic.Lock()
	defer r.traffic.Unlock()
	return r.budget.Allow(r.now(), x.service)
}

// finish ends a request that no target has answered in full.
func (x *exchange) finish(why reason.Reason, retryAfter time.Duration) {
	switch {
	case x.r.Context().Err() != nil:
		x.logOutcome(reason.CallerGone, "caller gone", logrus.InfoLevel)
		panic(http.ErrAbortHandler)
	case x.headerSent:
		x.logOutcome(why, "stream cut", logrus.WarnLevel)
		panic(http.ErrAbortHandler)
	case x.targetFailure != nil:
		x.logOutcome(why, "target's failure passed on", logrus.InfoLevel)
		x.writeBuffered(x.targetFailure.status, x.targetFailure.header, x.targetFailure.body)
	default:
		x.refuse(why, retryAfter)
	}
}

// refuse answers with a failure of the router's own. A status that promises that the request has not run is used only
// where that is certain.
func (x *exchange) refuse(why reason.Reason, retryAfter time.Duration) {
	ran := reason.No
	status := why.Status()
	if why == reason.CrashSuspect {
		// The suspicion may be wrong, so the request is not called invalid.
		status = http.StatusServiceUnavailable
	}
	if x.mayHaveRun {
		ran = reason.Unknown
		if status != http.StatusGatewayTimeout {
			status = http.StatusBadGateway
		}
	} else if status == http.StatusGatewayTimeout || status == http.StatusBadGateway {
		status = http.StatusServiceUnavailable
	}
	x.router.meters.Refused(why, ran)
	level := logrus.WarnLevel
	if why == reason.UnknownPool || why == reason.UnknownCustomer {
		level = logrus.InfoLevel
	}
	x.logOutcome(why, "refused", level)
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if retryAfter > 0 && ran == reason.No {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	body, err := json.Marshal(struct {
		Error reason.Reason `json:"error"`
		Ran   reason.Ran    `json:"ran"`
	}{why, ran})
	if err != nil {
		body = nil // strings always marshal
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that is gone has no use for the answer.
	_, _ = x.w.Write(body)
}

// logOutcome writes the log line of a request's end.
func (x *exchange) logOutcome(why reason.Reason, message string, level logrus.Level) {
	entry := x.router.log.WithFields(logrus.Fields{
		"request": x.request.ID,
		"reason":  why,
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

// writeBuffered writes an answer that was read in full.
func (x *exchange) writeBuffered(status int, from http.Header, body []byte) {
	x.copyHeader(from)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		x.lastErr = err
	}
}

// copyHeader passes on a target's headers.
func (x *exchange) copyHeader(from http.Header) {
	removeHopHeaders(from)
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

// isNotSent reports whether an error of a try means that no byte of the request left the process.
func isNotSent(err error) bool {
	var notSent *upstream.NotSentError
	return errors.As(err, &notSent)
}
