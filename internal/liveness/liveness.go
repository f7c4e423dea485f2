// Package liveness detects a server that has fallen silent while it may hold calls open.
//
// A call that waits for events has no response for seconds, so its silence says nothing. Short pings beside it do: a
// server that answers none of them for the timeout is silent. A response to any call counts. One lost response is not
// enough, since the pings that follow use other connections.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package liveness

import "time"

// Monitor decides when to ping a server and whether it is silent.
type Monitor struct {
	interval time.Duration
	timeout  time.Duration
	// pending is set while a ping has no response; pendingSince is the time of the first such ping.
	pending      bool
	pendingSince time.Duration
	// nextPing is when the next ping is due.
	nextPing time.Duration
}

// New returns a monitor that pings at the interval and considers a server silent that answers no ping for the timeout.
func New(interval, timeout time.Duration) *Monitor {
	return &Monitor{interval: interval, timeout: timeout}
}

// Answered records a response to any call.
func (m *Monitor) Answered(now time.Duration) {
	m.pending = false
	m.nextPing = now + m.interval
}

// Reset forgets earlier pings. It is called when the server begins to be monitored again.
func (m *Monitor) Reset(now time.Duration) { m.Answered(now) }

// PingDue reports whether to ping the server now, and records that ping.
func (m *Monitor) PingDue(now time.Duration) bool {
	if now < m.nextPing {
		return false
	}
	m.nextPing = now + m.interval
	if !m.pending {
		m.pending, m.pendingSince = true, now
	}
	return true
}

// Silent reports whether no ping has been answered for the timeout.
func (m *Monitor) Silent(now time.Duration) bool {
	return m.pending && now-m.pendingSince >= m.timeout
}
