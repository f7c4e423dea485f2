package gate

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/target"
)

// measurementSlack widens the period in which a report may have been measured: a request counts as the gate's own from
// slightly before the target sees it until slightly after the target has finished it.
const measurementSlack = 50 * time.Millisecond

// Report is the last status that a target reported.
type Report struct {
	Target string
	// Load is the number of requests of all gates at the target.
	Load int
	// OwnInFlight is the number of this gate's requests that are certainly included in Load.
	OwnInFlight int
	// Measured is the earliest time, on the gate's clock, at which the target can have measured the report.
	Measured time.Duration
	// Fence is the highest fencing token that the target has seen.
	Fence       uint64
	Model       string
	Version     string
	Adapters    []string
	Role        string
	Incarnation uint64
}

// External returns the load caused by other gates. It is exact or too high.
func (r Report) External() int { return max(r.Load-r.OwnInFlight, 0) }

// reports keeps the last report of each polled target. It is safe for concurrent use.
type reports struct {
	mu        sync.Mutex
	latest    map[string]Report
	histories map[string]*history
	// downs contains the targets that refused the last connection.
	downs map[string]bool
}

func newReports() *reports {
	return &reports{latest: make(map[string]Report), histories: make(map[string]*history), downs: make(map[string]bool)}
}

// Latest returns the last report of a target, or false if none has arrived since this gate took ownership.
func (r *reports) Latest(target string) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, ok := r.latest[target]
	return report, ok
}

// All returns the last reports, sorted by target name.
func (r *reports) All() []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.SortedFunc(maps.Values(r.latest), func(a, b Report) int { return strings.Compare(a.Target, b.Target) })
}

// requestStarted and requestEnded count this gate's own requests at a target.
func (r *reports) requestStarted(now time.Duration, target string) { r.count(now, target, 1) }

func (r *reports) requestEnded(now time.Duration, target string) { r.count(now, target, -1) }

func (r *reports) count(now time.Duration, target string, delta int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histories[target]
	if h == nil {
		h = new(history)
		r.histories[target] = h
	}
	h.add(now, delta)
}

// answered stores a status, given the times at which it was requested and received. Statuses may arrive out of order.
func (r *reports) answered(name string, status target.Status, sent, received time.Duration) {
	report := Report{
		Target:      name,
		Load:        status.Load,
		Measured:    sent - status.Age(),
		Fence:       status.Fence,
		Model:       status.Model,
		Version:     status.Version,
		Adapters:    status.Adapters,
		Role:        status.Role,
		Incarnation: status.Incarnation,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.downs, name)
	if last, ok := r.latest[name]; ok && last.Measured > report.Measured {
		return
	}
	from, to := report.Measured-measurementSlack, received-status.Age()+measurementSlack
	if h := r.histories[name]; h != nil && h.covers(received, from) {
		report.OwnInFlight = h.throughout(from, to)
	}
	r.latest[name] = report
}

// refused records that a target does not accept connections.
func (r *reports) refused(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.downs[name] = true
}

// down reports whether the target refused the last connection.
func (r *reports) down(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.downs[name]
}

// forget removes the report of a target that this gate no longer polls.
func (r *reports) forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.latest, name)
	delete(r.downs, name)
	if h := r.histories[name]; h != nil && h.running == 0 {
		delete(r.histories, name)
	}
}
