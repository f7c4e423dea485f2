package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/review/rig"
)

// Figures of the site's engines: kv_bytes and link_mbps of cordillera-repuestos.toml.
const (
	kvBytes  = 327680
	linkMbps = 550_000
)

// engine is a model replica that streams events and moves runs as the platform's page says.
type engine struct {
	rig     *rig.Rig
	id      string
	address string
	peers   map[string]*engine

	// link is held while memory is copied from or to the engine: transfers run one after another.
	link sync.Mutex

	mu          sync.Mutex
	pausedUntil time.Time
	runs        map[string]*engineRun
	// seen holds the requests that the engine has run.
	seen map[string]bool
	// copies holds the requests whose memory the engine keeps, by handle.
	copies map[string]string
}

type engineRun struct {
	tokens int
	stop   chan struct{}
	done   chan struct{}
	moved  bool
}

func newEngine(r *rig.Rig, id string, peers map[string]*engine) (*engine, error) {
	listener, err := rig.Listen()
	if err != nil {
		return nil, err
	}
	e := &engine{rig: r, id: id, address: listener.Addr().String(), peers: peers, runs: make(map[string]*engineRun), seen: make(map[string]bool), copies: make(map[string]string)}
	peers[e.address] = e
	go func() { _ = http.Serve(listener, e) }() // ends with the process
	return e, nil
}

// pause keeps the engine from making events for a while.
func (e *engine) pause(length time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pausedUntil = time.Now().Add(length)
	e.rig.Note("%s makes no events for %v; it runs %d streams", e.id, length, len(e.runs))
}

// hasSeen reports whether the engine has run a request.
func (e *engine) hasSeen(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.seen[id]
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/-/kv-move":
		e.move(w, r)
		return
	case strings.HasPrefix(r.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
		return
	}
	id := r.Header.Get("Amaranthlb-Request-Id")
	header := w.Header()
	header.Set("Amaranthlb-Request-Id", id)
	if expected := r.Header.Get("Amaranthlb-Expect-Replica"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	first := 0
	tokens, _, _ := strings.Cut(r.Header.Get("Amaranthlb-Token-Count"), ",")
	count, _ := strconv.Atoi(tokens) // the clients send it
	run := &engineRun{tokens: count, stop: make(chan struct{}), done: make(chan struct{})}
	e.mu.Lock()
	if from := r.Header.Get("Kv-From"); from != "" {
		_, handle, _ := strings.Cut(from, "/")
		if e.copies[handle] != id {
			e.mu.Unlock()
			header.Set("Amaranthlb-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		delete(e.copies, handle)
		first, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
		e.rig.Log("request %s goes on at %s after event %d", id, e.id, first)
	} else {
		e.rig.Log("request %s runs at %s", id, e.id)
	}
	e.runs[id], e.seen[id] = run, true
	e.mu.Unlock()
	header.Set("Amaranthlb-Replica-Seal", e.id+"."+id)
	header.Set("Content-Type", "text/event-stream")
	whole := e.stream(w, r, run, first)
	e.mu.Lock()
	if e.runs[id] == run {
		delete(e.runs, id)
	}
	e.mu.Unlock()
	close(run.done)
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events after the first ones, and reports whether it has sent all of them.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, run *engineRun, first int) bool {
	control := http.NewResponseController(w)
	for i := first + 1; i <= events; i++ {
		wait := time.NewTimer(eventInterval)
		select {
		case <-wait.C:
		case <-run.stop:
			return false
		case <-r.Context().Done():
			return false
		}
		e.mu.Lock()
		paused := time.Until(e.pausedUntil)
		e.mu.Unlock()
		if paused > 0 {
			select {
			case <-time.After(paused):
			case <-run.stop:
				return false
			case <-r.Context().Done():
				return false
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if control.Flush() != nil {
			return false
		}
	}
	return true
}

// move stops a run and copies its memory to another engine. It responds once the copy is complete.
func (e *engine) move(w http.ResponseWriter, r *http.Request) {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	destination := e.peers[call.To]
	e.mu.Lock()
	run := e.runs[call.ID]
	if run == nil || run.moved || destination == nil || !call.Last {
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	run.moved = true
	close(run.stop)
	e.mu.Unlock()
	<-run.done
	started := time.Now()
	copyTime := time.Duration(float64(run.tokens) * kvBytes * 8 / (linkMbps * 1e6) * float64(time.Second))
	e.link.Lock()
	destination.receive(copyTime)
	e.link.Unlock()
	handle := "h" + call.ID
	destination.mu.Lock()
	destination.copies[handle] = call.ID
	destination.mu.Unlock()
	e.rig.Log("run of request %s was stopped at %s and copied to %s in %d ms, %d ms of them for the copy alone",
		call.ID, e.id, destination.id, time.Since(started).Milliseconds(), copyTime.Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"handle": handle, "create-revision": 1}) // a caller that has left needs no handle
}

// receive takes part in a copy for as long as it lasts.
func (e *engine) receive(length time.Duration) {
	e.link.Lock()
	defer e.link.Unlock()
	time.Sleep(length)
}
