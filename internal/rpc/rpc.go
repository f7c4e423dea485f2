// Package rpc carries drpc calls between daemons over TCP, optionally with mutual TLS.
//
// Each connection starts with one byte that distinguishes control traffic from request traffic, so that control bytes
// can be counted separately. A connection carries one call at a time; the pool opens more connections as needed.
package rpc

import (
	"context"
	"crypto/tls"
	"io"
	"net"
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
)

// Counter counts the bytes of control connections.
type Counter interface {
	ControlSent(bytes int)
	ControlReceived(bytes int)
}

// keepAlive detects peers whose VM disappeared without closing its connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
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

// Serve accepts connections until the context is cancelled.
func Serve(ctx context.Context, listener net.Listener, handler drpc.Handler, tlsConfig *tls.Config, counter Counter) error {
	server := drpcserver.NewWithOptions(handler, drpcserver.Options{Manager: managerOptions()})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return trace.Wrap(err, "accepting a connection")
		}
		go serveOne(ctx, server, raw, tlsConfig, counter)
	}
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
