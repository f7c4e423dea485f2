// Package target sends requests to engines and services over HTTP.
//
// The package tracks whether any byte of a request may have reached the target. An error before that point means that
// the request did not run. The caller's guard is checked directly before the first byte is written.
package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

const (
	dialTimeout           = time.Second
	maxIdleConnsPerTarget = 64
	idleTimeout           = 30 * time.Second
	readBufferBytes       = 32 << 10
)

// Request is a request to a target.
type Request struct {
	ID          string
	Customer    string
	Chat        string
	Method      string
	Path        string
	ContentType string
	Priority    int
	Body        []byte
}

// Response is a target's response, whose body is still to be read. The caller must close Body.
type Response struct {
	Status      int
	ContentType string
	Body        io.ReadCloser
}

// Attempt tracks one attempt to send a request to a target.
type Attempt struct {
	// Guard is called directly before the first byte is written; false prevents the write.
	Guard func() bool
	// Written is called directly after the first write that Guard allowed.
	Written func()
	started atomic.Bool
}

// Started reports whether a byte of the request may have reached the target.
func (a *Attempt) Started() bool { return a.started.Load() }

// Kind classifies failures.
type Kind string

// Failure kinds.
const (
	// Unreachable means that no connection could be established; the request did not run.
	Unreachable Kind = "unreachable"
	// Forbidden means that the guard prevented the write; the request did not run.
	Forbidden Kind = "forbidden"
	// Failed means that the request may have run.
	Failed Kind = "failed"
)

// Error is a failed attempt.
type Error struct {
	Kind    Kind
	Address string
	Cause   error
}

func (e *Error) Error() string {
	return fmt.Sprintf("target %s %s: %s", e.Address, e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

var errForbidden = errors.New("the gate may no longer write to this target")

// Client sends requests to targets.
type Client struct {
	// pooled reuses connections; oneShot opens a connection per request, so that the transport never resends
	// a non-repeatable request when a reused connection turns out to be closed.
	pooled  *http.Client
	oneShot *http.Client
}

// NewClient returns a client.
func NewClient() *Client {
	return &Client{pooled: newHTTPClient(false), oneShot: newHTTPClient(true)}
}

func newHTTPClient(oneShot bool) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		DisableKeepAlives:   oneShot,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnsPerTarget,
		IdleConnTimeout:     idleTimeout,
		ReadBufferSize:      readBufferBytes,
	}
	return &http.Client{
		Transport:     stricthttp.NewTransport(transport),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.oneShot.CloseIdleConnections()
}

// guardedConn checks the guard of its current attempt before it writes the first byte of the request.
type guardedConn struct {
	net.Conn
	attempt atomic.Pointer[Attempt]
}

func (c *guardedConn) Write(p []byte) (int, error) {
	attempt := c.attempt.Load()
	if attempt == nil || attempt.started.Load() {
		return c.Conn.Write(p)
	}
	if attempt.Guard != nil && !attempt.Guard() {
		return 0, errForbidden
	}
	attempt.started.Store(true)
	if attempt.Written != nil {
		defer attempt.Written()
	}
	return c.Conn.Write(p)
}

// Do sends a request that may be repeated, on a reused connection if there is one.
func (c *Client) Do(ctx context.Context, address string, request Request, attempt *Attempt) (*Response, error) {
	return send(ctx, c.pooled, address, request, attempt)
}

// DoOnce sends a request that must not be repeated, on a new connection.
func (c *Client) DoOnce(ctx context.Context, address string, request Request, attempt *Attempt) (*Response, error) {
	return send(ctx, c.oneShot, address, request, attempt)
}

func send(ctx context.Context, client *http.Client, address string, request Request, attempt *Attempt) (*Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if checked, ok := info.Conn.(*stricthttp.Conn); ok {
				checked.NetConn().(*guardedConn).attempt.Store(attempt)
			}
		},
	})
	httpRequest, err := newHTTPRequest(ctx, address, request)
	if err != nil {
		return nil, &Error{Kind: Unreachable, Address: address, Cause: err}
	}
	response, err := client.Do(httpRequest)
	if err != nil {
		return nil, &Error{Kind: classifyError(err, attempt), Address: address, Cause: err}
	}
	return &Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        response.Body,
	}, nil
}

func classifyError(err error, attempt *Attempt) Kind {
	switch {
	case attempt.Started():
		return Failed
	case errors.Is(err, errForbidden):
		return Forbidden
	}
	return Unreachable
}

func newHTTPRequest(ctx context.Context, address string, request Request) (*http.Request, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set("X-Request-Id", request.ID)
	httpRequest.Header.Set("X-Customer", request.Customer)
	httpRequest.Header.Set("X-Priority", strconv.Itoa(request.Priority))
	if request.Chat != "" {
		httpRequest.Header.Set("X-Chat", request.Chat)
	}
	if request.ContentType != "" {
		httpRequest.Header.Set("Content-Type", request.ContentType)
	}
	return httpRequest, nil
}
