package ingress

import "time"

// Connection is a client's connection as Connections sees it.
type Connection struct {
	number uint64
	active bool
	// head is set while a request head has begun and is not complete.
	head  bool
	since time.Duration
}

// Connections decides which connection is closed when there are too many. It reads no clock, does no I/O and is not safe
// for concurrent use.
type Connections struct {
	limit int
	open  map[*Connection]struct{}
	next  uint64
}

// NewConnections returns the decision for a number of connections; 0 sets no limit.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, open: make(map[*Connection]struct{})}
}

// Open adds a connection. It also returns the one to close, which may be the new one, or nil. That one is removed.
func (c *Connections) Open(now time.Duration) (opened, surplus *Connection) {
	opened = &Connection{number: c.next, since: now}
	c.next++
	if c.limit > 0 && len(c.open) >= c.limit {
		if surplus = c.Surplus(); surplus == nil {
			return opened, opened
		}
		delete(c.open, surplus)
	}
	c.open[opened] = struct{}{}
	return opened, surplus
}

// Surplus returns the connection that is closed first: the one that has been idle longest or, if none is idle, the one
// whose request head began first. It returns nil if requests are being served on all.
func (c *Connections) Surplus() *Connection {
	var first *Connection
	for connection := range c.open {
		if !connection.active && (first == nil || connection.before(first)) {
			first = connection
		}
	}
	return first
}

// OldestHead returns the connection whose incomplete request head began first; nil if there is none.
func (c *Connections) OldestHead() *Connection {
	var first *Connection
	for connection := range c.open {
		if connection.head && (first == nil || connection.before(first)) {
			first = connection
		}
	}
	return first
}

func (x *Connection) before(y *Connection) bool {
	if x.head != y.head {
		return y.head
	}
	if x.since != y.since {
		return x.since < y.since
	}
	return x.number < y.number
}

// Head records that a request head has begun.
func (c *Connections) Head(now time.Duration, connection *Connection) {
	connection.head, connection.since = true, now
}

// Active records that a request head is complete.
func (c *Connections) Active(connection *Connection) {
	connection.active, connection.head = true, false
}

// Idle records that a request has been served.
func (c *Connections) Idle(now time.Duration, connection *Connection) {
	connection.active, connection.head, connection.since = false, false, now
}

// Close removes a connection. It does nothing if the connection was removed before.
func (c *Connections) Close(connection *Connection) { delete(c.open, connection) }

// Count returns the number of connections.
func (c *Connections) Count() int { return len(c.open) }
