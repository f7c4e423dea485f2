package backend

import "sync"

// Record is what a target knows of a request.
type Record struct {
	// State is absent, running or done.
	State  string `json:"state"`
	Status int    `json:"status"`
	Body   string `json:"body"`
}

// Records keeps the outcome of each request by its id.
type Records struct {
	mu      sync.Mutex
	records map[string]Record
}

// NewRecords returns an empty store.
func NewRecords() *Records { return &Records{records: make(map[string]Record)} }

// Begin notes that a request runs.
func (r *Records) Begin(id string) { r.set(id, Record{State: Running}) }

// End notes the outcome of a request.
func (r *Records) End(id string, status int, body string) {
	r.set(id, Record{State: Done, Status: status, Body: body})
}

func (r *Records) set(id string, record Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records[id] = record
}

// Get returns the record of a request.
func (r *Records) Get(id string) Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record, ok := r.records[id]; ok {
		return record
	}
	return Record{State: "absent"}
}

// Clear forgets all requests, as a restart does.
func (r *Records) Clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.records)
}
