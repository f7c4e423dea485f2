package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Headers that targets receive with each request.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderPriority  = "X-Priority"
	HeaderCustomer  = "X-Customer"
	HeaderChat      = "X-Chat"
)

// Outcomes of a run.
const (
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
	Crashed   = "crashed"
)

// Run is one line of the log. Runs that have not ended have the outcome "running".
type Run struct {
	// Kind is "run" for a request and "order" for an order.
	Kind         string `json:"kind"`
	RequestID    string `json:"request_id"`
	Customer     string `json:"customer"`
	Chat         string `json:"chat"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	BodyHash     string `json:"body_hash"`
	Body         string `json:"body,omitempty"`
	StartMS      int64  `json:"start_ms"`
	EndMS        int64  `json:"end_ms"`
	Outcome      string `json:"outcome"`
	CachedTokens int    `json:"cached_tokens"`
	PromptTokens int    `json:"prompt_tokens"`
	// WeightReads counts reads of the weight store.
	WeightReads int    `json:"weight_reads"`
	Incarnation uint64 `json:"incarnation"`
}

// BodyHash returns the hash of a body as the log shows it.
func BodyHash(body []byte) string { return fmt.Sprintf("%016x", xxhash.Sum64(body)) }

// NewRun returns a run of the request that starts now.
func NewRun(request *http.Request, body []byte) *Run {
	return &Run{
		Kind:      "run",
		RequestID: request.Header.Get(HeaderRequestID),
		Customer:  request.Header.Get(HeaderCustomer),
		Chat:      request.Header.Get(HeaderChat),
		Method:    request.Method,
		Path:      request.URL.Path,
		BodyHash:  BodyHash(body),
	}
}

// Priority returns the request's priority; 1 is the default.
func Priority(request *http.Request) int {
	if priority, err := strconv.Atoi(request.Header.Get(HeaderPriority)); err == nil {
		return priority
	}
	return 1
}

// Runs is the log of all runs. It outlives restarts within the process, and each change is also written
// to a file when one is set, so that the log outlives the process.
type Runs struct {
	mu   sync.Mutex
	runs []*Run
	file io.Writer
	load Load
}

// NewRuns returns an empty log; file may be nil.
func NewRuns(file io.Writer) *Runs { return &Runs{file: file} }

// Begin adds a run that starts now.
func (r *Runs) Begin(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	run.StartMS = now.UnixMilli()
	run.Outcome = Running
	r.runs = append(r.runs, run)
	if run.Kind == "run" {
		r.load.Change(now, 1)
	}
	r.write(run)
}

// End sets the outcome of a run, once, after calling update for further fields.
func (r *Runs) End(run *Run, outcome string, update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if update != nil && run.Outcome == Running {
		update()
	}
	r.end(run, outcome)
}

// EndAll sets the outcome of every run that has not ended.
func (r *Runs) EndAll(outcome string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		r.end(run, outcome)
	}
}

func (r *Runs) end(run *Run, outcome string) {
	if run.Outcome != Running {
		return
	}
	now := time.Now()
	run.EndMS = now.UnixMilli()
	run.Outcome = outcome
	if run.Kind == "run" {
		r.load.Change(now, -1)
	}
	r.write(run)
}

// All returns copies of all runs in order of their start.
func (r *Runs) All() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

// Peak returns the load figures.
func (r *Runs) Peak() Peak {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.load.Peak(time.Now())
}

func (r *Runs) write(run *Run) {
	if r.file != nil {
		_ = json.NewEncoder(r.file).Encode(run)
	}
}
