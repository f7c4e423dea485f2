package stricthttp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
	// headErr is the error of the first invalid line.
	headErr error

	// writing is held during a write. failure is the error of the first write that found the connection failed.
	writing sync.Mutex
	failure error
}

// NewConn returns a connection that checks the responses that it is told to expect.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// ExpectResponse states that the data that is read next begins a response. It checks the given data, which has already been
// read, as the beginning.
func (c *Conn) ExpectResponse(begun []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headChecker{pending: true}
	if c.headErr == nil {
		_, c.headErr = c.head.check(begun)
	}
	return c.headErr
}

// Read implements io.Reader. It returns a SyntaxError in place of the end of an invalid line, with the data before it: a
// reader that gets no data at all might take the connection for one that was closed while idle, and repeat its request. At
// the end of the data it stops a write in progress, and returns io.EOF only if the other side has ended the data.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if err == io.EOF {
		err = c.endError()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	valid := 0
	if c.headErr == nil {
		valid, c.headErr = c.head.check(buffer[:n])
	}
	if c.headErr != nil {
		return valid, c.headErr
	}
	return n, err
}

// endError returns the error of a read at the end of the data. The kernel reports that a connection has failed to one call
// only. If that is a write, a read finds the data at an end, as if the other side had ended it.
func (c *Conn) endError() error {
	// The end of the data means that a write in progress has failed, or that its data is not needed any more.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// Write implements io.Writer.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	// EPIPE means that the other side had ended the data before the connection failed, or that an earlier write has failed.
	if err != nil && c.failure == nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
	return n, err
}
