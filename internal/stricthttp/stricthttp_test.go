package stricthttp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

const body = "the body of a response"

// readResponse reads a response to a GET request from a connection on which the text arrives, and its body.
func readResponse(text string, oneByteReads bool) (string, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = io.WriteString(far, text) // fails if the reader stops
		_ = far.Close()
	}()
	conn := NewConn(near)
	defer func() { _ = conn.Close() }()
	if err := conn.ExpectResponse(nil); err != nil {
		return "", err
	}
	var source io.Reader = conn
	if oneByteReads {
		source = iotest.OneByteReader(conn)
	}
	reader := bufio.NewReader(source)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return "", err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		content, err := io.ReadAll(response.Body)
		return string(content), err
	}
}

// Guards against an invalid line that is noticed only if it arrives in one piece.
func TestConnChecksLinesInPieces(t *testing.T) {
	for _, oneByteReads := range []bool{false, true} {
		for name, text := range stricthttptest.Malformed("", body) {
			if got, err := readResponse(text, oneByteReads); err == nil {
				t.Errorf("%s, one byte a read %v: got %q", name, oneByteReads, got)
			}
		}
		for name, text := range stricthttptest.WellFormed("", body) {
			if got, err := readResponse(text, oneByteReads); err != nil || got != body {
				t.Errorf("%s, one byte a read %v: got %q, %v", name, oneByteReads, got, err)
			}
		}
	}
}

// Guards against a response that is not checked since a reader already holds its beginning.
func TestExpectResponseChecksBegunResponse(t *testing.T) {
	for begun, valid := range map[string]bool{
		"":                               true,
		"HTTP/1.1 2":                     true,
		"HTTP/1.1 200 OK\r\n\r\nHTTP/9":  true,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP": true,
		"HTTP/1.1 000 Trouble\r\n":       false,
		"HTTP/1.1 200 OK\r\nA : b\r\n":   false,
		"HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 000 Trouble\r\n": false,
	} {
		near, _ := net.Pipe()
		err := NewConn(near).ExpectResponse([]byte(begun))
		var invalid *SyntaxError
		if (err == nil) != valid || err != nil && !errors.As(err, &invalid) {
			t.Errorf("%q: %v", begun, err)
		}
	}
}

func get(client *http.Client, address string) (string, error) {
	response, err := client.Get("http://" + address + "/")
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

// Guards against a client of net/http that accepts a malformed response, or rejects a valid one.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	defer client.CloseIdleConnections()
	call := func(address string) error {
		got, err := get(client, address)
		if err == nil && got != body {
			return fmt.Errorf("got body %q", got)
		}
		return err
	}
	stricthttptest.ExpectErrors(t, stricthttptest.Malformed("", body), call)
	stricthttptest.ExpectErrors(t, stricthttptest.InvalidTrailers("", body), call)
	stricthttptest.ExpectSuccess(t, stricthttptest.WellFormed("", body), call)
}

// Guards against a malformed response on a reused connection that is accepted, or that makes net/http repeat the request.
func TestTransportDoesNotRepeatRequestAfterMalformedResponse(t *testing.T) {
	valid := stricthttptest.WellFormed("", body)["length"]
	for _, name := range slices.Sorted(maps.Keys(stricthttptest.Malformed("", body))) {
		malformed := stricthttptest.Malformed("", body)[name]
		var requests atomic.Int64
		address := stricthttptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
			requests.Add(1)
			_, _ = io.WriteString(conn, valid)
			reader := bufio.NewReader(conn)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				requests.Add(1)
				_, _ = io.WriteString(conn, malformed)
				_ = conn.CloseWrite()
			}
		})
		client := &http.Client{Transport: NewTransport(&http.Transport{})}
		if got, err := get(client, address); err != nil || got != body {
			t.Fatalf("first response: %q, %v", got, err)
		}
		if got, err := get(client, address); err == nil || requests.Load() != 2 {
			t.Errorf("%s: got %q, %v after %d requests", name, got, err, requests.Load())
		}
		client.CloseIdleConnections()
	}
}

// Guards against an error that quotes a line without a bound.
func TestQuotedLineIsBounded(t *testing.T) {
	_, err := readResponse("HTTP/1.1 999 "+strings.Repeat("x", 4000)+"\r\n\r\n", false)
	if err == nil || len(err.Error()) > 2*maxQuoted {
		t.Errorf("got %v", err)
	}
}

// Guards against a part of a response that net/http takes for the whole one, since only the write was told of the reset.
func TestTransportReportsResetDuringRequestBody(t *testing.T) {
	const tries = 100
	client := &http.Client{Transport: NewTransport(&http.Transport{})}
	for name, c := range map[string]struct {
		respond  func(conn *net.TCPConn, response string)
		complete bool
	}{
		"reset": {stricthttptest.ResetAfter, false},
		"ended": {stricthttptest.EndAfter, true},
	} {
		for range tries {
			address := stricthttptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
				c.respond(conn, stricthttptest.WellFormed("", body)["unframed"])
			})
			response, err := client.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, 3<<20)))
			var content []byte
			if err == nil {
				content, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if complete := err == nil && string(content) == body; complete != c.complete {
				t.Errorf("%s: body %q, error %v", name, content, err)
			}
		}
	}
}

// endedConn is a connection whose data has ended and whose writes fail in turn.
type endedConn struct {
	net.Conn
	writeErrs []error
}

func (c *endedConn) Read([]byte) (int, error)         { return 0, io.EOF }
func (c *endedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *endedConn) Write([]byte) (int, error) {
	err := c.writeErrs[0]
	c.writeErrs = c.writeErrs[1:]
	return 0, err
}

// Guards against a failed connection that a reader takes for one that the other side has ended, and the other way round.
func TestEndOfDataAfterFailedWrite(t *testing.T) {
	for _, c := range []struct {
		writeErrs []error
		want      error
	}{
		{[]error{nil}, io.EOF},
		{[]error{syscall.EPIPE}, io.EOF},
		{[]error{os.ErrDeadlineExceeded}, io.EOF},
		{[]error{syscall.ECONNRESET}, syscall.ECONNRESET},
		{[]error{syscall.ETIMEDOUT}, syscall.ETIMEDOUT},
		{[]error{syscall.EHOSTUNREACH}, syscall.EHOSTUNREACH},
		{[]error{syscall.ECONNRESET, syscall.EPIPE}, syscall.ECONNRESET},
		{[]error{syscall.ECONNRESET, os.ErrDeadlineExceeded}, syscall.ECONNRESET},
		{[]error{os.ErrDeadlineExceeded, syscall.ECONNRESET}, syscall.ECONNRESET},
	} {
		conn := NewConn(&endedConn{writeErrs: c.writeErrs})
		for range c.writeErrs {
			_, _ = conn.Write([]byte("request"))
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, c.want) {
			t.Errorf("after writes that failed with %v: read %v, want %v", c.writeErrs, err, c.want)
		}
	}
}

// Guards against a write that keeps the end of the response from its reader.
func TestEndOfDataStopsWrite(t *testing.T) {
	address := stricthttptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
		_ = conn.CloseWrite()
		<-t.Context().Done()
	})
	raw, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	conn := NewConn(raw)
	defer func() { _ = conn.Close() }()
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(append([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 67108864\r\n\r\n"), make([]byte, 64<<20)...))
		written <- err
	}()
	if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if err := <-written; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the write ended with %v", err)
	}
}
