package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// endless writes a prefix and then the same bytes until the router closes the connection.
func endless(prefix, filler string, closed chan<- struct{}) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, prefix)
		block := []byte(strings.Repeat(filler, 64<<10/len(filler)))
		for {
			if _, err := conn.Write(block); err != nil {
				close(closed)
				return
			}
		}
	}
}

// Guards against a target in trouble that sends data without end in place of a response head: it must not fill the
// memory, hold the request until its deadline, or go on after the request has failed.
func TestEndlessHeadIsCutOff(t *testing.T) {
	const memoryLimit, timeLimit = 16 << 20, 2 * time.Second
	for name, c := range map[string]struct{ prefix, filler string }{
		"no line end":        {"", "x"},
		"a status line":      {"HTTP/1.1 200 ", "OK"},
		"a header value":     {"HTTP/1.1 200 OK\r\nId: ", "1"},
		"more and more":      {"HTTP/1.1 200 OK\r\nId: 1\r\n", "A: b\r\n"},
		"interim responses":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"other's responses":  {"", "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 0\r\n\r\n"},
		"other's long body":  {"HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
		"empty lines":        {"", "\r\n"},
		"a chunk's size":     {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"a chunk's trailers": {"HTTP/1.1 200 OK\r\nId: 7\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			address := target(t, endless(c.prefix, c.filler, closed))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			request := call(address, "1")
			request.HeadTimeout = 10 * time.Second
			startedAt := time.Now()
			_, err := NewPool(decoder{}, DefaultHeldBytes).Do(context.Background(), request)
			took := time.Since(startedAt)
			runtime.ReadMemStats(&after)
			var broken *BrokenError
			if !errors.As(err, &broken) {
				t.Errorf("got %v", err)
			}
			if took > timeLimit {
				t.Errorf("the request failed after %v", took)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > memoryLimit {
				t.Errorf("%d bytes allocated", allocated)
			}
			select {
			case <-closed:
			case <-time.After(timeLimit):
				t.Error("the connection is still open")
			}
		})
	}
}

// Guards against data without end after a complete response: the response stands, and the connection is closed.
func TestEndlessDataAfterResponse(t *testing.T) {
	closed := make(chan struct{})
	address := target(t, endless(strings.ReplaceAll(ok1, "\n", "\r\n"), "x", closed), write(ok2))
	pool := NewPool(decoder{}, DefaultHeldBytes)
	if body, _, err := exchange(t, pool, call(address, "1")); err != nil || body != "one" {
		t.Errorf("got %q, %v", body, err)
	}
	if body, response, err := exchange(t, pool, call(address, "2")); err != nil || body != "two" || response.Reused {
		t.Errorf("next: %q, %v", body, err)
	}
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection is still open")
	}
}
