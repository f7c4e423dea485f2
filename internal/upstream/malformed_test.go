package upstream

import (
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

const answerFields = "Id: 1\r\nSeal: s\r\n"

// raw writes a response as it is.
func raw(text string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
	}
}

// Guards against a malformed response that is skipped or accepted, and a request that is reported as not sent after one.
func TestMalformedResponsesAreBroken(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nId: 7\r\nContent-Length: 2\r\n\r\nno"
	responses := stricthttptest.Malformed(answerFields, "one")
	maps.Copy(responses, stricthttptest.InvalidTrailers(answerFields, "one"))
	for name, text := range responses {
		for place, scripts := range map[string][]func(net.Conn, *http.Request){
			"first":                   {closing(raw(text))},
			"reused connection":       {write(ok1), closing(raw(text))},
			"after a foreign one":     {closing(raw(foreign + text))},
			"after interim responses": {closing(raw("HTTP/1.1 100 Continue\r\n\r\n" + text))},
		} {
			address := target(t, scripts...)
			pool := NewPool(decoder{}, DefaultHeldBytes)
			for range len(scripts) - 1 {
				if _, _, err := exchange(t, pool, call(address, "1")); err != nil {
					t.Fatal(err)
				}
			}
			body, response, err := exchange(t, pool, call(address, "1"))
			var broken *BrokenError
			if !errors.As(err, &broken) || !broken.Closed {
				t.Errorf("%s, %s: body %q, response %+v, error %v, want a broken response", name, place, body, response, err)
			}
			pool.Close()
		}
	}
}

// Guards against a well-formed response that is taken for a broken one.
func TestWellFormedResponsesAreAccepted(t *testing.T) {
	for name, text := range stricthttptest.WellFormed(answerFields, "one") {
		address := target(t, closing(raw(text)))
		pool := NewPool(decoder{}, DefaultHeldBytes)
		if body, _, err := exchange(t, pool, call(address, "1")); err != nil || body != "one" {
			t.Errorf("%s: body %q, %v", name, body, err)
		}
		pool.Close()
	}
}

// Guards against a part of a response that is taken for the whole one, since only the write was told of the reset.
func TestEarlyResponseWithoutLength(t *testing.T) {
	const tries = 20
	for name, c := range map[string]struct {
		respond  func(conn *net.TCPConn, response string)
		complete bool
	}{
		"reset":             {stricthttptest.ResetAfter, false},
		"ended":             {stricthttptest.EndAfter, true},
		"ended, then reset": {stricthttptest.EndAndResetAfter, true},
	} {
		for range tries {
			address := stricthttptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
				c.respond(conn, "HTTP/1.1 200 OK\r\n"+answerFields+"\r\none")
			})
			pool := NewPool(decoder{}, DefaultHeldBytes)
			long := call(address, "1")
			long.Body = make([]byte, 3<<20)
			body, _, err := exchange(t, pool, long)
			var broken *BrokenError
			if complete := err == nil && body == "one"; complete != c.complete || !complete && (!errors.As(err, &broken) || !broken.Closed) {
				t.Errorf("%s: body %q, error %v", name, body, err)
			}
			pool.Close()
		}
	}
}
