package target

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
)

// Guards against a malformed response that is taken for an answer, or after which the request counts as not sent.
func TestMalformedResponsesOfTargets(t *testing.T) {
	client := NewClient()
	defer client.Close()
	request := Request{ID: "1", Method: http.MethodPost, Path: "/", Body: []byte("body")}
	for name, c := range map[string]struct {
		body string
		call func(address string) error
	}{
		"request": {"the answer", func(address string) error {
			attempt := new(Attempt)
			response, err := client.Do(t.Context(), address, request, attempt)
			return readAnswer(t, response, err, attempt)
		}},
		"request that must not be repeated": {"the answer", func(address string) error {
			attempt := new(Attempt)
			response, err := client.DoOnce(t.Context(), address, request, attempt)
			return readAnswer(t, response, err, attempt)
		}},
		"resumed stream": {"id: 1\ndata: a\n\n", func(address string) error {
			response, err := client.Resume(t.Context(), address, "1", 0)
			return readAnswer(t, response, err, nil)
		}},
		"cancellation": {"", func(address string) error { return client.Cancel(t.Context(), address, "1") }},
		"status":       {`{"load":1}`, func(address string) error { _, err := client.Status(t.Context(), address); return err }},
		"request state": {`{"state":"done","status":200}`, func(address string) error {
			_, err := client.RequestState(t.Context(), address, "1")
			return err
		}},
		"order":     {"", func(address string) error { return failedOrder(t, client, address) }},
		"KV export": {"content", func(address string) error { _, err := client.ExportKV(t.Context(), address, nil); return err }},
		"KV import": {"", func(address string) error { return client.ImportKV(t.Context(), address, nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			malformed := stricthttptest.Malformed("", c.body)
			stricthttptest.ExpectErrors(t, malformed, c.call)
			stricthttptest.ExpectSuccess(t, stricthttptest.WellFormed("", c.body), c.call)
		})
	}
}

// readAnswer reads a response. It returns the error of the call or of the read.
func readAnswer(t *testing.T, response *Response, err error, attempt *Attempt) error {
	t.Helper()
	if attempt != nil && !attempt.Started() {
		t.Errorf("the request counts as not sent: %v", err)
	}
	var failed *Error
	if err != nil && (!errors.As(err, &failed) || failed.Kind != Failed) {
		t.Errorf("got %v, want a failure of a request that may have run", err)
	}
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err
}

// failedOrder sends an order. A malformed response does not say whether the engine has accepted it.
func failedOrder(t *testing.T, client *Client, address string) error {
	t.Helper()
	err := client.SendOrder(t.Context(), address, Order{}, nil)
	var failed *Error
	if err != nil && (!errors.As(err, &failed) || failed.Kind != Failed) {
		t.Errorf("got %v, want an order that may have been accepted", err)
	}
	return err
}

// Guards against a part of a response that is taken for the whole one, since only the write was told of the reset.
func TestEarlyResponseThatIsResetIsNotComplete(t *testing.T) {
	const tries = 60
	client := NewClient()
	defer client.Close()
	request := Request{ID: "1", Method: http.MethodPost, Path: "/", Body: make([]byte, 3<<20)}
	for name, call := range map[string]func(address string) error{
		"request": func(address string) error {
			attempt := new(Attempt)
			response, err := client.Do(t.Context(), address, request, attempt)
			return readAnswer(t, response, err, attempt)
		},
		"request that must not be repeated": func(address string) error {
			attempt := new(Attempt)
			response, err := client.DoOnce(t.Context(), address, request, attempt)
			return readAnswer(t, response, err, attempt)
		},
		"KV export": func(address string) error { _, err := client.ExportKV(t.Context(), address, request.Body); return err },
		"KV import": func(address string) error { return client.ImportKV(t.Context(), address, request.Body) },
	} {
		for range tries {
			address := stricthttptest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
				stricthttptest.ResetAfter(conn, stricthttptest.WellFormed("", "a part")["unframed"])
			})
			if err := call(address); err == nil {
				t.Errorf("%s: the part was accepted as complete", name)
			}
		}
	}
}

// Guards against a recorded outcome whose status no response can have, which reached the caller.
func TestRecordedOutcomeWithInvalidStatus(t *testing.T) {
	client := NewClient()
	defer client.Close()
	for status, valid := range map[int]bool{-1: false, 0: false, 99: false, 100: false, 199: false, 200: true, 404: true, 599: true, 600: false, 1000: false} {
		body := fmt.Sprintf(`{"state":"done","status":%d,"content_type":"text/plain","body":"1"}`, status)
		address := stricthttptest.ServeText(t, stricthttptest.WellFormed("", body)["length"])
		state, err := client.RequestState(t.Context(), address, "1")
		if (err == nil) != valid {
			t.Errorf("status %d: got %+v, %v", status, state, err)
		}
	}
	address := stricthttptest.ServeText(t, stricthttptest.WellFormed("", `{"state":"running"}`)["length"])
	if state, err := client.RequestState(t.Context(), address, "1"); err != nil || state.State != "running" {
		t.Errorf("a running request: %+v, %v", state, err)
	}
}

// Guards against the beginning of a KV cache over the size limit that is imported elsewhere as the whole one.
func TestKVCacheOverTheLimitIsRejected(t *testing.T) {
	client := NewClient()
	defer client.Close()
	for length, valid := range map[int]bool{maxKVBytes: true, maxKVBytes + 1: false} {
		address := stricthttptest.ServeText(t, stricthttptest.WellFormed("", strings.Repeat("x", length))["length"])
		cache, err := client.ExportKV(t.Context(), address, nil)
		if (err == nil) != valid || valid && len(cache) != length {
			t.Errorf("%d bytes: got %d, %v", length, len(cache), err)
		}
	}
}
