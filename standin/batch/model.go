package batch

import (
	"slices"
	"time"
)

// Config holds the speed and capacity of an engine.
type Config struct {
	// Slots is the maximum number of requests in the batch.
	Slots int
	// TokenTime is the duration of a decode step with one request.
	TokenTime time.Duration
	// BatchTokenTime is added to a decode step for each additional request in the batch.
	BatchTokenTime time.Duration
	// PrefillTime is the prefill time per uncached prompt token.
	PrefillTime time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
}

// Request is one generation request.
type Request struct {
	// Priority orders waiting requests; lower values are more urgent.
	Priority int
	// Prompt holds the blocks of the prompt, and Answer those of the prompt followed by the answer.
	Prompt, Answer []Block
	// PromptTokens and OutputTokens count words.
	PromptTokens, OutputTokens int

	// Cached is the number of prompt tokens found in the cache when the request was assigned a slot.
	Cached int
	// Produced is the number of output tokens produced so far.
	Produced int

	readyAt time.Duration
}

// Done reports whether the request has produced all its output tokens.
func (r *Request) Done() bool { return r.Produced >= r.OutputTokens }

// Model is the simulated state of one engine.
type Model struct {
	config  Config
	cache   *Cache
	waiting []*Request
	running []*Request
	// stepEnd is when the current decode step ends; it is valid only while stepping is true.
	stepEnd  time.Duration
	stepping bool
}

// NewModel returns the model of an idle engine.
func NewModel(config Config) *Model {
	return &Model{config: config, cache: NewCache(config.CacheBlocks)}
}

// Cache returns the engine's prefix cache.
func (m *Model) Cache() *Cache { return m.cache }

// Running returns the number of requests in the batch.
func (m *Model) Running() int { return len(m.running) }

// Waiting returns the number of queued requests without a slot.
func (m *Model) Waiting() int { return len(m.waiting) }

// Load returns the number of running and waiting requests.
func (m *Model) Load() int { return len(m.running) + len(m.waiting) }

// Submit queues a request at time now, behind waiting requests of the same or a more urgent priority.
func (m *Model) Submit(now time.Duration, request *Request) {
	at := len(m.waiting)
	for at > 0 && m.waiting[at-1].Priority > request.Priority {
		at--
	}
	m.waiting = slices.Insert(m.waiting, at, request)
	m.schedule(now)
}

// Cancel removes a waiting or running request at time now.
func (m *Model) Cancel(now time.Duration, request *Request) {
	same := func(r *Request) bool { return r == request }
	m.waiting = slices.DeleteFunc(m.waiting, same)
	m.running = slices.DeleteFunc(m.running, same)
	m.schedule(now)
}

// Next returns when the current decode step ends, and false if the engine is idle.
func (m *Model) Next() (time.Duration, bool) { return m.stepEnd, m.stepping }

// Advance completes all decode steps that end at or before now and returns the requests that produced tokens, in order.
// A request appears once for each token.
func (m *Model) Advance(now time.Duration) []*Request {
	var produced []*Request
	for m.stepping && m.stepEnd <= now {
		produced = append(produced, m.step()...)
	}
	return produced
}

// step completes the current decode step.
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

// completeIfDone reports whether the request is done and, if so, stores its answer blocks in the cache.
func (m *Model) completeIfDone(request *Request) bool {
	if !request.Done() {
		return false
	}
	m.cache.Store(request.Answer)
	return true
}

// schedule assigns free slots to waiting requests and starts a decode step if none is in progress.
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

// assignSlot moves a request into the batch. Its first token comes with the first step that ends after its prefill.
func (m *Model) assignSlot(now time.Duration, request *Request) {
	request.Cached = m.cache.Prefix(request.Prompt) * BlockTokens
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
