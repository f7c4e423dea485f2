package router_test

import (
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/internal/stricthttp/stricthttptest"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// kind is a kind of route, see fleet.configure.
type kind struct {
	service, path string
	// repeatable requests are answered by another target.
	repeatable bool
	stream     bool
}

var kinds = []kind{
	{"app", "/order/", false, false},
	{"app", "/look/", true, false},
	{"llm", "/chat/", false, true},
	{"llm", "/check/", true, true},
}

const (
	eventFields = "Content-Type: text/event-stream\r\n"
	wholeAnswer = "the whole answer"
	longBody    = 3 << 20
)

// body returns the body of a complete answer from a raw target.
func (k kind) body() string {
	if k.stream {
		return events(3)
	}
	return wholeAnswer
}

func (k kind) fields(identity string) string {
	if k.stream {
		return identity + eventFields
	}
	return identity
}

// rawFleet is a router with targets of which the first ones that get a request may respond in any way.
type rawFleet struct {
	*fleet
	targets []*platformtest.Target

	mu sync.Mutex
	// responses holds what the next targets respond to a request, by the request's ID.
	responses map[string][]platformtest.RawResponse
}

func newRawFleet(t *testing.T) *rawFleet {
	t.Helper()
	// The retry budget is not what is tested. A router that just started has a small part of it.
	f := &rawFleet{fleet: newFleetWith(t, 1, func(c *router.Config) { c.RetrySlack = 1e6 }), responses: make(map[string][]platformtest.RawResponse)}
	f.configure(map[string]any{"limits": map[string]any{
		"max-header-bytes": 16384, "max-body-bytes": 2 * longBody, "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
	}})
	for service, sound := range map[string]platformtest.Behavior{"app": {}, "llm": {Events: 3, Work: time.Millisecond}} {
		for i := range 2 {
			target := f.target(fmt.Sprint(service, "-", i), service, sound)
			target.SetRaw(f.takeResponse)
			f.targets = append(f.targets, target)
		}
	}
	f.awaitTargets(len(f.targets))
	await(t, "the configuration is in force", func() bool { return strings.Contains(f.routers[0].output.String(), `"version":6`) })
	return f
}

func (f *rawFleet) takeResponse(request *http.Request) platformtest.RawResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := platformtest.RequestID(request)
	responses := f.responses[id]
	if len(responses) == 0 {
		return nil
	}
	f.responses[id] = responses[1:]
	return responses[0]
}

// sendTo sends a request whose first targets respond as given, and returns what the client gets and the number of targets
// that got the request.
func (f *rawFleet) sendTo(a call, responses ...platformtest.RawResponse) (result, int) {
	f.mu.Lock()
	f.responses[a.id] = responses
	f.mu.Unlock()
	got := f.send(a)
	arrivals := 0
	for _, target := range f.targets {
		for _, arrival := range target.Arrivals() {
			if arrival.RequestID == a.id {
				arrivals++
			}
		}
	}
	return got, arrivals
}

// text returns a raw response that is written once the request has been read.
func text(response func(fields string) string) platformtest.RawResponse {
	return func(conn *net.TCPConn, request *http.Request, fields string) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response(fields))
	}
}

// checkBroken checks what a client gets if the first target's answer is broken: the answer of another target if the
// request may run again, and otherwise an error that does not say that the request has not run.
func (k kind) checkBroken(t *testing.T, got result, arrivals int) {
	t.Helper()
	if k.repeatable {
		sound := got.body == events(3)
		if !k.stream {
			sound = strings.HasPrefix(got.body, "answer of ")
		}
		if got.status != http.StatusOK || got.err != nil || !sound || arrivals != 2 {
			t.Errorf("the client got %d, %q, %v after %d attempts; want the answer of another target", got.status, got.body, got.err, arrivals)
		}
		return
	}
	if got.err == nil && got.status != http.StatusBadGateway || arrivals != 1 {
		t.Errorf("the client got %d, %q after %d attempts; want 502 or a broken answer after one", got.status, got.body, arrivals)
	}
}

// testBroken sends a request of each kind for each answer that the table returns.
func testBroken(t *testing.T, table func(fields, body string) map[string]string) {
	t.Helper()
	f := newRawFleet(t)
	for _, k := range kinds {
		for _, name := range slices.Sorted(maps.Keys(table("", k.body()))) {
			id := k.path + name
			t.Run(id, func(t *testing.T) {
				a := post(k.path, hex.EncodeToString([]byte(id)))
				got, arrivals := f.sendTo(a, text(func(fields string) string { return table(k.fields(fields), k.body())[name] }))
				k.checkBroken(t, got, arrivals)
			})
		}
	}
}

// Guards against a response with an invalid status that is skipped or forwarded, and a body that is taken for the answer.
func TestResponseWithInvalidStatusIsBroken(t *testing.T) { testBroken(t, stricthttptest.InvalidStatus) }

// Guards against a response with a malformed field whose body, which may be framed wrongly, reaches the client.
func TestResponseWithMalformedFieldIsBroken(t *testing.T) {
	testBroken(t, stricthttptest.InvalidFields)
	testBroken(t, stricthttptest.InvalidTrailers)
}

// Guards against a malformed response to a later attempt that reaches the client, and a request reported as not run.
func TestMalformedResponseToLaterAttemptIsBroken(t *testing.T) {
	f := newRawFleet(t)
	for _, k := range kinds {
		first := text(platformtest.Rejection)
		switch {
		case k.repeatable && k.stream:
			first = text(func(fields string) string {
				return "HTTP/1.1 200 OK\r\n" + k.fields(fields) + "Content-Length: 1000\r\n\r\n" + events(2)
			})
		case k.repeatable:
			first = text(func(fields string) string { return "HTTP/1.1 000 Trouble\r\n" + fields + "\r\n" })
		}
		for _, name := range slices.Sorted(maps.Keys(stricthttptest.Malformed("", k.body()))) {
			id := k.path + name
			t.Run(id, func(t *testing.T) {
				got, arrivals := f.sendTo(post(k.path, hex.EncodeToString([]byte(id))), first, text(func(fields string) string {
					return stricthttptest.Malformed(k.fields(fields), k.body())[name]
				}))
				if got.err == nil && got.status != http.StatusBadGateway || arrivals != 2 {
					t.Errorf("the client got %d, %q after %d attempts; want 502 or a broken answer after two", got.status, got.body, arrivals)
				}
				if got.status == http.StatusOK && got.body != events(2) {
					t.Errorf("the client got %q", got.body)
				}
			})
		}
	}
}

// malformedNames names a malformed response of each sort.
var malformedNames = []string{
	"HTTP/1.1 000 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 101 Switching Protocols", `"X-Trouble : 1", later`, "Transfer-Encoding : chunked", "interim with a length",
}

// Guards against a malformed response that reaches the client as the rest of a stream whose run was moved.
func TestMalformedResponseToMovedRunIsBroken(t *testing.T) {
	const count = 30
	for _, name := range malformedNames {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			var continued atomic.Int64
			for i := range 3 {
				target := f.target(fmt.Sprint("llm-", i), "llm", platformtest.Behavior{
					Events: count, Work: 10 * time.Millisecond, StallAfter: 6, Stall: time.Second, Move: http.StatusOK,
				})
				target.SetRaw(func(request *http.Request) platformtest.RawResponse {
					if !platformtest.ContinuesRun(request) || continued.Add(1) > 1 {
						return nil
					}
					return text(func(fields string) string {
						return stricthttptest.Malformed(fields+eventFields, "id: 31\ndata: not of this run\n\n")[name]
					})
				})
			}
			f.awaitTargets(3)
			got := f.send(post("/chat/", "1"))
			if whole := got.err == nil; !strings.HasPrefix(events(count), got.body) || whole && got.body != events(count) || continued.Load() == 0 {
				t.Errorf("the client got %q, %v; the run was continued %d times", got.body, got.err, continued.Load())
			}
		})
	}
}

// Guards against a part of a response that passes as complete, since only the write of the body was told of the reset.
func TestEarlyResponseThatIsResetIsBroken(t *testing.T) {
	const count = 40
	f := newRawFleet(t)
	for _, k := range kinds {
		t.Run(k.path, func(t *testing.T) {
			for i := range count {
				a := post(k.path, fmt.Sprint(k.path, i))
				a.body = strings.Repeat("x", longBody)
				got, arrivals := f.sendTo(a, func(conn *net.TCPConn, _ *http.Request, fields string) {
					stricthttptest.ResetAfter(conn, "HTTP/1.1 200 OK\r\n"+k.fields(fields)+"\r\n"+k.body())
				})
				k.checkBroken(t, got, arrivals)
			}
		})
	}
}

// Guards against well-formed answers that are taken for broken ones.
func TestWellFormedResponsesAreForwarded(t *testing.T) {
	f := newRawFleet(t)
	for _, k := range kinds {
		for _, name := range slices.Sorted(maps.Keys(stricthttptest.WellFormed("", ""))) {
			for when, c := range map[string]struct {
				length int
				early  func(conn *net.TCPConn, response string)
			}{
				"short body": {100, nil}, "long body": {longBody, nil},
				"early": {longBody, stricthttptest.EndAfter}, "early, then reset": {longBody, stricthttptest.EndAndResetAfter},
			} {
				t.Run(k.path+" "+name+", "+when, func(t *testing.T) {
					a := post(k.path, hex.EncodeToString([]byte(t.Name())))
					a.body = strings.Repeat("x", c.length)
					got, arrivals := f.sendTo(a, func(conn *net.TCPConn, request *http.Request, fields string) {
						response := stricthttptest.WellFormed(k.fields(fields), k.body())[name]
						if c.early != nil {
							c.early(conn, response)
							return
						}
						text(func(string) string { return response })(conn, request, fields)
					})
					if got.status != http.StatusOK || got.err != nil || got.body != k.body() || arrivals != 1 {
						t.Errorf("the client got %d, %q, %v after %d attempts", got.status, got.body, got.err, arrivals)
					}
				})
			}
		}
	}
}

// Guards against a target's failure that is no longer forwarded as it is.
func TestStatusOfTargetIsForwarded(t *testing.T) {
	f := newRawFleet(t)
	for _, status := range []int{http.StatusCreated, 299, 399, http.StatusNotFound, 499, http.StatusInternalServerError, 599} {
		got, arrivals := f.sendTo(post("/order/", fmt.Sprint(status)), text(func(fields string) string {
			return fmt.Sprintf("HTTP/1.1 %d Text\r\n%sContent-Length: 4\r\n\r\nbody", status, fields)
		}))
		if got.status != status || got.body != "body" || arrivals != 1 {
			t.Errorf("status %d: the client got %d, %q, %v after %d attempts", status, got.status, got.body, got.err, arrivals)
		}
	}
}
