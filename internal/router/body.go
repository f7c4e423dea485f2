package router

import (
	"errors"
	"io"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/ingress"
	"github.com/amaranthlb/amaranthlb/internal/reason"
)

const (
	// discardedBytes and discardTime bound what is read of a body after it was refused. A client that is still sending
	// would otherwise lose the response when the connection closes with unread data.
	discardedBytes = 64 << 10
	discardTime    = 200 * time.Millisecond
	// unreadBodyTime bounds the time in which the server reads what is left of the body of a refused request, so that the
	// connection can be used again. It equals the time for a request header.
	unreadBodyTime = headerTimeout
)

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// bodyRetryAfter returns the Retry-After of a refused body; 0 for none.
func bodyRetryAfter(code reason.Reason) time.Duration {
	if code == reason.BodyMemory {
		return failureRetryAfter
	}
	return 0
}

// readLimitedBody reads a body up to a limit in bytes, within the memory of all bodies and until the request's deadline.
func (x *exchange) readLimitedBody(limit int64) reason.Reason {
	// A connection without deadlines is bounded by the server's other limits.
	_ = x.control.SetReadDeadline(x.deadline)
	in := ingress.Incoming{
		Source: x.r.Body, Length: x.r.ContentLength, Limit: limit,
		Interrupt: func() { _ = x.control.SetReadDeadline(pastDeadline) },
	}
	if x.customer != nil {
		in.Customer = x.customer.Name
	}
	var err error
	x.body, x.heldBody, err = x.router.bodies.ReadBody(in)
	if err == nil {
		_ = x.control.SetReadDeadline(time.Time{})
		return ""
	}
	x.lastErr = err
	x.releaseBody()
	x.bodyRefused = true
	x.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return reason.BodyTooLarge
	case errors.Is(err, ingress.ErrTimeout):
		return reason.BodyTimeout
	case errors.Is(err, ingress.ErrMemory):
		return reason.BodyMemory
	}
	return reason.CallerGone
}

// readUnlimitedBody reads a body for which the configuration sets no limit.
func (x *exchange) readUnlimitedBody() reason.Reason {
	if x.r.ContentLength > 0 {
		x.body = make([]byte, 0, x.r.ContentLength+1)
	}
	body, err := readInto(x.body, x.r.Body)
	x.body = body
	if err != nil {
		x.lastErr = err
		return reason.CallerGone
	}
	return ""
}

// readInto reads until EOF and appends the data to a buffer.
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

// releaseBody releases the memory of the request's body.
func (x *exchange) releaseBody() { x.heldBody.Release() }

// discardBody bounds what the server reads of the body of a request that was refused. Of a body that was refused itself
// it reads a little, so that the response reaches a client that is still sending, and the connection closes.
func (x *exchange) discardBody() {
	if x.r.ContentLength == 0 {
		return
	}
	if !x.bodyRefused {
		_ = x.control.SetReadDeadline(time.Now().Add(unreadBodyTime))
		return
	}
	if x.control.Flush() != nil {
		return
	}
	// A client that waits for permission to send the body sends none after the response.
	if x.r.Header.Get("Expect") == "" {
		_ = x.control.SetReadDeadline(time.Now().Add(discardTime))
		_, _ = io.CopyN(io.Discard, x.r.Body, discardedBytes) // fails if the client has sent less or is gone
	}
	_ = x.control.SetReadDeadline(pastDeadline)
}
