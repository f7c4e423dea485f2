package stricthttp

import (
	"net"
	"sync"
)

// Conn is a client's connection.
type Conn struct {
	net.Conn

	mu   sync.Mutex
	head headChecker
	// headErr is the error of the first invalid line.
	headErr error
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
// reader that gets no data at all might take the connection for one that was closed while idle, and repeat its request.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
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
