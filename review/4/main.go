// Command 4 shows that a read that crashes each replica that runs it is never refused.
//
// Three replicas serve reads and orders through two routers. With the disruption, one client's read comes again and again,
// and each replica that begins to run it crashes and is back two seconds later. Orders that run there are lost.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/review/rig"
)

const (
	length = 40 * time.Second
	// deadlyPath is the path of the read that crashes replicas; it comes again every deadlyInterval.
	deadlyPath     = "/stock/press-roller-7"
	deadlyInterval = 1500 * time.Millisecond
	deadlyFrom     = 3 * time.Second
	// restartTime is how long a crashed replica is away.
	restartTime = 2 * time.Second
	// Orders and sound reads a second, and how long replicas work on them.
	ordersPerSecond = 40
	readsPerSecond  = 10
	work            = 30 * time.Millisecond
	deadline        = time.Second
	// touchTime is stable-window-ms.
	touchTime = 3 * time.Second
	// allowedRetries is the rule's bound.
	allowedRetries = 3
)

// arrival is a deadly request at a replica.
type arrival struct {
	id, replica string
	at          time.Time
}

// replica is a server of the service. A crash closes its listener and its connections.
type replica struct {
	rig     *rig.Rig
	id      string
	address string
	watch   *observer

	mu      sync.Mutex
	seq     int
	server  *http.Server
	running map[string]bool
}

// observer records the deadly requests, and the orders that were running when a replica crashed.
type observer struct {
	mu       sync.Mutex
	deadly   []arrival
	crashes  []time.Time
	lostRuns map[string]time.Time
}

func newReplica(r *rig.Rig, id string, watch *observer) (*replica, error) {
	listener, err := rig.Listen()
	if err != nil {
		return nil, err
	}
	p := &replica{rig: r, id: id, address: listener.Addr().String(), watch: watch}
	p.serve(listener)
	return p, nil
}

// serve begins an incarnation of the replica and lists it.
func (p *replica) serve(listener net.Listener) {
	p.mu.Lock()
	p.seq++
	p.server, p.running = &http.Server{Handler: p}, make(map[string]bool)
	server, seq := p.server, p.seq
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // ends with the crash
	p.rig.List(rig.Entry{ID: p.id, Service: "app", Address: p.address, State: "ready", Slots: 6, Born: time.Now().UnixMilli(), Seq: seq})
}

// crash ends the incarnation and begins another one later.
func (p *replica) crash(cause string) {
	p.mu.Lock()
	server := p.server
	lost := p.running
	p.running = make(map[string]bool)
	p.mu.Unlock()
	p.watch.mu.Lock()
	p.watch.crashes = append(p.watch.crashes, time.Now())
	for id := range lost {
		p.watch.lostRuns[id] = time.Now()
	}
	p.watch.mu.Unlock()
	p.rig.Note("%s crashes as it runs request %s; %d orders were running", p.id, cause, len(lost))
	_ = server.Close() // as the end of the process
	time.AfterFunc(restartTime, func() {
		listener, err := net.Listen("tcp4", p.address)
		if err != nil {
			p.rig.Note("%s is not back: %v", p.id, err)
			return
		}
		p.rig.Log("%s is back", p.id)
		p.serve(listener)
	})
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a request that breaks off ends below
	id := r.Header.Get("Amaranthlb-Request-Id")
	header := w.Header()
	header.Set("Amaranthlb-Request-Id", id)
	if expected := r.Header.Get("Amaranthlb-Expect-Replica"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == deadlyPath {
		p.watch.mu.Lock()
		p.watch.deadly = append(p.watch.deadly, arrival{id, p.id, time.Now()})
		p.watch.mu.Unlock()
		p.crash(id)
		return
	}
	order := r.Method == http.MethodPost
	p.mu.Lock()
	server := p.server
	if order {
		p.running[id] = true
	}
	p.mu.Unlock()
	p.rig.Log("request %s runs at %s", id, p.id)
	time.Sleep(work)
	p.mu.Lock()
	current := p.server == server
	delete(p.running, id)
	p.mu.Unlock()
	if !current || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set("Amaranthlb-Replica-Seal", p.id+"."+id)
	_, _ = io.WriteString(w, strings.Repeat("x", 800)) // a client that has left needs no answer
}

func main() { rig.Main(2, play) }

func play(r *rig.Rig) (bool, error) {
	r.Configure([]rig.Route{
		{Name: "order", Kind: "unsafe", Service: "app", TimeoutMS: 1000, MaxTargets: 1},
		{Name: "stock", Kind: "safe", Service: "app", TimeoutMS: 1000, MaxTargets: 2},
	}, map[string]map[string]any{"app": {"max-conns": 100}})
	watch := &observer{lostRuns: make(map[string]time.Time)}
	for _, id := range []string{"i-7f3a91c2", "i-02d9e6b4", "i-5c1e07a2"} {
		if _, err := newReplica(r, id, watch); err != nil {
			return false, err
		}
	}
	if err := r.StartRouters(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 50}, Timeout: 2 * deadline}
	var group sync.WaitGroup
	var mu sync.Mutex
	var next atomic.Int64
	statuses := make(map[string]int)
	failedOrders := make(map[string]int)
	send := func(kind, method, path string) {
		number := next.Add(1)
		id := fmt.Sprintf("%016x", number)
		status := ask(r, client, r.Routers[number%int64(len(r.Routers))], method, path, id)
		mu.Lock()
		defer mu.Unlock()
		statuses[fmt.Sprintf("%s %d", kind, status)]++
		if kind == "order" && status != http.StatusOK {
			failedOrders[id] = status
		}
	}
	repeat := func(interval time.Duration, kind, method, path string) {
		group.Go(func() {
			ticker := time.NewTicker(interval)
			defer ticker.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-ticker.C:
					group.Go(func() { send(kind, method, path) })
				}
			}
		})
	}
	repeat(time.Second/ordersPerSecond, "order", http.MethodPost, "/order/new")
	repeat(time.Second/readsPerSecond, "read", http.MethodGet, "/stock/plate-3")
	time.Sleep(deadlyFrom)
	if r.Trouble {
		repeat(deadlyInterval, "deadly read", http.MethodGet, deadlyPath)
	}
	group.Wait()
	r.Note("answers: %v", statuses)
	return judge(r, watch, failedOrders, statuses["order 200"])
}

// judge counts the deadly requests that reached replicas later than the bound after the third crash.
func judge(r *rig.Rig, watch *observer, failedOrders map[string]int, served int) (bool, error) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	if len(watch.crashes) < 3 {
		r.Note("%d crashes", len(watch.crashes))
		return false, nil
	}
	bound := watch.crashes[2].Add(touchTime)
	requests := make(map[string]bool)
	arrivals := 0
	for _, a := range watch.deadly {
		if a.at.After(bound) {
			requests[a.id] = true
			arrivals++
		}
	}
	lost := 0
	for id, at := range watch.lostRuns {
		if _, failed := failedOrders[id]; failed && at.After(bound) {
			lost++
		}
	}
	r.Note("%d crashes; later than %v after the third one the read came %d times and reached replicas %d times (%d allowed); %d orders that had been running there were lost",
		len(watch.crashes), touchTime, len(requests), arrivals, allowedRetries, lost)
	return len(requests) > allowedRetries, nil
}

func ask(r *rig.Rig, client *http.Client, router *rig.Router, method, path, id string) int {
	request, err := rig.NewRequest(method, router, path, id, deadline)
	if err != nil {
		r.Note("request %s: %v", id, err)
		return 0
	}
	if method == http.MethodPost {
		body := "part=roller&order=" + id
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	r.Log("request %s sent to %s: %s %s", id, router.Name, method, path)
	response, err := client.Do(request)
	if err != nil {
		r.Log("request %s: no answer: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	r.Log("request %s: %d, whole %v", id, response.StatusCode, err == nil)
	return response.StatusCode
}
