package router_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// Guards against targets in trouble whose data without end fills the memory of a router although each response stays within
// its own limit, and against other clients who then get no answer.
func TestEndlessResponsesTogetherAreBounded(t *testing.T) {
	const (
		// Each target takes eight requests at a time.
		requests, targets = 90, 12
		heldBytes         = 16 << 20
		// memoryLimit leaves as much again for garbage, and 64 KB for each request.
		memoryLimit = 2*heldBytes + 2*requests*(64<<10)
	)
	filler := strings.Repeat("x", 16<<10)
	for name, c := range map[string]struct {
		// path is that of the endless responses, otherPath that of requests to another service.
		path, otherPath string
		endless         platformtest.Behavior
		// answered is set if the responses are complete before the data without end.
		answered bool
	}{
		"plain body":   {path: "/look/", otherPath: "/chat/", endless: platformtest.Behavior{Endless: filler}},
		"failure body": {path: "/look/", otherPath: "/chat/", endless: platformtest.Behavior{Endless: filler, Status: http.StatusInternalServerError}},
		"event":        {path: "/chat/", otherPath: "/look/", endless: platformtest.Behavior{Events: 9, StallAfter: 1, Filler: filler}},
		"head":         {path: "/look/", otherPath: "/chat/", endless: platformtest.Behavior{EndlessHead: "A: b\r\n"}},
		"blank lines":  {path: "/look/", otherPath: "/chat/", endless: platformtest.Behavior{EndlessHead: "\r\n"}},
		"after answer": {path: "/look/", otherPath: "/chat/", endless: platformtest.Behavior{EndlessTail: "x"}, answered: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, 1, func(config *router.Config) { config.HeldBytes = heldBytes })
			behavior := func(r *http.Request) platformtest.Behavior {
				if strings.HasPrefix(r.URL.Path, c.otherPath) {
					return platformtest.Behavior{}
				}
				return c.endless
			}
			for i := range targets {
				f.targetWith(fmt.Sprint("app-", i), "app", behavior)
				f.targetWith(fmt.Sprint("llm-", i), "llm", behavior)
			}
			f.awaitReady()
			await(t, "all targets are known", func() bool { return strings.Count(f.routers[0].output.String(), "target_listed") >= 2*targets })
			runtime.GC()
			var before runtime.MemStats
			runtime.ReadMemStats(&before)
			var most atomic.Uint64
			stop := make(chan struct{})
			var watch, group sync.WaitGroup
			watch.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
					}
					var now runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&now)
					most.Store(max(most.Load(), now.HeapAlloc))
				}
			})
			watch.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					if got := f.send(get(c.otherPath, fmt.Sprint("s", i))); got.status != http.StatusOK {
						t.Errorf("a sound request: status %d, %v, %s", got.status, got.err, got.body)
					}
				}
			})
			for i := range requests {
				group.Go(func() {
					body, err := f.readSlowly(get(c.path, fmt.Sprint(i)), time.Second)
					if c.answered && (err != nil || body != "answer") {
						t.Errorf("request %d: %q, %v", i, body, err)
					}
				})
			}
			group.Wait()
			close(stop)
			watch.Wait()
			if grown := int64(most.Load()) - int64(before.HeapAlloc); grown > memoryLimit {
				t.Errorf("%d MB in use, want at most %d", grown>>20, memoryLimit>>20)
			}
		})
	}
}

// readSlowly makes a request whose client reads slowly and leaves after a while. It returns the beginning of the body.
func (f *fleet) readSlowly(a call, patience time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, a.method, "http://"+f.routers[0].config.FrontAddress+a.path, nil)
	if err != nil {
		return "", err
	}
	platformtest.Caller{ID: a.id, Key: "key", Wait: callWait}.Apply(request)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 512)
	first, err := io.ReadFull(response.Body, buffer)
	body := string(buffer[:first])
	for err == nil {
		time.Sleep(time.Millisecond)
		_, err = io.ReadFull(response.Body, buffer)
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF && first < len(buffer) {
		err = nil
	}
	return body, err
}
