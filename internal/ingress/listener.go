package ingress

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membudget"
)

const (
	// headCost is the memory, in bytes, that a byte of a request head takes at worst when it is parsed: many short fields.
	headCost = 16
	// headSlack is what may be read, in bytes, beyond the limit of a head: the read buffer of the HTTP server, which may
	// contain the beginning of a body.
	headSlack = 4 << 10
	// minHeads is the number of heads of the largest size for which there is memory at least.
	minHeads = 2
	// tooLargeResponse has the form of the HTTP server's own response.
	tooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
	// responseTime bounds the write of tooLargeResponse, which fits into the send buffer.
	responseTime = 100 * time.Millisecond
)

// Limits are the limits of a Listener. A limit that is 0 is not set.
type Limits struct {
	// Connections is the largest number of open connections.
	Connections int
	// HeadMemory bounds the memory of all incomplete request heads, in bytes, two heads of the largest size at least.
	HeadMemory int64
	// HeadBytes returns the largest request head at present, in bytes.
	HeadBytes func() int
	// Closed is called for each connection that a limit closes, with the kind of event for counters.
	Closed func(kind string)
}

// Listener bounds the connections of an HTTP server and the memory of its request heads. The server must call the
// function ConnState.
type Listener struct {
	net.Listener
	limits Limits
	start  time.Time
	heads  *membudget.Budget

	mu          sync.Mutex
	connections *Connections
	conns       map[*Connection]*Conn
}

// Listen wraps a TCP listener.
func Listen(inner net.Listener, limits Limits) *Listener {
	return &Listener{
		Listener: inner, limits: limits, start: time.Now(), heads: membudget.New(limits.HeadMemory),
		connections: NewConnections(limits.Connections), conns: make(map[*Connection]*Conn),
	}
}

// Conn is an accepted connection.
type Conn struct {
	*net.TCPConn
	listener *Listener
	// state and the fields below are guarded by the listener's mu.
	state *Connection
	// headBytes is what has been read of the current request head; headComplete is set once that is complete.
	headBytes    int64
	headComplete bool
	reservation  membudget.Reservation
}

// Accept waits for a connection within the limits. It may close another one, or connections that it does not return.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		l.mu.Lock()
		opened, surplus := l.connections.Open(time.Since(l.start))
		conn := &Conn{TCPConn: tcp, listener: l, state: opened, reservation: l.heads.Reservation()}
		closing := conn
		if surplus != opened {
			closing = l.conns[surplus]
			l.conns[opened] = conn
		}
		l.mu.Unlock()
		if surplus != nil {
			l.limits.Closed("connection_surplus")
			_ = closing.Close()
		}
		if surplus != opened {
			return conn, nil
		}
	}
}

// Count returns the number of open connections.
func (l *Listener) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int64(l.connections.Count())
}

// ConnState records the state of a connection of a Listener. It is the ConnState function of the server.
func ConnState(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*Conn)
	if !ok {
		return
	}
	l := conn.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.connections.Active(conn.state)
		conn.headComplete = true
		conn.reservation.Hold(0)
	case http.StateIdle:
		l.connections.Idle(time.Since(l.start), conn.state)
		conn.headBytes, conn.headComplete = 0, false
	case http.StateClosed, http.StateHijacked:
		conn.forget()
	}
}

// forget removes a connection. The caller holds the listener's mu.
func (c *Conn) forget() {
	c.listener.connections.Close(c.state)
	delete(c.listener.conns, c.state)
	c.reservation.Hold(0)
}

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.forget()
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}

// Read reads from the connection. A request head over the limit is answered, and ends the connection.
func (c *Conn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if n == 0 {
		return n, err
	}
	tooLarge, victims := c.count(int64(n))
	for _, victim := range victims {
		c.listener.limits.Closed("head_memory")
		_ = victim.Close()
	}
	if tooLarge {
		c.listener.limits.Closed("head_too_large")
		_ = c.SetWriteDeadline(time.Now().Add(responseTime))
		_, _ = c.Write([]byte(tooLargeResponse)) // the client may be gone
		return 0, io.EOF
	}
	return n, err
}

// count charges bytes of a request head. It reports whether the head is too large, and returns the connections to close if
// there is no memory for all heads, the oldest heads first.
func (c *Conn) count(bytes int64) (tooLarge bool, victims []*Conn) {
	l := c.listener
	limit := int64(l.limits.HeadBytes())
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.headComplete || l.conns[c.state] == nil {
		return false, nil
	}
	if c.headBytes == 0 {
		l.connections.Head(time.Since(l.start), c.state)
	}
	c.headBytes += bytes
	if c.headBytes > limit+headSlack {
		return true, nil
	}
	if l.limits.HeadMemory == 0 {
		return false, nil
	}
	within := max(l.limits.HeadMemory, minHeads*headCost*(limit+headSlack))
	for !c.reservation.HoldWithin(headCost*c.headBytes, within) {
		victim := l.conns[l.connections.OldestHead()]
		victim.forget()
		victims = append(victims, victim)
		if victim == c {
			break
		}
	}
	return false, victims
}
