package gate

import "sync"

// inFlight counts the calls that a drain has to wait for.
type inFlight struct {
	mu      sync.Mutex
	calls   int
	drained chan struct{}
}

func (f *inFlight) begin() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls++
}

func (f *inFlight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls--
	if f.calls == 0 && f.drained != nil {
		close(f.drained)
		f.drained = nil
	}
}

func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// wait blocks until no calls remain, or returns false if limit is closed first.
func (f *inFlight) wait(limit <-chan struct{}) bool {
	f.mu.Lock()
	if f.calls == 0 {
		f.mu.Unlock()
		return true
	}
	f.drained = make(chan struct{})
	drained := f.drained
	f.mu.Unlock()
	select {
	case <-drained:
		return true
	case <-limit:
		return false
	}
}
