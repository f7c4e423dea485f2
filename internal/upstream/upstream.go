// Package upstream sends individual requests to targets over persistent connections.
//
// It never retries a request. Its errors tell whether the request may have run: NotSentError if no byte of it left this
// process, BrokenError otherwise. A connection is reused only after a response that ended cleanly without trailing
// data, and only while the target is certain to keep it open. A response that carries another request's ID is skipped;
// data that is not a valid HTTP response breaks the connection.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/amaranthlb/amaranthlb/internal/membudget"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/stricthttp"
)

// Limits of connections.
const (
	// DialTimeout allows one retransmission of a lost packet across zones, which the kernel does within the first 300
	// ms or so. The kernel's next retransmission follows only after a second, so trying another target is faster.
	DialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is how long a connection is kept if the target states no timeout. Targets do not state
	// timeouts under a second.
	defaultIdleTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from a stated timeout, which is rounded to whole seconds and starts at the target.
	idleMargin = time.Second
	// reuseSettlingTime is the time that a connection must have been idle before it is reused. A target in trouble may send
	// more data right after a complete response, which must have arrived by then to be noticed.
	reuseSettlingTime = 5 * time.Millisecond
	// tcpUserTimeout closes a connection whose peer acknowledges nothing. It equals the gap after which clients abandon
	// a stream.
	tcpUserTimeout = 2 * time.Second
	// maxInlineBody is the largest body that is written before the response is read. It fits into the send buffer, so a
	// target that responds early can't block the write.
	maxInlineBody = 8 << 10
	// maxSkippedResponses bounds the responses to other requests that are skipped on one connection.
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the body of a response that is read in order to skip it.
	maxSkippedBytes = 64 << 10
	readBuffer      = 4 << 10
	// maxHeadBytes bounds what is read before the response to a request is recognized, interim responses and those to
	// other requests included. A target in trouble may send data without end.
	maxHeadBytes = 128 << 10
	// headStep is what is read of a head before more memory is reserved. Usual heads are shorter.
	headStep = 4 << 10
	// maxIdlePerAddress bounds the idle connections to one target. All routers together must stay far below the target's
	// limit: 80 routers keep 160 of the 480 or more connections that targets allow on the enlarged sites.
	maxIdlePerAddress = 2
	// DefaultHeldBytes bounds the held response data of all requests together if no other limit is set.
	DefaultHeldBytes = 64 << 20
	// headCost is the memory, in bytes, that a byte of a response head takes at worst when it is parsed: many short fields.
	headCost = 16
)

// NotSentError reports a request of which no byte was sent.
type NotSentError struct{ Cause error }

func (e *NotSentError) Error() string { return fmt.Sprintf("request not sent: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// BrokenError reports a request that was sent but has no complete response.
type BrokenError struct {
	Cause error
	// Closed is set if the target closed the connection, rather than this process after a timeout or cancellation.
	Closed bool
}

func (e *BrokenError) Error() string { return fmt.Sprintf("response broken: %v", e.Cause) }

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// errHeadTooLong reports a connection on which no response was recognized within maxHeadBytes.
var errHeadTooLong = errors.New("no response to the request within the limit of its head")

// errWrongRequestID reports a response on the connection that does not belong to the request.
var errWrongRequestID = errors.New("response does not carry the request ID")

// Decoder decodes the header of a target's response.
type Decoder interface {
	DecodeAnswer(status int, header http.Header) routes.Answer
}

// Call is a single request to a target.
type Call struct {
	Address   string
	Method    string
	URI       string
	Host      string
	Header    http.Header
	Body      []byte
	RequestID string
	// HeadTimeout bounds the time until the response header.
	HeadTimeout time.Duration
	// NewConnection requires a new connection.
	NewConnection bool
}

// Response is a response whose header has been read; the caller reads the body.
type Response struct {
	Status int
	Header http.Header
	Answer routes.Answer
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// Unframed is set if the body has neither a length nor chunks and ends with the connection.
	Unframed bool
	// Reused is set if the connection had served an earlier request.
	Reused bool

	pool *Pool
	// held is the data of the response that is held in memory.
	held           membudget.Reservation
	conn           *conn
	body           io.ReadCloser
	stopWatch      func() bool
	bodyErr        chan error
	closeAfterBody bool
	bodyEOF        bool
	closed         bool
}

type conn struct {
	*stricthttp.Conn
	reader *bufio.Reader
	// unread is the number of bytes that may still be read from the connection. Once it is used up, extend may allow more.
	unread int64
	extend func() int64
	// exhausted is set once a read has failed because nothing more may be read.
	exhausted bool
	address   string
	idleAt    time.Time
	// idleLimit is how long the connection may be idle and still be reused.
	idleLimit time.Duration
	used      bool
	// onTimeout, if set, decides whether a read that timed out goes on, and until when.
	onTimeout func() (time.Time, bool)
}

// Read implements io.Reader. A read that onTimeout extends never returns its timeout, which readers of HTTP bodies
// don't recover from.
func (c *conn) Read(buffer []byte) (int, error) {
	if c.unread <= 0 && c.extend != nil {
		c.unread = c.extend()
	}
	if c.unread <= 0 {
		c.exhausted = true
		return 0, errHeadTooLong
	}
	buffer = buffer[:min(int64(len(buffer)), c.unread)]
	for {
		n, err := c.Conn.Read(buffer)
		c.unread -= int64(n)
		if n > 0 || c.onTimeout == nil || !isTimeout(err) {
			return n, err
		}
		next, proceed := c.onTimeout()
		if !proceed {
			return n, err
		}
		if err := c.SetReadDeadline(next); err != nil {
			return n, err
		}
	}
}

// Pool holds idle connections by address. It is safe for concurrent use.
type Pool struct {
	decoder Decoder
	held    *membudget.Budget
	mu      sync.Mutex
	idle    map[string][]*conn
	dialed  int64
}

// NewPool returns an empty pool. Its responses together hold at most the given number of bytes in memory.
func NewPool(decoder Decoder, heldBytes int64) *Pool {
	return &Pool{decoder: decoder, held: membudget.New(heldBytes), idle: make(map[string][]*conn)}
}

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// Do sends a request and waits for the response header. The context covers the request and the reading of its response.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, error) {
	c, err := p.get(ctx, call)
	if err != nil {
		return nil, &NotSentError{Cause: err}
	}
	response := newResponse(p, c)
	response.stopWatch = context.AfterFunc(ctx, func() {
		c.reset()
		_ = c.Close()
	})
	if err := response.send(call); err != nil {
		response.discard()
		return nil, asContextError(ctx, err)
	}
	if err := response.readHead(call); err != nil {
		response.discard()
		response.Release()
		return nil, asContextError(ctx, err)
	}
	return response, nil
}

func newResponse(p *Pool, c *conn) *Response {
	return &Response{pool: p, conn: c, Reused: c.used, held: p.held.Reservation()}
}

// asContextError replaces errors caused by the end of the context, which closes the connection.
func asContextError(ctx context.Context, err error) error {
	var broken *BrokenError
	if ctx.Err() != nil && errors.As(err, &broken) {
		return &BrokenError{Cause: ctx.Err()}
	}
	return err
}

// get returns an idle connection that is still open, or a new one.
func (p *Pool) get(ctx context.Context, call Call) (*conn, error) {
	for !call.NewConnection {
		c := p.takeIdle(call.Address)
		if c == nil {
			break
		}
		// Waiting takes no longer than a new connection would.
		time.Sleep(reuseSettlingTime - time.Since(c.idleAt))
		if time.Since(c.idleAt) < c.idleLimit && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	dialer := net.Dialer{Timeout: DialTimeout, Control: setTCPUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp4", call.Address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	c := &conn{Conn: stricthttp.NewConn(raw), address: call.Address}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *Pool) takeIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// CloseExpired closes the connections that may no longer be reused.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleAt) < c.idleLimit {
				kept = append(kept, c)
			} else {
				_ = c.Close()
			}
		}
		clear(list[len(kept):])
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
}

// CheckListening returns an error if the address does not accept connections.
func (p *Pool) CheckListening(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: DialTimeout}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	return c.Close()
}

// Close closes all idle connections.
func (p *Pool) Close() { p.CloseExpired(time.Now().Add(24 * time.Hour)) }

// reusable reports whether the idle connection is open and no data has arrived on it.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.NetConn().(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && openAndEmpty
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}

// send writes the request. Large bodies are written concurrently while the response is awaited.
func (r *Response) send(call Call) error {
	head := encodeHead(call)
	inline := len(call.Body) <= maxInlineBody
	if inline {
		head.Write(call.Body)
	}
	_ = r.conn.SetDeadline(time.Now().Add(call.HeadTimeout))
	written, err := r.conn.Write(head.Bytes())
	if err != nil {
		if written == 0 && !r.conn.used {
			return &NotSentError{Cause: err}
		}
		return &BrokenError{Cause: err, Closed: !isTimeout(err)}
	}
	if !inline {
		r.bodyErr = make(chan error, 1)
		go func(body []byte, c *conn, done chan<- error) {
			_, err := c.Write(body)
			done <- err
		}(call.Body, r.conn, r.bodyErr)
	}
	return nil
}

func encodeHead(call Call) *bytes.Buffer {
	var head bytes.Buffer
	head.Grow(1024 + min(len(call.Body), maxInlineBody))
	head.WriteString(call.Method)
	head.WriteByte(' ')
	head.WriteString(call.URI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(call.Host)
	head.WriteString("\r\n")
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(call.Body)))
		head.WriteString("\r\n")
	}
	_ = call.Header.Write(&head) // a bytes.Buffer never fails
	head.WriteString("\r\n")
	return &head
}

// readHead reads the header of the response to the request. It skips interim responses and those to other requests.
func (r *Response) readHead(call Call) error {
	method := &http.Request{Method: call.Method}
	allowed := int64(headStep)
	r.conn.unread = headStep
	r.conn.extend = func() int64 {
		if allowed >= maxHeadBytes || !r.Hold(headCost*(allowed+headStep)) {
			return 0
		}
		allowed += headStep
		return headStep
	}
	defer func() { r.conn.unread, r.conn.extend = math.MaxInt64, nil }()
	if err := r.conn.expectResponse(); err != nil {
		return err
	}
	for skipped := 0; ; {
		raw, err := http.ReadResponse(r.conn.reader, method)
		if r.conn.exhausted {
			return &BrokenError{Cause: errHeadTooLong}
		}
		if err != nil {
			return &BrokenError{Cause: err, Closed: !isTimeout(err)}
		}
		if raw.StatusCode < http.StatusOK {
			continue
		}
		stricthttp.CheckTrailer(raw)
		answer := r.pool.decoder.DecodeAnswer(raw.StatusCode, raw.Header)
		// A rejection may lack the ID. On a reused connection it may also be a copy of an earlier one.
		mayLackID := answer.ID == "" && answer.NotRun && !r.Reused
		mismatched := call.RequestID != "" && answer.ID != call.RequestID && !mayLackID
		if !mismatched {
			r.Status, r.Header, r.Answer, r.Length = raw.StatusCode, raw.Header, answer, raw.ContentLength
			r.body, r.closeAfterBody = raw.Body, raw.Close
			r.Unframed = raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
			return nil
		}
		skipped++
		if answer.ID == "" || raw.Close || skipped > maxSkippedResponses {
			return &BrokenError{Cause: errWrongRequestID, Closed: true}
		}
		if rest, err := io.CopyN(io.Discard, raw.Body, maxSkippedBytes); !errors.Is(err, io.EOF) {
			return &BrokenError{Cause: fmt.Errorf("%w: could not skip its body: read %d bytes: %v", errWrongRequestID, rest, err), Closed: true}
		}
		if err := r.conn.expectResponse(); err != nil {
			return err
		}
	}
}

// expectResponse states that the next data, of which the reader may already hold a part, begins a response.
func (c *conn) expectResponse() error {
	begun, err := c.reader.Peek(c.reader.Buffered())
	if err == nil {
		err = c.ExpectResponse(begun)
	}
	if err != nil {
		return &BrokenError{Cause: err, Closed: true}
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Read reads from the body. It waits until the deadline for more data; a zero deadline sets no limit.
func (r *Response) Read(buffer []byte, deadline time.Time) (int, error) {
	_ = r.conn.SetReadDeadline(deadline)
	n, err := r.body.Read(buffer)
	if err == io.EOF {
		r.bodyEOF = true
		return n, io.EOF
	}
	if err != nil {
		return n, &BrokenError{Cause: err, Closed: !isTimeout(err)}
	}
	return n, nil
}

// ReadWatched reads like Read, but calls onTimeout at the deadline. If that returns true, the read goes on until the
// returned time; otherwise it fails. The connection is not used while onTimeout runs.
func (r *Response) ReadWatched(buffer []byte, deadline time.Time, onTimeout func() (time.Time, bool)) (int, error) {
	r.conn.onTimeout = onTimeout
	defer func() { r.conn.onTimeout = nil }()
	return r.Read(buffer, deadline)
}

// ErrTooLong reports a body longer than the limit of ReadAll.
var ErrTooLong = errors.New("response body exceeds the size limit")

// Hold states how many bytes of the response the caller holds in memory, and reports whether these and those of all other
// responses are within the pool's limit.
func (r *Response) Hold(bytes int64) bool { return r.held.Hold(bytes) }

// Release states that the caller holds nothing of the response any more.
func (r *Response) Release() { r.held.Hold(0) }

// ReadAll reads the complete body. If the body is longer than the limit, or than what may be held at present, ReadAll
// returns the data read so far and ErrTooLong; Read continues from there. The caller releases the data with Release.
func (r *Response) ReadAll(limit int64, deadline time.Time) ([]byte, error) {
	var body bytes.Buffer
	if expected := min(r.Length, limit); expected > 0 && r.Hold(expected) {
		body.Grow(int(expected))
	}
	buffer := make([]byte, readBuffer)
	for {
		n, err := r.Read(buffer, deadline)
		body.Write(buffer[:n])
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		if int64(body.Len()) > limit || body.Len() > body.Cap()/2 && !r.Hold(2*int64(body.Cap())) {
			return body.Bytes(), ErrTooLong
		}
	}
}

// Close releases the response; only the first call has an effect. The connection is kept for reuse if the response
// ended cleanly. Otherwise it is closed, which tells the target to stop processing.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.bodyEOF || r.closeAfterBody || r.conn.reader.Buffered() > 0 || !r.bodyWritten() || !r.stopWatch() {
		r.discard()
		return
	}
	c := r.conn
	c.idleLimit = defaultIdleTimeout
	if r.Answer.KeepAlive > 0 {
		c.idleLimit = max(r.Answer.KeepAlive-idleMargin, defaultIdleTimeout)
	}
	_ = c.SetDeadline(time.Time{})
	c.used = true
	c.idleAt = time.Now()
	r.pool.putIdle(c)
}

// putIdle adds a connection to the idle ones. If there are too many, the oldest is closed.
func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := append(p.idle[c.address], c)
	if len(list) > maxIdlePerAddress {
		_ = list[0].Close()
		list = slices.Delete(list, 0, 1)
	}
	p.idle[c.address] = list
}

// bodyWritten reports whether the request body has been written completely.
func (r *Response) bodyWritten() bool {
	if r.bodyErr == nil {
		return true
	}
	select {
	case err := <-r.bodyErr:
		return err == nil
	default:
		return false
	}
}

// discard ends an attempt. If it was given up the connection is reset, so that the kernel sends nothing more of the request.
func (r *Response) discard() {
	r.stopWatch()
	if !r.bodyEOF {
		r.conn.reset()
	}
	_ = r.conn.Close()
}

// reset makes the next Close drop what has not been sent yet.
func (c *conn) reset() {
	if tcp, ok := c.NetConn().(*net.TCPConn); ok {
		// An error means that the connection is closed already.
		_ = tcp.SetLinger(0)
	}
}
