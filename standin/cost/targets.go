package cost

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/fleet"
)

// Targets serves many stand-in engines in one process, each at an address of its own.
//
// They answer load reports and stream tokens with as little work as possible, so that the cost of the daemons is not
// hidden behind the cost of a simulated engine.
type Targets struct {
	servers []*http.Server
	// Addresses of the targets.
	Addresses []string
}

// StartTargets listens on loopback for the given number of targets.
func StartTargets(count int) (*Targets, error) {
	t := new(Targets)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Close()
			return nil, err
		}
		server := &http.Server{Handler: newFastEngine(), ReadHeaderTimeout: time.Second}
		go func() { _ = server.Serve(listener) }()
		t.servers = append(t.servers, server)
		t.Addresses = append(t.Addresses, listener.Addr().String())
	}
	return t, nil
}

// Close stops all targets.
func (t *Targets) Close() {
	for _, server := range t.servers {
		_ = server.Close()
	}
}

// fastEngine streams tokens without a model of an engine's time and memory.
type fastEngine struct {
	load        atomic.Int64
	incarnation uint64
	mux         *http.ServeMux
}

func newFastEngine() *fastEngine {
	e := &fastEngine{incarnation: uint64(time.Now().UnixNano()), mux: http.NewServeMux()}
	e.mux.HandleFunc("GET /status", e.status)
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	return e
}

func (e *fastEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

func (e *fastEngine) status(w http.ResponseWriter, _ *http.Request) {
	load := e.load.Load()
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"load":%d,"running":%d,"incarnation":%d,"role":"serve","model":%q,"version":%q}`,
		load, load, e.incarnation, fleet.ModelPool, fleet.ModelVersion)
}

// streamRequest holds the fields of a request that set the form of the stream.
type streamRequest struct {
	Tokens int `json:"max_tokens"`
	// Burst is the number of tokens that are ready at once; 0 means 1.
	Burst int `json:"burst"`
	// PauseUS is the time between two bursts in microseconds.
	PauseUS int64 `json:"pause_us"`
}

func (e *fastEngine) complete(w http.ResponseWriter, r *http.Request) {
	var request streamRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.load.Add(1)
	defer e.load.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	request.stream(w, http.NewResponseController(w))
}

// stream writes the tokens in bursts. The data of each token has the size of a completion chunk.
func (s *streamRequest) stream(w http.ResponseWriter, control *http.ResponseController) {
	const prefix = `{"id":"c","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`
	var buffer []byte
	burst := max(s.Burst, 1)
	for n := 0; n < s.Tokens; {
		buffer = buffer[:0]
		for end := min(n+burst, s.Tokens); n < end; n++ {
			buffer = append(buffer, "id: "...)
			buffer = strconv.AppendInt(buffer, int64(n), 10)
			buffer = append(buffer, "\ndata: "+prefix+"word"...)
			buffer = strconv.AppendInt(buffer, time.Now().UnixNano(), 10)
			buffer = append(buffer, `"}}]}`+"\n\n"...)
		}
		if _, err := w.Write(buffer); err != nil || control.Flush() != nil {
			return
		}
		if s.PauseUS > 0 {
			time.Sleep(time.Duration(s.PauseUS) * time.Microsecond)
		}
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}
