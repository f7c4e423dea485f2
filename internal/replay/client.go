package replay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/control"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

// Headers of the caller API.
const (
	headerPlacement   = "Amaranth-Placement"
	headerTicket      = "Amaranth-Ticket"
	headerLastEventID = "Last-Event-ID"
)

// Bounds of a caller's patience.
const (
	// patience is how long a caller tries to get an answer.
	patience = 30 * time.Second
	// firstBackoff and longestBackoff bound the pause before a request is sent again.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
	// maximumAnswer bounds an answer that is not streamed.
	maximumAnswer = 8 << 20
)

// The client's own reasons for a request without a whole answer.
const (
	// unreachable is a request without any answer.
	unreachable reason.Reason = "unreachable"
	// brokenStream is a stream that ended early and could not be resumed.
	brokenStream reason.Reason = "broken_stream"
	// callerTimeout is a request whose caller lost patience.
	callerTimeout reason.Reason = "caller_timeout"
)

// brokenOff returns the refusal that stands for a failed exchange. It is not known whether the request ran.
func brokenOff(ctx context.Context, why reason.Reason, err error) *refusal {
	if ctx.Err() != nil {
		why = callerTimeout
	}
	return &refusal{Code: why, Ran: reason.MayHaveRun, Message: err.Error()}
}

// Client sends a trace to a running fleet.
type Client struct {
	trace    *Trace
	fleet    *Fleet
	progress *Progress
	recorder *recorder
	oracle   map[*turn]int
	http     *http.Client
	faults   *faultControl
	started  time.Time

	mu    sync.Mutex
	turns int
	calls map[string]*callOutcome
}

// NewClient returns a client; progress may be nil.
func NewClient(t *Trace, fleet *Fleet, progress *Progress) *Client {
	client := &http.Client{Transport: stricthttp.NewTransport(&http.Transport{
		MaxIdleConnsPerHost:   256,
		ResponseHeaderTimeout: patience,
	})}
	return &Client{
		trace:    t,
		fleet:    fleet,
		progress: progress,
		recorder: newRecorder(),
		http:     client,
		faults:   newFaultControl(t, fleet, client),
		calls:    make(map[string]*callOutcome),
	}
}

// Run sends the whole trace and returns the measures.
func (c *Client) Run(ctx context.Context) (*Measures, error) {
	defer c.http.CloseIdleConnections()
	turns, oracle := c.trace.turns()
	c.oracle = oracle
	if err := c.faults.prepare(ctx); err != nil {
		return nil, err
	}
	before := c.controlBytes(ctx)
	c.started = time.Now()
	c.send(ctx, turns)
	elapsed := time.Since(c.started)
	c.recorder.update(func(m *Measures) { m.Control = controlRates(before, c.controlBytes(ctx), elapsed) })
	return c.collect(ctx)
}

// send starts each chat, call and fault at its time and waits for all to end.
func (c *Client) send(ctx context.Context, turns []*turn) {
	byEvent := make(map[*Event]*turn, len(turns))
	for _, turn := range turns {
		byEvent[turn.event] = turn
	}
	var running sync.WaitGroup
	defer running.Wait()
	for i := range c.trace.Events {
		event := &c.trace.Events[i]
		if !c.waitUntil(ctx, event.At()) {
			return
		}
		c.progress.show(time.Since(c.started), c.trace.Duration(), c.recorder)
		switch event.Kind {
		case KindChat:
			if turn := byEvent[event]; turn.first {
				running.Go(func() { c.chat(ctx, turn) })
			}
		case KindCall:
			running.Go(func() { c.call(ctx, event) })
		case KindFault:
			running.Go(func() { c.faults.run(ctx, event) })
		}
	}
}

// waitUntil waits for an offset from the start; it returns false when the context ends first.
func (c *Client) waitUntil(ctx context.Context, at time.Duration) bool {
	return control.Sleep(ctx, time.Until(c.started.Add(at)))
}

// rotation returns a number that spreads requests over equal entries.
func (c *Client) rotation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turns++
	return c.turns
}

// exchange is one HTTP request to the fleet.
type exchange struct {
	method, path, key string
	body              []byte
	headers           map[string]string
}

// do sends a request to the first entry that takes the connection. Entries that refuse it are passed over,
// since nothing was sent to them.
func (c *Client) do(ctx context.Context, zone string, x exchange) (*http.Response, error) {
	var err error
	for _, base := range c.fleet.bases(zone, c.rotation()) {
		var answer *http.Response
		if answer, err = c.doAt(ctx, base, x); err == nil || !refusedConnection(err) {
			return answer, err
		}
	}
	return nil, err
}

func (c *Client) doAt(ctx context.Context, base string, x exchange) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, x.method, "http://"+base+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+x.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range x.headers {
		if value != "" {
			request.Header.Set(name, value)
		}
	}
	return c.http.Do(request)
}

func (c *Client) key(customer string) string {
	found, _ := c.trace.Deployment.Customer(customer)
	return found.Key
}

// readRefusal reads an error answer and counts it.
func (c *Client) readRefusal(ctx context.Context, answer *http.Response) *refusal {
	body, err := readAnswer(answer)
	if err != nil {
		return brokenOff(ctx, unreachable, err)
	}
	refused := parseRefusal(body)
	c.recorder.refused(refused.Code, refused.Message)
	return refused
}

func readAnswer(answer *http.Response) ([]byte, error) {
	defer func() { _ = answer.Body.Close() }()
	return io.ReadAll(io.LimitReader(answer.Body, maximumAnswer))
}

// backoff is the growing pause between tries of one request.
type backoff struct{ next time.Duration }

// wait pauses for the time that the refusal names, or a growing one.
func (b *backoff) wait(ctx context.Context, refused *refusal) bool {
	wait := b.grow()
	if refused != nil && refused.RetryAfterMS > 0 {
		wait = time.Duration(refused.RetryAfterMS) * time.Millisecond
	}
	return control.Sleep(ctx, wait)
}

// grow returns the next pause.
func (b *backoff) grow() time.Duration {
	b.next = min(max(firstBackoff, 2*b.next), longestBackoff)
	return b.next
}
