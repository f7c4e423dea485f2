package ingress

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against closing a connection with a request in progress, or one with a request head while others are idle. Load:
// more connections than the limit.
func TestSurplusOrder(t *testing.T) {
	c := NewConnections(4)
	open := func(now time.Duration) *Connection {
		opened, surplus := c.Open(now)
		if surplus != nil {
			t.Fatalf("a connection was closed below the limit")
		}
		return opened
	}
	active, head, unused, served := open(0), open(1), open(2), open(0)
	c.Active(active)
	c.Head(1, head)
	c.Active(served)
	c.Idle(5, served)
	var added []*Connection
	for i, want := range []*Connection{unused, served, head} {
		opened, surplus := c.Open(time.Duration(10 + i))
		if surplus != want {
			t.Errorf("surplus %d is %+v, want %+v", i, surplus, want)
		}
		c.Active(opened)
		added = append(added, opened)
	}
	if opened, surplus := c.Open(20); surplus != opened {
		t.Errorf("surplus is %+v while requests are served on all connections", surplus)
	}
	c.Close(added[0])
	if _, surplus := c.Open(21); surplus != nil || c.Count() != 4 {
		t.Errorf("a closed connection still counts: %d open", c.Count())
	}
}

// Guards against a request head over the limit that is served or ends without an answer, against heads that together take
// more than their memory, and against an ordinary request that gets no answer beside them.
func TestHeadsStayWithinTheirMemory(t *testing.T) {
	const headBytes, heads = 16 << 10, 50
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan string, 2*heads)
	listener := Listen(inner, Limits{HeadMemory: 1 << 20, HeadBytes: func() int { return headBytes }, Closed: func(kind string) { events <- kind }})
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: ConnState}
	go func() { _ = server.Serve(listener) }() // ends with the test
	defer func() { _ = server.Close() }()
	dial := func(text string) net.Conn {
		conn, err := net.Dial("tcp4", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(conn, text)
		return conn
	}
	status := func(conn net.Conn) string {
		answer := make([]byte, 12)
		_, _ = io.ReadFull(conn, answer)
		return string(answer)
	}
	const begin = "GET / HTTP/1.1\r\nHost: a\r\nA: "
	if got := status(dial(begin + strings.Repeat("x", headBytes+2*headSlack))); got != "HTTP/1.1 431" || <-events != "head_too_large" {
		t.Errorf("head over the limit: %q", got)
	}
	for range heads {
		conn := dial(begin + strings.Repeat("x", headBytes/2))
		defer func() { _ = conn.Close() }()
	}
	for range heads - (1<<20)/(headCost*headBytes/2-16<<10) - 1 {
		if kind := <-events; kind != "head_memory" {
			t.Errorf("a connection was closed by %s", kind)
		}
	}
	if held := listener.heads.Held(); held > minHeads*headCost*(headBytes+headSlack) && held > 1<<20 {
		t.Errorf("%d bytes held", held)
	}
	if got := status(dial(begin + strings.Repeat("x", headBytes-100) + "\r\n\r\n")); got != "HTTP/1.1 200" {
		t.Errorf("head of the largest size: %q", got)
	}
}
