package rpc

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/amaranthlb/amaranthlb/internal/pb"
)

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// eventCounter counts events beside bytes.
type eventCounter struct {
	byteCounter
	failed, refused atomic.Int64
}

func (c *eventCounter) Event(kind string) {
	switch kind {
	case "accept_failed":
		c.failed.Add(1)
	case "caller_refused":
		c.refused.Add(1)
	}
}

// serveOn serves on a listener until the test ends. The returned channel gets the result of Serve.
func serveOn(t *testing.T, listener net.Listener, counter Counter, limits Limits) <-chan error {
	t.Helper()
	mux := drpcmux.New()
	if err := pb.DRPCRegisterTickets(mux, &planServer{}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, ended := make(chan error, 1), make(chan struct{})
	go func() {
		done <- ServeLimited(ctx, listener, mux, nil, counter, limits)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return done
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Guards against a server that ends, and its process with it, because the descriptors ran out for a moment.
func TestServeOutlivesAcceptErrors(t *testing.T) {
	listener, counter := &failingListener{Listener: listenLocal(t)}, new(eventCounter)
	listener.failures.Store(3)
	serveOn(t, listener, counter, Limits{})
	dialer := NewDialer(Traffic, nil, nil)
	defer func() { _ = dialer.Close() }()
	if err := plan(t, dialer, listener.Addr().String()); err != nil {
		t.Error(err)
	}
	if failed := counter.failed.Load(); failed != 3 {
		t.Errorf("%d failed accepts counted", failed)
	}
}

// Guards against a server that retries for ever on a listener that is closed.
func TestServeEndsWithItsListener(t *testing.T) {
	listener := listenLocal(t)
	done := serveOn(t, listener, nil, Limits{})
	_ = listener.Close()
	select {
	case err := <-done:
		if err == nil {
			t.Error("no error although the context has not ended")
		}
	case <-time.After(5 * time.Second):
		t.Error("the server did not end")
	}
}

// Guards against hosts that are no peers and hold connections without limit, and against peers that are refused then.
func TestStrangersAreLimited(t *testing.T) {
	const strangers = 2
	listener, counter := listenLocal(t), new(eventCounter)
	var known atomic.Bool
	serveOn(t, listener, counter, Limits{Strangers: strangers, Known: func(host string) bool { return known.Load() && host == "127.0.0.1" }})
	for range strangers + 1 {
		conn, err := net.Dial("tcp4", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	for end := time.Now().Add(5 * time.Second); counter.refused.Load() != 1 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	if refused := counter.refused.Load(); refused != 1 {
		t.Errorf("%d connections refused", refused)
	}
	known.Store(true)
	dialer := NewDialer(Traffic, nil, nil)
	defer func() { _ = dialer.Close() }()
	if err := plan(t, dialer, listener.Addr().String()); err != nil {
		t.Errorf("a peer: %v", err)
	}
}
