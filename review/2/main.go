// Command 2 shows that a router that stops cuts streams that their engines would have completed.
//
// Three engines stream to the clients of two routers. One router gets SIGTERM, and while it finishes its requests one
// engine makes no events for 0.4 s.
package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/amaranthlb/amaranthlb/review/rig"
)

const (
	// A stream lasts for 2.4 s.
	events        = 60
	eventInterval = 40 * time.Millisecond
	promptTokens  = 11_600
	deadline      = 6 * time.Second
	// perRouter is the number of streams that begin a second at each router.
	perRouter = 25
	// stopAt is when the router gets SIGTERM, pauseAfter how much later an engine pauses for pauseLength.
	stopAt      = 6 * time.Second
	pauseAfter  = 700 * time.Millisecond
	pauseLength = 400 * time.Millisecond
	// newConnectionsAfter is how long new connections go to the router after its SIGTERM: two probes without a 200.
	newConnectionsAfter = time.Second
	// grace is grace-s. Streams that their engines still work on in its last sixth don't count.
	grace = 8 * time.Second
)

// answer is what a client got.
type answer struct {
	id      string
	router  *rig.Router
	sent    time.Time
	ended   time.Time
	status  int
	last    int
	whole   bool
	failure error
}

func main() { rig.Main(2, play) }

func play(r *rig.Rig) (bool, error) {
	r.Configure(
		[]rig.Route{{Name: "diagnosis", Kind: "stream", Service: "llm", TimeoutMS: 6000, MaxTargets: 1}},
		map[string]map[string]any{"llm": {"max-conns": 360, "engine": map[string]any{
			"slots": 64, "kv-tokens": 414966, "kv-bytes": kvBytes, "link-mbps": linkMbps, "moves": true, "backups": true,
			"stride": 3, "most": 2, "pin-ms": 4000, "hold-ms": 2000, "handle-s": 5, "models": []any{map[string]any{"name": "m"}},
		}}},
	)
	peers := make(map[string]*engine)
	var engines []*engine
	for _, id := range []string{"i-10a2b3c4", "i-20a2b3c4", "i-30a2b3c4"} {
		e, err := newEngine(r, id, peers)
		if err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	for _, e := range engines {
		r.List(rig.Entry{ID: e.id, Service: "llm", Address: e.address, State: "ready", Slots: 64, Born: time.Now().UnixMilli(), Seq: 1})
	}
	if err := r.StartRouters(); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	var next atomic.Int64
	begun := time.Now()
	var stopped time.Time
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 200}}
	for _, router := range r.Routers {
		group.Go(func() {
			ticker := time.NewTicker(time.Second / perRouter)
			defer ticker.Stop()
			for range ticker.C {
				since := time.Since(begun)
				if router == r.Routers[0] && since > stopAt+newConnectionsAfter || since > stopAt+3*time.Second {
					return
				}
				number := next.Add(1)
				group.Go(func() {
					a := ask(r, client, router, number)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		})
	}
	time.Sleep(time.Until(begun.Add(stopAt)))
	stopped = time.Now()
	if r.Trouble {
		r.Note("%s gets SIGTERM", r.Routers[0].Name)
		if err := r.Routers[0].Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(pauseAfter)
	engines[0].pause(pauseLength)
	group.Wait()
	return judge(r, answers, engines, stopped)
}

// judge counts the streams that the stopping router ended without a complete answer. Requests that no engine has seen
// don't count: they may have crossed the end of an idle connection.
func judge(r *rig.Rig, answers []answer, engines []*engine, stopped time.Time) (bool, error) {
	var whole, lost, cutElsewhere int
	noAnswer := make(map[*rig.Router]int)
	for _, a := range answers {
		if a.whole {
			whole++
			continue
		}
		if a.failure == nil {
			continue // a refusal
		}
		passedOn := slices.ContainsFunc(engines, func(e *engine) bool { return e.hasSeen(a.id) })
		inTouch := !r.Trouble || a.router != r.Routers[0] || a.ended.Before(stopped)
		if a.status == 0 && passedOn && inTouch {
			noAnswer[a.router]++
		}
		r.Note("request %s at %s: status %d, ends after event %d of %d, %.2f s after its begin and %.2f s after SIGTERM: %v",
			a.id, a.router.Name, a.status, a.last, events, a.ended.Sub(a.sent).Seconds(), a.ended.Sub(stopped).Seconds(), a.failure)
		planned := r.Trouble && a.router == r.Routers[0] && a.ended.After(stopped) && a.ended.Before(stopped.Add(grace+time.Second))
		excused := a.ended.After(stopped.Add(grace*5/6)) || !a.ended.Before(a.sent.Add(deadline))
		if planned && passedOn && !excused {
			lost++
		} else {
			cutElsewhere++
		}
	}
	for _, router := range r.Routers {
		r.Note("%s: %d streams moved, %d moves given up after 1 s, %d streams cut", router.Name,
			len(router.LogLines(`"stalled stream moved"`)), len(router.LogLines(`"stalled stream not moved"`, "deadline exceeded")),
			len(router.LogLines(`"stream cut"`)))
	}
	r.Note("%d requests, %d whole answers; %d cut by the stopping router, %d cut outside planned work", len(answers), whole, lost, cutElsewhere)
	if whole < len(answers)/2 {
		return false, fmt.Errorf("only %d whole answers", whole)
	}
	for _, count := range noAnswer {
		if count > 3 {
			return true, nil
		}
	}
	return lost > 0, nil
}

func ask(r *rig.Rig, client *http.Client, router *rig.Router, number int64) answer {
	id := fmt.Sprintf("%016x", number)
	a := answer{id: id, router: router, sent: time.Now()}
	defer func() { a.ended = time.Now() }()
	request, err := rig.NewRequest(http.MethodPost, router, "/diagnosis/press", id, deadline)
	if err != nil {
		a.failure = err
		return a
	}
	request.Header.Set("Amaranthlb-Model", "m")
	request.Header.Set("Amaranthlb-Token-Count", fmt.Sprintf("%d,%d", promptTokens, events*3))
	request.Header.Set("Amaranthlb-Prompt-Prefix", fmt.Sprintf("a%d:2500,b%02d:9000,c%d:100", number%4, number%48, number))
	r.Log("request %s sent to %s", id, router.Name)
	response, err := client.Do(request)
	if err != nil {
		a.failure, a.ended = err, time.Now()
		return a
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), "id: "); found {
			_, _ = fmt.Sscan(value, &a.last)
		}
	}
	a.ended = time.Now()
	switch {
	case a.status != http.StatusOK:
	case lines.Err() != nil:
		a.failure = lines.Err()
	case a.last != events:
		a.failure = fmt.Errorf("the answer is complete without its last events")
	default:
		a.whole = true
	}
	r.Log("request %s ends: status %d, last event %d, whole %v", id, a.status, a.last, a.whole)
	return a
}
