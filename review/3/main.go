// Command 3 shows that the search for a prompt part that crashes engines refuses sound prompts for good.
//
// Clients of two routers send prompts that all begin with the same instructions, a few at a time with pauses between.
// With the disruption, prompts come that hold one more part, which crashes each engine that begins to answer it.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/review/rig"
)

const (
	// A group of sound requests comes every groupInterval. The deadly ones begin with group deadlyGroup.
	groupSize     = 3
	groupInterval = 4500 * time.Millisecond
	groups        = 21
	deadlyGroup   = 10
	// The first deadly requests come deadlyInterval apart, later ones deadlyPause.
	deadlyAtOnce   = 4
	deadlyInterval = 170 * time.Millisecond
	deadlyPause    = time.Second
	// restartTime is how long a crashed engine is away.
	restartTime = 2 * time.Second
	deadline    = 6 * time.Second
	// tokensPerMS is how fast engines read prompts.
	tokensPerMS = 50.7
	// Sizes of prompts: the common first part, the second one, and the request's own.
	instructionTokens, manualTokens, ownTokens = 6_000, 24_000, 600
	deadlyTokens                               = 300
	instructions                               = "a11ce5"
	deadlyPart                                 = "dead01"
	events                                     = 17
	// touchTime is stable-window-ms; the rule begins twice as long after the last crash.
	touchTime = 3 * time.Second
	// enough is the number of sound requests that the rule wants in both times.
	enough = 20
)

// engine is a model replica. It crashes as it begins to answer a prompt with the deadly part.
type engine struct {
	rig     *rig.Rig
	id      string
	address string
	watch   *observer

	mu     sync.Mutex
	seq    int
	server *http.Server
	// cached holds the parts that the engine has read.
	cached map[string]bool
}

type observer struct {
	mu      sync.Mutex
	begun   map[string]bool
	crashes []time.Time
}

func newEngine(r *rig.Rig, id string, watch *observer) (*engine, error) {
	listener, err := rig.Listen()
	if err != nil {
		return nil, err
	}
	e := &engine{rig: r, id: id, address: listener.Addr().String(), watch: watch}
	e.serve(listener)
	return e, nil
}

// serve begins an incarnation of the engine and lists it.
func (e *engine) serve(listener net.Listener) {
	e.mu.Lock()
	e.seq++
	e.server, e.cached = &http.Server{Handler: e}, make(map[string]bool)
	server, seq := e.server, e.seq
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the crash
	e.rig.List(rig.Entry{ID: e.id, Service: "llm", Address: e.address, State: "ready", Slots: 64, Born: time.Now().UnixMilli(), Seq: seq})
}

func (e *engine) crash(cause string) {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	e.watch.mu.Lock()
	e.watch.crashes = append(e.watch.crashes, time.Now())
	e.watch.mu.Unlock()
	e.rig.Note("%s crashes as it begins to answer request %s", e.id, cause)
	_ = server.Close() // as the end of the process
	time.AfterFunc(restartTime, func() {
		listener, err := net.Listen("tcp4", e.address)
		if err != nil {
			e.rig.Note("%s is not back: %v", e.id, err)
			return
		}
		e.rig.Note("%s is back", e.id)
		e.serve(listener)
	})
}

// read returns how long the engine reads a prompt, without the parts that it has cached.
func (e *engine) read(prompt string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := 0.0
	for part := range strings.SplitSeq(prompt, ",") {
		id, count, _ := strings.Cut(part, ":")
		number, _ := strconv.Atoi(count) // the clients send numbers
		if !e.cached[id] {
			tokens += float64(number)
		}
	}
	return time.Duration(tokens / tokensPerMS * float64(time.Millisecond))
}

func (e *engine) keep(prompt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		id, _, _ := strings.Cut(part, ":")
		e.cached[id] = true
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/-/") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a request that breaks off ends below
	id := r.Header.Get("Amaranthlb-Request-Id")
	header := w.Header()
	header.Set("Amaranthlb-Request-Id", id)
	if expected := r.Header.Get("Amaranthlb-Expect-Replica"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	prompt := r.Header.Get("Amaranthlb-Prompt-Prefix")
	e.rig.Log("request %s reaches %s", id, e.id)
	e.watch.mu.Lock()
	e.watch.begun[id] = true
	e.watch.mu.Unlock()
	select {
	case <-time.After(e.read(prompt)):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(prompt, deadlyPart) {
		e.crash(id)
		return
	}
	e.keep(prompt)
	header.Set("Amaranthlb-Replica-Seal", e.id+"."+id)
	header.Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sound is a sound request of a client.
type sound struct {
	id     string
	sent   time.Time
	status int
}

func main() { rig.Main(2, play) }

func play(r *rig.Rig) (bool, error) {
	r.Configure(
		[]rig.Route{{Name: "diagnosis", Kind: "stream", Service: "llm", TimeoutMS: 6000, MaxTargets: 1}},
		map[string]map[string]any{"llm": {"max-conns": 360, "engine": map[string]any{"slots": 64, "kv-tokens": 414966, "models": []any{map[string]any{"name": "m"}}}}},
	)
	watch := &observer{begun: make(map[string]bool)}
	for _, id := range []string{"i-10a2b3c4", "i-20a2b3c4", "i-30a2b3c4"} {
		if _, err := newEngine(r, id, watch); err != nil {
			return false, err
		}
	}
	if err := r.StartRouters(); err != nil {
		return false, err
	}
	inTouchFrom := time.Now().Add(touchTime)
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 20}, Timeout: 2 * deadline}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	var mu sync.Mutex
	var next atomic.Int64
	var list []sound
	deadly := make(map[int]int)
	for g := range groups {
		for i := range groupSize {
			group.Go(func() {
				number := next.Add(1)
				s := sound{id: fmt.Sprintf("%016x", number), sent: time.Now()}
				prompt := fmt.Sprintf("%s:%d,b%02d:%d,c%d:%d", instructions, instructionTokens, g*groupSize+i, manualTokens, number, ownTokens)
				s.status = ask(r, client, r.Routers[i%len(r.Routers)], s.id, prompt)
				mu.Lock()
				defer mu.Unlock()
				list = append(list, s)
			})
		}
		if g == deadlyGroup && r.Trouble {
			group.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					number := next.Add(1)
					group.Go(func() {
						prompt := fmt.Sprintf("%s:%d,%s:%d,d%d:%d", instructions, instructionTokens, deadlyPart, deadlyTokens, number, deadlyTokens)
						status := ask(r, client, r.Routers[n%len(r.Routers)], fmt.Sprintf("%016x", number), prompt)
						mu.Lock()
						defer mu.Unlock()
						deadly[status]++
					})
					if n < deadlyAtOnce {
						time.Sleep(deadlyInterval)
					} else {
						time.Sleep(deadlyPause)
					}
				}
			})
		}
		time.Sleep(groupInterval)
	}
	cancel()
	group.Wait()
	r.Note("answers of the deadly requests: %v", deadly)
	for _, router := range r.Routers {
		for _, line := range router.LogLines("prompt part crashes targets") {
			r.Note("%s: %s", router.Name, line)
		}
	}
	return judge(r, watch, list, inTouchFrom)
}

// judge compares how many of the sound requests begin before the first crash, and from the rule's begin after the last.
// Requests at routers that have not yet run for touchTime don't count.
func judge(r *rig.Rig, watch *observer, list []sound, inTouchFrom time.Time) (bool, error) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	var before, beforeBegun, after, afterBegun int
	statuses := make(map[int]int)
	for _, s := range list {
		switch {
		case s.sent.Before(inTouchFrom):
		case len(watch.crashes) == 0 || s.sent.Before(watch.crashes[0].Add(-deadline)):
			before++
			if watch.begun[s.id] {
				beforeBegun++
			}
		case s.sent.After(watch.crashes[min(len(watch.crashes), 5)-1].Add(2 * touchTime)):
			after++
			statuses[s.status]++
			if watch.begun[s.id] {
				afterBegun++
			}
		}
	}
	r.Note("%d crashes; sound requests before: %d, begun: %d; later than %v after the last crash: %d, begun: %d, statuses %v",
		len(watch.crashes), before, beforeBegun, 2*touchTime, after, afterBegun, statuses)
	if len(watch.crashes) == 0 {
		return false, nil
	}
	if before < enough || after < enough || beforeBegun == 0 {
		return false, fmt.Errorf("the rule wants %d sound requests before and after", enough)
	}
	return 2*float64(afterBegun)/float64(after) < float64(beforeBegun)/float64(before), nil
}

func ask(r *rig.Rig, client *http.Client, router *rig.Router, id, prompt string) int {
	request, err := rig.NewRequest(http.MethodPost, router, "/diagnosis/press", id, deadline)
	if err != nil {
		r.Note("request %s: %v", id, err)
		return 0
	}
	body := "request " + id
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	total := 0
	for part := range strings.SplitSeq(prompt, ",") {
		_, count, _ := strings.Cut(part, ":")
		number, _ := strconv.Atoi(count) // written above
		total += number
	}
	request.Header.Set("Amaranthlb-Model", "m")
	request.Header.Set("Amaranthlb-Token-Count", fmt.Sprintf("%d,%d", total, events*3))
	request.Header.Set("Amaranthlb-Prompt-Prefix", prompt)
	r.Log("request %s sent to %s: %s", id, router.Name, prompt)
	response, err := client.Do(request)
	if err != nil {
		r.Log("request %s: no answer: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	r.Log("request %s: %d, %d bytes, whole %v", id, response.StatusCode, len(content), err == nil)
	return response.StatusCode
}
