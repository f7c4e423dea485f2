// Package platform is a stand-in for the platform: the configuration service with its read budget, the
// lagging VM list and the balancer in front of the entries.
package platform

import (
	"sync"
	"time"
)

// Document is one revision of a value.
type Document struct {
	Revision uint64
	Body     []byte
	// visible is when readers start to see the revision.
	visible time.Time
}

// store keeps the revisions of values and says which one readers see.
type store struct {
	mu       sync.Mutex
	values   map[string][]Document
	frozen   map[string]Document
	lag      time.Duration
	changed  chan struct{}
	isFrozen bool
}

func newStore() *store {
	return &store{values: make(map[string][]Document), changed: make(chan struct{})}
}

// put adds a revision; revision 0 means the next one. The first revision is visible at once.
func (s *store) put(key string, revision uint64, body []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	documents := s.values[key]
	visible := now
	if len(documents) > 0 {
		visible = now.Add(s.lag)
		if revision == 0 {
			revision = documents[len(documents)-1].Revision + 1
		}
	}
	revision = max(revision, 1)
	s.values[key] = append(keepVisible(documents, now), Document{Revision: revision, Body: body, visible: visible})
	s.notify()
	return revision
}

// keepVisible drops the documents that a later one hides.
func keepVisible(documents []Document, now time.Time) []Document {
	for len(documents) > 1 && !documents[1].visible.After(now) {
		documents = documents[1:]
	}
	return documents
}

// get returns what readers see now and when the next revision becomes visible, if one is on its way.
func (s *store) get(key string) (document Document, found bool, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isFrozen {
		document, found = s.frozen[key]
		return document, found, time.Time{}
	}
	return current(s.values[key], time.Now())
}

func current(documents []Document, now time.Time) (document Document, found bool, next time.Time) {
	for _, candidate := range documents {
		if candidate.visible.After(now) {
			return document, found, candidate.visible
		}
		document, found = candidate, true
	}
	return document, found, time.Time{}
}

// latest returns the newest revision, visible or not.
func (s *store) latest(key string) (Document, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	documents := s.values[key]
	if len(documents) == 0 {
		return Document{}, false
	}
	return documents[len(documents)-1], true
}

// freeze makes readers see the present values, whatever is put later, until it is switched off.
func (s *store) freeze(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on && !s.isFrozen {
		s.frozen = make(map[string]Document)
		for key, documents := range s.values {
			if document, found, _ := current(documents, time.Now()); found {
				s.frozen[key] = document
			}
		}
	}
	s.isFrozen = on
	s.notify()
}

func (s *store) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// changes returns a channel that is closed at the next change.
func (s *store) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
