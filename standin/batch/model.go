package batch

import (
	"slices"
	"time"
)

// Config holds the speed and the size of an engine.
type Config struct {
	// Slots is the number of requests that run in one batch.
	Slots int
	// TokenTime is the time of one decode step with one request.
	TokenTime time.Duration
	// BatchTokenTime is added to a decode step for each further request in the batch.
	BatchTokenTime time.Duration
	// PrefillTime is the time per prompt token that is not cached.
	PrefillTime time.Duration
	// CacheBlocks is the memory for cached blocks.
	CacheBlocks int
}

// Request is one generation.
type Request struct {
	// Priority orders waiting requests; lower is more urgent.
	Priority int
	// Prompt holds the blocks of the prompt, and Answer those of prompt and answer together.
	Prompt, Answer []Block
	// PromptTokens and OutputTokens count words.
	PromptTokens, OutputTokens int

	// Cached is the number of prompt tokens found in the cache when the request got its slot.
	Cached int
	// Produced is the number of output tokens so far.
	Produced int

	readyAt time.Duration
}

// Done reports whether the request has produced its whole answer.
func (r *Request) Done() bool { return r.Produced >= r.OutputTokens }

// Model is the state of one engine.
type Model struct {
	config  Config
	cache   *Cache
	waiting []*Request
	running []*Request
	// stepEnd is the end of the present decode step; it is valid while stepping is set.
	stepEnd  time.Duration
	stepping bool
}

// NewModel returns an idle engine.
func NewModel(config Config) *Model {
	return &Model{config: config, cache: NewCache(config.CacheBlocks)}
}

// Cache returns the engine's prefix cache.
func (m *Model) Cache() *Cache { return m.cache }

// Running and Waiting return the number of requests in the batch and in the queue.
func (m *Model) Running() int { return len(m.running) }

// Waiting returns the number of requests without a slot.
func (m *Model) Waiting() int { return len(m.waiting) }

// Load returns the number of all requests.
func (m *Model) Load() int { return len(m.running) + len(m.waiting) }

// Submit adds a request at time now.
func (m *Model) Submit(now time.Duration, request *Request) {
	at := len(m.waiting)
	for at > 0 && m.waiting[at-1].Priority > request.Priority {
		at--
	}
	m.waiting = slices.Insert(m.waiting, at, request)
	m.schedule(now)
}

// Cancel removes a request at time now.
func (m *Model) Cancel(now time.Duration, request *Request) {
	same := func(r *Request) bool { return r == request }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	m.schedule(now)
}

// Next returns the time of the next decode step's end.
func (m *Model) Next() (time.Duration, bool) { return m.stepEnd, m.stepping }

// Advance runs all steps that end until now and returns the requests that produced tokens, in order.
// A request appears once for each token.
func (m *Model) Advance(now time.Duration) []*Request {
	var produced []*Request
	for m.stepping && m.stepEnd <= now {
		produced = append(produced, m.step()...)
	}
	return produced
}

// step ends the present decode step.
func (m *Model) step() []*Request {
	end := m.stepEnd
	m.stepping = false
	var produced []*Request
	for _, request := range m.running {
		if request.readyAt <= end {
			request.Produced++
			produced = append(produced, request)
		}
	}
	m.running = slices.DeleteFunc(m.running, m.completeIfDone)
	m.schedule(end)
	return produced
}

// completeIfDone reports whether the request is done, and caches its answer if so.
func (m *Model) completeIfDone(request *Request) bool {
	if !request.Done() {
		return false
	}
	m.cache.Store(request.Answer)
	return true
}

// schedule gives free slots to waiting requests and starts a decode step if none is under way.
func (m *Model) schedule(now time.Duration) {
	for len(m.running) < m.config.Slots && len(m.waiting) > 0 {
		m.assignSlot(now, m.waiting[0])
		m.waiting = m.waiting[1:]
	}
	if len(m.running) == 0 {
		m.stepping = false
		return
	}
	if !m.stepping {
		m.startStep(now)
	}
}

// assignSlot gives a request a slot; its first token comes with a step that ends after its prefill.
func (m *Model) assignSlot(now time.Duration, request *Request) {
	request.Cached = m.cache.Prefix(request.Prompt) * BlockWords
	prefill := time.Duration(request.PromptTokens-request.Cached) * m.config.PrefillTime
	request.readyAt = now + prefill
	m.cache.Store(request.Prompt)
	m.running = append(m.running, request)
}

func (m *Model) startStep(now time.Duration) {
	first := m.running[0].readyAt
	for _, request := range m.running {
		first = min(first, request.readyAt)
	}
	others := time.Duration(len(m.running) - 1)
	m.stepEnd = max(now, first) + m.config.TokenTime + others*m.config.BatchTokenTime
	m.stepping = true
}
