package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Guards against a stream that its target ended inside an event and that reaches the caller as a complete one.
func TestStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	sound := platformtest.Behavior{Events: 9, Work: time.Millisecond}
	for _, unframed := range []bool{false, true} {
		for _, movable := range []bool{true, false} {
			for _, after := range []int{1, 4} {
				name := fmt.Sprintf("unframed %v, movable %v, after %d events", unframed, movable, after)
				trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, BreakAfter: after, Truncate: true, Unframed: unframed}
				f, _ := troubledFleet(t, "llm", trouble, sound)
				if !movable {
					f.configure(map[string]any{"services": []any{map[string]any{"name": "llm", "max-conns": 100}, map[string]any{"name": "app", "max-conns": 100}}})
					await(t, "the configuration is in force", func() bool { return strings.Contains(f.routers[0].output.String(), `"version":6`) })
				}
				got := f.send(post("/chat/", "1"))
				if got.err == nil {
					t.Errorf("%s: the caller got a complete response %q", name, got.body)
				}
				if !strings.HasPrefix(events(9), got.body) {
					t.Errorf("%s: the caller got %q", name, got.body)
				}
				f, _ = troubledFleet(t, "llm", trouble, sound)
				if got := f.send(post("/check/", "2")); got.err != nil || got.body != events(9) {
					t.Errorf("%s: resumable stream: error %v, body %q", name, got.err, got.body)
				}
			}
		}
	}
}

// Guards against the text of an error in the middle of a stream: a stream broke off, and the next target does not continue
// it.
func TestErrorAfterABrokenStreamIsNotForwarded(t *testing.T) {
	trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, BreakAfter: 4, Break: true}
	for name, next := range map[string]platformtest.Behavior{
		"failure":                 {Status: http.StatusInternalServerError},
		"client error":            {Status: http.StatusNotFound},
		"success, no stream":      {},
		"text with an empty line": {Padding: "\n\nerror\n\n"},
		"rejection":               {NotRun: true},
		"no seal":                 {Unsealed: true, Status: http.StatusBadGateway},
	} {
		f, _ := troubledFleet(t, "llm", trouble, next)
		got := f.send(post("/check/", "1"))
		if got.err == nil {
			t.Errorf("%s: the caller got a complete response %q", name, got.body)
		}
		if !strings.HasPrefix(events(9), got.body) {
			t.Errorf("%s: the caller got %q", name, got.body)
		}
	}
}
