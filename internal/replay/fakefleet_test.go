package replay

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/amaranthlb/amaranthlb/standin/backend"
)

// fakeFleet is one entry in front of the stand-ins. Its faults are those that the client has to notice.
type fakeFleet struct {
	standins *Standins
	fault    string

	mu     sync.Mutex
	serial int
	// placements and resumes are the headers that callers sent.
	placements []string
	resumes    []string
	refused    bool
}

// startFleet starts the stand-ins of a trace, a fake entry and its admin endpoint.
func startFleet(t *testing.T, parsed *Trace, fault string) (*fakeFleet, *Fleet) {
	t.Helper()
	standins, err := StartStandins(&parsed.Deployment)
	if err != nil {
		t.Fatal(err)
	}
	fake := &fakeFleet{standins: standins, fault: fault}
	server := httptest.NewServer(fake)
	t.Cleanup(func() {
		server.Close()
		http.DefaultClient.CloseIdleConnections()
		_ = standins.Close()
	})
	address := server.Listener.Addr().String()
	return fake, &Fleet{
		Entries: []Daemon{{Name: "entry", Zone: "z1", Address: address, Admin: address}},
		Targets: standins.Targets,
	}
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/metrics":
		f.metrics(w)
	case request.Header.Get("Authorization") != "Bearer k":
		refuseWith(w, http.StatusUnauthorized, "unknown_customer", "no")
	case strings.HasPrefix(request.URL.Path, "/v1/services/s/"):
		f.service(w, request)
	default:
		f.chat(w, request)
	}
}

// metrics answers a counter that grows with each read.
func (f *fakeFleet) metrics(w http.ResponseWriter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.serial += 1000
	_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s{direction=\"sent\"} %d\n%s{direction=\"received\"} 5\n",
		controlCounter, controlCounter, f.serial, controlCounter)
}

func refuseWith(w http.ResponseWriter, status int, code, ran string) {
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%q,"message":"m","ran":%q}}`, code, ran)
}

func (f *fakeFleet) chat(w http.ResponseWriter, request *http.Request) {
	f.mu.Lock()
	f.serial++
	id := fmt.Sprintf("r%d", f.serial)
	f.placements = append(f.placements, request.Header.Get(headerPlacement))
	first := !f.refused
	f.refused = true
	f.mu.Unlock()
	if f.fault == "refuse" && first {
		refuseWith(w, http.StatusServiceUnavailable, "over_limit", "no")
		return
	}
	if last := request.Header.Get(headerLastEventID); request.Method == http.MethodGet {
		f.mu.Lock()
		f.resumes = append(f.resumes, last)
		f.mu.Unlock()
		id, sequence, _ := strings.Cut(last, ".")
		f.relay(w, id, "GET", "/v1/streams/"+id+"?from="+next(sequence), nil)
		return
	}
	f.relay(w, id, "POST", chatPath, request.Body)
}

func next(sequence string) string {
	n := 0
	_, _ = fmt.Sscan(sequence, &n)
	return fmt.Sprint(n + 1)
}

// relay passes the engine's events on with the entry's ids.
func (f *fakeFleet) relay(w http.ResponseWriter, id, method, path string, body io.Reader) {
	address, _ := (&Fleet{Targets: f.standins.Targets}).target("e1")
	request, _ := http.NewRequest(method, "http://"+address+path, body)
	request.Header.Set(backend.HeaderRequestID, id)
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = answer.Body.Close() }()
	w.Header().Set(headerPlacement, "early")
	scanner := bufio.NewScanner(answer.Body)
	for events := 0; scanner.Scan(); {
		line := scanner.Text()
		if sequence, ok := strings.CutPrefix(line, "id: "); ok {
			events++
			line = "id: " + id + "." + sequence
		}
		if line == "data: [DONE]" {
			line = `data: {"choices":[],"placement":"late"}` + "\n\ndata: [DONE]"
		}
		_, _ = fmt.Fprintln(w, f.damage(line, events, method))
		_ = http.NewResponseController(w).Flush()
	}
	if scanner.Err() != nil {
		panic(http.ErrAbortHandler)
	}
}

// damage changes a line as the fault says.
func (f *fakeFleet) damage(line string, events int, method string) string {
	switch {
	case f.fault == "wrong":
		return strings.Replace(line, `"content":"w`, `"content":"x`, 1)
	case f.fault == "short" && events == 2:
		return "\ndata: [DONE]\n"
	case f.fault == "duplicate" && events == 1 && strings.HasPrefix(line, "data"):
		return line + "\n\n" + "id: x.0\n" + line
	case f.fault == "cut" && events == 2 && method == "POST":
		panic(http.ErrAbortHandler)
	case f.fault == "error event" && events == 2 && method == "POST":
		return "event: error\ndata: {\"error\":{\"code\":\"gate_failed\",\"ran\":\"unknown\"}}\n"
	}
	return line
}

// service passes a call with a ticket, or a repeatable one, to the stand-in.
func (f *fakeFleet) service(w http.ResponseWriter, request *http.Request) {
	path := strings.TrimPrefix(request.URL.Path, "/v1/services/s")
	ticket := request.Header.Get(headerTicket)
	if path == "/orders" && ticket == "" {
		w.Header().Set(headerTicket, "ticket")
		refuseWith(w, http.StatusPreconditionRequired, "ticket_required", "no")
		return
	}
	body, _ := io.ReadAll(request.Body)
	answer := f.runService(path, body)
	switch f.fault {
	case "runs twice":
		answer = f.runService(path, body)
	case "false not run":
		refuseWith(w, http.StatusBadRequest, "bad_request", "no")
		return
	case "unknown outcome":
		refuseWith(w, http.StatusGatewayTimeout, "unknown_outcome", "unknown")
		return
	case "cut call":
		f.mu.Lock()
		first := !f.refused
		f.refused = true
		f.mu.Unlock()
		if first {
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = w.Write(answer)
}

func (f *fakeFleet) runService(path string, body []byte) []byte {
	address, _ := (&Fleet{Targets: f.standins.Targets}).target("s1")
	request, _ := http.NewRequest("POST", "http://"+address+path, strings.NewReader(string(body)))
	request.Header.Set(backend.HeaderRequestID, "call")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	text, _ := readAnswer(answer)
	return text
}
