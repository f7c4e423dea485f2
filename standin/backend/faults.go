package backend

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/control"
)

// Faults are the switchable faults of a stand-in. The zero value has none.
type Faults struct {
	// DelayMS delays each request.
	DelayMS int `json:"delay_ms"`
	// CutAfterEvents closes the connection after that many events of an answer; a service runs the
	// request and closes the connection without an answer.
	CutAfterEvents int `json:"cut_after_events"`
	// DuplicateEvents sends each event twice.
	DuplicateEvents bool `json:"duplicate_events"`
	// SwapEvents exchanges each pair of events.
	SwapEvents bool `json:"swap_events"`
	// CrashOn crashes the stand-in that runs a request whose body has this substring.
	CrashOn string `json:"crash_on"`
	// CrashAfterMS lets an engine work on the request for that long before it crashes.
	CrashAfterMS int `json:"crash_after_ms"`
	// Freeze stops all progress but keeps connections open.
	Freeze bool `json:"freeze"`
	// RefuseStatus answers each request with this status without running it.
	RefuseStatus int `json:"refuse_status"`
}

// Crashes reports whether the request body crashes the stand-in.
func (f Faults) Crashes(body []byte) bool {
	return f.CrashOn != "" && strings.Contains(string(body), f.CrashOn)
}

// Switch holds the faults in force.
type Switch struct {
	mu     sync.Mutex
	faults Faults
	thawed chan struct{}
}

// NewSwitch returns a switch without faults.
func NewSwitch() *Switch {
	thawed := make(chan struct{})
	close(thawed)
	return &Switch{thawed: thawed}
}

// Current returns the faults in force.
func (s *Switch) Current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults in force.
func (s *Switch) Set(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Freeze && !s.faults.Freeze {
		s.thawed = make(chan struct{})
	}
	if !faults.Freeze && s.faults.Freeze {
		close(s.thawed)
	}
	s.faults = faults
}

// WaitThawed returns when the stand-in is not frozen, or false when the context ends first.
func (s *Switch) WaitThawed(ctx context.Context) bool {
	s.mu.Lock()
	thawed := s.thawed
	s.mu.Unlock()
	select {
	case <-thawed:
		return true
	case <-ctx.Done():
		return false
	}
}

// Apply freezes, delays or refuses a request as the faults say. It reports whether the request goes on.
func (s *Switch) Apply(w http.ResponseWriter, request *http.Request) bool {
	if !s.WaitThawed(request.Context()) {
		return false
	}
	faults := s.Current()
	delay := time.Duration(faults.DelayMS) * time.Millisecond
	if delay > 0 && !control.Sleep(request.Context(), delay) {
		return false
	}
	if faults.RefuseStatus != 0 {
		http.Error(w, "refused as the faults say", faults.RefuseStatus)
		return false
	}
	return true
}
