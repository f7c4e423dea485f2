package engine

import (
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// ResumeTimeout is how long a stream without readers stays resumable before it is cancelled.
const ResumeTimeout = 10 * time.Second

// stream is one generation and its readers. It is guarded by Server.mu.
type stream struct {
	id         string
	created    int64
	completion Completion
	words      []string
	request    *batch.Request
	run        *backend.Run

	produced  int
	cancelled bool
	// changed is closed and replaced when events become available or the stream is cancelled.
	changed chan struct{}
	readers int
	expiry  *time.Timer
}

func newStream(id string, completion Completion, priority int, run *backend.Run) *stream {
	return &stream{
		id:         id,
		created:    time.Now().Unix(),
		completion: completion,
		words:      completion.AnswerWords(),
		request:    completion.Request(priority),
		run:        run,
		changed:    make(chan struct{}),
	}
}

func (s *stream) text() string { return strings.Join(s.words, " ") }

func (s *stream) done() bool { return s.produced >= len(s.words) }

// availableEvents returns the number of events that can be sent now. The final event becomes available with the
// last word.
func (s *stream) availableEvents() int {
	if s.done() {
		return len(s.words) + 1
	}
	return s.produced
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// attach adds a reader and stops the expiry timer.
func (e *Server) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
	}
}

// detach removes a reader and starts the expiry timer if it was the last one.
func (e *Server) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 && e.streams[s.id] == s {
		s.expiry = time.AfterFunc(ResumeTimeout, func() { e.expire(s) })
	}
}

// expire cancels a stream that has no readers.
func (e *Server) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 {
		e.cancel(s)
	}
}

// cancel stops a stream's generation and removes the stream. The caller must hold e.mu.
func (e *Server) cancel(s *stream) {
	if e.streams[s.id] == s {
		delete(e.streams, s.id)
	}
	if s.done() || s.cancelled {
		return
	}
	s.cancelled = true
	delete(e.generating, s.request)
	e.model.Cancel(e.now(), s.request)
	e.sampleLoad()
	e.Runs().End(s.run, backend.Cancelled, nil)
	e.Records.End(s.id, statusCancelled, "")
	s.notify()
}
