package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/engine"
	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// refused is one refusal that claims that its request did not run.
type refused struct {
	kind, hash, code string
}

// mixedLoad sends chats, service calls and orders, each with a body of its own, and keeps the refusals.
type mixedLoad struct {
	f       *fleet.Fleet
	entries []string
	label   string
	kinds   []string
	stop    chan struct{}
	running sync.WaitGroup

	mu      sync.Mutex
	notRun  []refused
	counts  map[string]int
	strange []string
}

// refusalPause is how long a worker waits after a refusal.
const refusalPause = 10 * time.Millisecond

// mixedKinds are the kinds of requests, by worker in turn.
var mixedKinds = []string{"stream", "chat", "call", "order"}

func startMixedLoad(f *fleet.Fleet, workers int) *mixedLoad {
	return startMixedLoadOf(f, workers, mixedKinds...)
}

// startMixedLoadOf sends only some kinds.
func startMixedLoadOf(f *fleet.Fleet, workers int, kinds ...string) *mixedLoad {
	l := &mixedLoad{f: f, entries: f.Names("entry"), kinds: kinds, stop: make(chan struct{}), counts: make(map[string]int)}
	l.start(workers)
	return l
}

// startMixedLoadAt sends through the entries of some zones only.
func startMixedLoadAt(f *fleet.Fleet, workers int, zones ...string) *mixedLoad {
	l := &mixedLoad{f: f, label: zones[0] + " ", kinds: mixedKinds, stop: make(chan struct{}), counts: make(map[string]int)}
	for _, entry := range f.Names("entry") {
		if slices.Contains(zones, f.Zone(entry)) {
			l.entries = append(l.entries, entry)
		}
	}
	l.start(workers)
	return l
}

func (l *mixedLoad) start(workers int) {
	for worker := range workers {
		l.running.Go(func() { l.work(worker) })
	}
}

// answers returns the number of answers so far.
func (l *mixedLoad) answers() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts["answered"]
}

func (l *mixedLoad) work(worker int) {
	for turn := 0; ; turn++ {
		select {
		case <-l.stop:
			return
		default:
		}
		entry := l.f.URL(l.entries[(worker+turn)%len(l.entries)])
		kind := l.kinds[worker%len(l.kinds)]
		l.one(kind, entry, l.label+fmt.Sprintf("worker %d turn %d", worker, turn))
	}
}

func (l *mixedLoad) one(kind, entry, label string) {
	var got reply
	var body []byte
	switch kind {
	case "stream", "chat":
		body = chatBody(label, 20, kind == "stream")
		got = send(http.MethodPost, entry+"/v1/chat/completions", "rose", nil, body)
	case "call":
		body = []byte(`{"stock":"` + label + `"}`)
		got = send(http.MethodPost, entry+"/v1/services/orders/stock", "press", nil, body)
	case "order":
		body = []byte(`{"order":"` + label + `"}`)
		ticket := send(http.MethodPost, entry+submitPath, "press", nil, body)
		header := map[string]string{ticketHeader: ticket.header.Get(ticketHeader)}
		got = send(http.MethodPost, entry+submitPath, "press", header, body)
	}
	l.keep(kind, body, got)
}

func (l *mixedLoad) keep(kind string, body []byte, got reply) {
	code, ran := got.errorCode()
	if code == "" {
		code, ran = streamError(got.body)
	}
	if code != "" || got.err != nil {
		time.Sleep(refusalPause)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case code == "" && got.status == http.StatusOK && kind == "stream" && !isWhole(body, got.body):
		l.strange = append(l.strange, "a stream ended as if it were whole")
	case got.err != nil:
		l.counts["cut"]++
	case code == "" && got.status == http.StatusOK:
		l.counts["answered"]++
	case ran == "no":
		l.counts["not run: "+code]++
		l.notRun = append(l.notRun, refused{kind, backend.BodyHash(body), code})
	case ran == "unknown":
		l.counts["unknown: "+code]++
	default:
		l.strange = append(l.strange, fmt.Sprintf("%s: status %d, %.200s", kind, got.status, got.body))
	}
}

// isWhole reports whether a stream is the whole answer to its request.
func isWhole(request []byte, stream string) bool {
	want, err := engine.Answer(request)
	text, done := streamText(stream)
	return err == nil && done && text == want
}

// streamError returns the error event of a stream, if it has one.
func streamError(body string) (code, ran string) {
	_, event, found := strings.Cut(body, "event: error\ndata: ")
	if !found {
		return "", ""
	}
	line, _, _ := strings.Cut(event, "\n")
	if !json.Valid([]byte(line)) {
		return "", ""
	}
	return reply{body: line}.errorCode()
}

// finish stops the load and compares every "not run" with the targets' logs.
func (l *mixedLoad) finish(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.running.Wait()
	// A request whose caller has given up may still reach a target.
	time.Sleep(time.Second)
	ran := make(map[string]int)
	for _, run := range runLogs(t, l.f, append(l.f.Names("engine"), l.f.Names("service")...)) {
		ran[run.BodyHash]++
	}
	untrue := 0
	for _, r := range l.notRun {
		if ran[r.hash] > 0 {
			untrue++
			t.Errorf("a %s was refused as %s with ran: no, but ran %d times", r.kind, r.code, ran[r.hash])
		}
	}
	t.Logf("%v; %d refusals with ran: no, %d of them false", l.counts, len(l.notRun), untrue)
	for _, problem := range l.strange {
		t.Error(problem)
	}
	if l.counts["answered"] == 0 {
		t.Error("nothing was answered")
	}
}

func notRunSpec() fleet.Spec {
	spec := fleet.Default()
	spec.EntriesPerZone = 2
	spec.ThroughLinks = true
	spec.EntrySettings = []string{"stall_timeout: 2s"}
	spec.ServiceFlags = []string{"--run-time", "50ms"}
	spec.EngineFlags = []string{"--token-time", "5ms"}
	return spec
}

// Guards against a refusal that claims "not run" for a request that ran, when targets are killed during requests.
func TestNotRunIsTrueWhenTargetsAreKilled(t *testing.T) {
	f := start(t, notRunSpec())
	l := startMixedLoad(f, 48)
	for round := range 4 {
		for _, name := range []string{f.Names("engine")[round], f.Names("service")[round%2]} {
			time.Sleep(700 * time.Millisecond)
			f.Kill(name)
			time.Sleep(700 * time.Millisecond)
			must(t, f.StartNode(name))
		}
	}
	l.finish(t)
}

// Guards against a refusal that claims "not run" for a request that ran, when gates are killed, cut off or frozen.
func TestNotRunIsTrueWhenGatesFail(t *testing.T) {
	f := start(t, notRunSpec())
	l := startMixedLoad(f, 48)
	gates := f.Names("gate")
	time.Sleep(time.Second)
	f.Kill(gates[0])
	time.Sleep(2 * time.Second)
	must(t, f.StartNode(gates[0]))
	must(t, f.SetLink(gates[2], `"cut":true`))
	time.Sleep(3 * time.Second)
	must(t, f.SetLink(gates[2], `"cut":false`))
	must(t, f.Freeze(gates[1]))
	time.Sleep(3 * time.Second)
	must(t, f.Thaw(gates[1]))
	time.Sleep(2 * time.Second)
	l.finish(t)
}

// Guards against a refusal that claims "not run" after a retry, when links to the gates delay and drop connections.
func TestNotRunIsTrueOverBadLinks(t *testing.T) {
	f := start(t, notRunSpec())
	l := startMixedLoad(f, 48)
	for _, gate := range f.Names("gate") {
		must(t, f.SetLink(gate, `"delay_ms":5,"jitter_ms":20,"drop":0.02`))
	}
	time.Sleep(8 * time.Second)
	for _, gate := range f.Names("gate") {
		must(t, f.SetLink(gate, `"delay_ms":0,"jitter_ms":0,"drop":0`))
	}
	time.Sleep(time.Second)
	l.finish(t)
}

// Guards against a refusal that claims "not run" for a request that ran, when targets leave, vanish and come back in
// a list that lags, so that gates and entries disagree about it.
func TestNotRunIsTrueWhenTargetsFlap(t *testing.T) {
	spec := notRunSpec()
	spec.PlatformFlags = []string{"--vm-lag", "1s"}
	f := start(t, spec)
	l := startMixedLoad(f, 48)
	states := []string{"leaving", "gone", "live"}
	targets := append(f.Names("engine"), f.Names("service")...)
	for round := range 16 {
		state := states[round%len(states)]
		must(t, f.SetVMs(map[string]string{targets[round%len(targets)]: state, targets[(round+2)%len(targets)]: "leaving"}))
		time.Sleep(600 * time.Millisecond)
	}
	l.finish(t)
}
