// Package rpc carries drpc calls between daemons over TCP, optionally with mutual TLS.
//
// Each connection starts with one byte that distinguishes control traffic from request traffic, so that control bytes
// can be counted separately. A connection carries one call at a time; the pool opens more connections as needed.
package rpc

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// Class is the class of a connection, sent as its first byte.
type Class byte

// Classes of connections.
const (
	Control Class = 'C'
	Traffic Class = 'T'
)

const (
	dialTimeout       = time.Second
	prefaceTimeout    = 5 * time.Second
	idleExpiry        = 30 * time.Second
	maxIdlePerAddress = 256
	softCancelGrace   = 5 * time.Millisecond
	maxMessageBytes   = 64 << 20
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// minAcceptPause and maxAcceptPause bound the pause after a failed accept, as in net/http. It doubles with each failure.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Counter counts the bytes of control connections.
type Counter interface {
	ControlSent(bytes int)
	ControlReceived(bytes int)
}

// keepAlive detects peers whose VM disappeared without closing its connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

// EventCounter is implemented by counters that also count failed accepts and refused connections.
type EventCounter interface {
	Event(kind string)
}

// Limits are the limits of a server.
type Limits struct {
	// MessageBytes is the largest message from a caller, in bytes; 0 means 64 MB.
	MessageBytes int
	// Strangers is the largest number of connections from hosts that Known does not know, all such hosts together. There
	// is no limit if Known is nil.
	Strangers int
	// Known reports whether an IP address is that of a peer.
	Known func(host string) bool
}

func managerOptions() drpcmanager.Options { return limitedOptions(maxMessageBytes) }

func limitedOptions(messageBytes int) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: messageBytes},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// Dialer opens pooled connections of one class.
type Dialer struct {
	class   Class
	tls     *tls.Config
	counter Counter
	source  string
	pool    *drpcpool.Pool[string, drpcpool.Conn]
}

// NewDialer returns a dialer. It uses plain TCP if tlsConfig is nil.
func NewDialer(class Class, tlsConfig *tls.Config, counter Counter) *Dialer {
	return &Dialer{
		class:   class,
		tls:     tlsConfig,
		counter: counter,
		pool:    drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleExpiry, KeyCapacity: maxIdlePerAddress}),
	}
}

// WithoutReuse makes the dialer open a connection for each call. A kept connection may have gone silent with the peer's VM,
// which is noticed only by a timeout.
func (d *Dialer) WithoutReuse() *Dialer {
	d.pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{KeyCapacity: -1})
	return d
}

// WithSource sets the local IP address of the dialer's connections. With an empty address the operating system chooses.
func (d *Dialer) WithSource(source string) *Dialer {
	d.source = source
	return d
}

// Conn returns a connection to the address. It is dialed when a call is made and no idle connection is available.
func (d *Dialer) Conn(ctx context.Context, address string) drpc.Conn {
	return d.pool.Get(ctx, address, d.dial)
}

// Close closes the idle connections.
func (d *Dialer) Close() error {
	return trace.Wrap(d.pool.Close())
}

func (d *Dialer) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.connect(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	if _, err := conn.Write([]byte{byte(d.class)}); err != nil {
		_ = conn.Close()
		return nil, &DialError{Address: address, Cause: err}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func (d *Dialer) connect(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{KeepAliveConfig: keepAlive}
	if d.source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(d.source)}
	}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	countingConn := countBytes(raw, d.class, d.counter)
	if d.tls == nil {
		return countingConn, nil
	}
	tlsConn := tls.Client(countingConn, d.tls)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return tlsConn, nil
}

// DialError is returned if a connection could not be opened. No call was sent in this case.
type DialError struct {
	Address string
	Cause   error
}

func (e *DialError) Error() string { return "connecting to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// Serve accepts connections until the context is cancelled or the listener is closed. Other errors of the listener, such
// as a lack of descriptors, are counted and retried.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, tlsConfig *tls.Config, counter Counter) error {
	return ServeLimited(ctx, listener, handler, tlsConfig, counter, Limits{})
}

// ServeLimited is Serve with limits on what callers may send and hold.
func ServeLimited(ctx context.Context, listener net.Listener, handler drpc.Handler, tlsConfig *tls.Config, counter Counter, limits Limits) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: limitedOptions(cmp.Or(limits.MessageBytes, maxMessageBytes))})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	events, _ := counter.(EventCounter)
	event := func(kind string) {
		if events != nil {
			events.Event(kind)
		}
	}
	var strangers atomic.Int64
	pause := minAcceptPause
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err, "accepting a connection")
			}
			event("accept_failed")
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(pause):
			}
			pause = min(2*pause, maxAcceptPause)
			continue
		}
		pause = minAcceptPause
		if limits.Known == nil || limits.Known(hostOf(raw)) {
			go serveOne(ctx, server, raw, tlsConfig, counter)
			continue
		}
		if strangers.Load() >= int64(limits.Strangers) {
			event("caller_refused")
			_ = raw.Close()
			continue
		}
		strangers.Add(1)
		go func() {
			defer strangers.Add(-1)
			serveOne(ctx, server, raw, tlsConfig, counter)
		}()
	}
}

// hostOf returns the IP address of the other end of a connection.
func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// serveOne reads the class byte and serves calls until the connection closes.
func serveOne(ctx context.Context, server *drpcserver.Server, raw net.Conn, tlsConfig *tls.Config, counter Counter) {
	defer func() { _ = raw.Close() }()
	if tcp, ok := raw.(*net.TCPConn); ok {
		_ = tcp.SetKeepAliveConfig(keepAlive)
	}
	countingConn := &countedConn{Conn: raw, counter: counter}
	conn := net.Conn(countingConn)
	if tlsConfig != nil {
		conn = tls.Server(countingConn, tlsConfig)
	}
	_ = conn.SetReadDeadline(time.Now().Add(prefaceTimeout))
	var class [1]byte
	if _, err := io.ReadFull(conn, class[:]); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	countingConn.counting = Class(class[0]) == Control
	_ = server.ServeOne(ctx, conn)
}

// countedConn counts bytes if the connection carries control traffic.
type countedConn struct {
	net.Conn
	counter  Counter
	counting bool
}

func countBytes(conn net.Conn, class Class, counter Counter) net.Conn {
	if class != Control || counter == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: counter, counting: true}
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.counting && c.counter != nil {
		c.counter.ControlReceived(n)
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.counting && c.counter != nil {
		c.counter.ControlSent(n)
	}
	return n, err
}
