package engine

import (
	"strings"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/backend"
	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// ResumeTime is how long a stream without a reader can be resumed.
const ResumeTime = 10 * time.Second

// stream is one generation and its readers. The server's mutex guards it.
type stream struct {
	id         string
	created    int64
	completion Completion
	words      []string
	request    *batch.Request
	run        *backend.Run

	produced  int
	cancelled bool
	// changed is closed and replaced when the stream has new events.
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

// availableEvents returns the number of availableEvents that readers may have now; the last one follows the last word.
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

// attach adds a reader and stops the expiry.
func (e *Server) attach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers++
	if s.expiry != nil {
		s.expiry.Stop()
	}
}

// detach removes a reader; the last one starts the expiry.
func (e *Server) detach(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.readers--
	if s.readers == 0 && e.streams[s.id] == s {
		s.expiry = time.AfterFunc(ResumeTime, func() { e.expire(s) })
	}
}

// expire cancels a stream that nobody resumed.
func (e *Server) expire(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readers == 0 {
		e.cancel(s)
	}
}

// cancel ends a stream's generation and forgets the stream. The caller holds the mutex.
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
