package router_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// troubledFleet has one router, and targets of which the first that is asked is in trouble.
func troubledFleet(t *testing.T, service string, trouble, sound platformtest.Behavior) (*fleet, []*platformtest.Target) {
	t.Helper()
	f := newFleet(t, 1)
	var all []*platformtest.Target
	asked := make(chan struct{}, 1)
	for i := range 2 {
		target := f.target(fmt.Sprint(service, "-", i), service, sound)
		target.SetBehavior(func(*http.Request) platformtest.Behavior {
			select {
			case asked <- struct{}{}:
				return trouble
			default:
				return sound
			}
		})
		all = append(all, target)
	}
	f.awaitReady()
	await(t, "all targets are known", func() bool { return strings.Count(f.routers[0].output.String(), "target_listed") >= len(all) })
	return f, all
}

// Guards against a stalled stream that is kept because its target sends a byte now and then.
func TestStreamWithoutEventsIsResumed(t *testing.T) {
	const limit = 2500 * time.Millisecond
	sound := platformtest.Behavior{Events: 9, Work: time.Millisecond}
	trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, StallAfter: 3, Filler: ":", FillerInterval: 50 * time.Millisecond}
	f, _ := troubledFleet(t, "llm", trouble, sound)
	a := post("/check/", "1")
	a.wait = 6 * time.Second
	got := f.send(a)
	if got.err != nil || got.body != events(9) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
	if got.took > limit {
		t.Errorf("the stream took %v, want at most %v", got.took, limit)
	}
}

// Guards against an event without end that fills the router's memory.
func TestEventWithoutEndIsCutOff(t *testing.T) {
	const memoryLimit, limit = 64 << 20, 2500 * time.Millisecond
	sound := platformtest.Behavior{Events: 9, Work: time.Millisecond}
	trouble := platformtest.Behavior{Events: 9, Work: time.Millisecond, StallAfter: 3, Filler: strings.Repeat("x", 64<<10)}
	for _, path := range []string{"/check/", "/chat/"} {
		f, _ := troubledFleet(t, "llm", trouble, sound)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		got := f.send(post(path, "1"))
		runtime.ReadMemStats(&after)
		if resumed := path == "/check/"; (got.err == nil) != resumed || resumed && got.body != events(9) {
			t.Errorf("%s: error %v, %d bytes", path, got.err, len(got.body))
		}
		if got.took > limit {
			t.Errorf("%s: the stream took %v, want at most %v", path, got.took, limit)
		}
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > memoryLimit {
			t.Errorf("%s: %d bytes allocated", path, allocated)
		}
	}
}

// Guards against a slow but sound stream that is cut because its target needs longer for an event than the time after
// which another target would be asked, although there is no other.
func TestSlowStreamIsNotCut(t *testing.T) {
	slow := platformtest.Behavior{Events: 3, StallAfter: 1, Stall: 1400 * time.Millisecond, Work: time.Millisecond}
	for _, path := range []string{"/check/", "/chat/"} {
		f := newFleet(t, 1)
		f.configure(map[string]any{})
		f.target("llm-1", "llm", slow)
		f.target("llm-2", "llm", slow)
		f.awaitTargets(2)
		a := post(path, "1")
		a.wait = 8 * time.Second
		if got := f.send(a); got.err != nil || got.body != events(3) {
			t.Errorf("%s: error %v, body %q", path, got.err, got.body)
		}
	}
}

// Guards against a rejected request that waits for the rest of an endless rejection instead of trying another target.
func TestEndlessRejectionIsNotAwaited(t *testing.T) {
	const limit = 500 * time.Millisecond
	for name, interval := range map[string]time.Duration{"fast": 0, "slow": 50 * time.Millisecond} {
		trouble := platformtest.Behavior{NotRun: true, Filler: "no", FillerInterval: interval}
		f, _ := troubledFleet(t, "app", trouble, platformtest.Behavior{})
		if got := f.send(post("/order/", "1")); got.status != http.StatusOK || got.took > limit {
			t.Errorf("%s: status %d after %v, %v", name, got.status, got.took, got.err)
		}
	}
}

// Guards against a long answer that breaks off after its beginning was passed on, and then reaches the client as complete:
// with the answer of another target behind it, or with nothing.
func TestBrokenLongAnswerIsNotCompleted(t *testing.T) {
	const broken = 1_500_000
	padding := strings.Repeat("a line of text\n\n", 125_000)
	for name, c := range map[string]struct {
		service, path string
		hasLength     bool
		version       string
	}{
		"idempotent, chunked":              {"app", "/look/", false, "1.1"},
		"idempotent, length":               {"app", "/look/", true, "1.1"},
		"idempotent, ended by connection":  {"app", "/look/", false, "1.0"},
		"idempotent, length, 1.0":          {"app", "/look/", true, "1.0"},
		"not idempotent, chunked":          {"app", "/order/", false, "1.1"},
		"not idempotent, by connection":    {"app", "/order/", false, "1.0"},
		"stream that may be resumed":       {"llm", "/check/", false, "1.1"},
		"stream that must not run again":   {"llm", "/chat/", true, "1.1"},
		"resumable, ended by a connection": {"llm", "/check/", false, "1.0"},
	} {
		t.Run(name, func(t *testing.T) {
			sound := platformtest.Behavior{Padding: padding, HasLength: c.hasLength}
			trouble := sound
			trouble.BreakBytes = broken
			f, _ := troubledFleet(t, c.service, trouble, sound)
			conn, err := net.Dial("tcp4", f.routers[0].config.FrontAddress)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+platformtest.Host+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			platformtest.Caller{ID: "1", Key: "key", Wait: callWait}.Apply(request)
			var head bytes.Buffer
			_, _ = fmt.Fprintf(&head, "POST %s HTTP/%s\r\nHost: %s\r\nContent-Length: 0\r\n", c.path, c.version, platformtest.Host)
			_ = request.Header.Write(&head)
			if _, err := conn.Write(append(head.Bytes(), "\r\n"...)); err != nil {
				t.Fatal(err)
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("the answer looks complete, with %d bytes", len(body))
			}
			if count := strings.Count(string(body), "answer of"); count > 1 {
				t.Errorf("the answer holds %d answers", count)
			}
		})
	}
}
