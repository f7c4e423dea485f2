package stall

import (
	"sync"
	"time"
)

// engineSilence is the time without an event of any stream after which the engine, rather than one connection, is
// silent. It is shorter than the silence of a stalled stream, so the events that show activity are those of others.
const engineSilence = minRetransmission / 2

// Engines tracks the streams of engines, to tell a stalled connection from a silent engine. It is safe for concurrent
// use.
type Engines struct {
	mu   sync.Mutex
	byID map[string]*Engine
}

// NewEngines returns an empty Engines.
func NewEngines() *Engines { return &Engines{byID: make(map[string]*Engine)} }

// Engine is one engine with streams.
type Engine struct {
	engines *Engines
	id      string

	// streams, lastEvent and moving are guarded by engines.mu.
	streams   int
	lastEvent time.Time
	moving    bool
}

// Begin adds a stream to an engine. The caller ends it with Engine.End.
func (e *Engines) Begin(id string) *Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	engine := e.byID[id]
	if engine == nil {
		engine = &Engine{engines: e, id: id}
		e.byID[id] = engine
	}
	engine.streams++
	return engine
}

// End removes a stream.
func (e *Engine) End() {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	e.streams--
	if e.streams == 0 && !e.moving {
		delete(e.engines.byID, e.id)
	}
}

// Event records that events of one of the streams have arrived.
func (e *Engine) Event(now time.Time) {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	e.lastEvent = now
}

// Silent reports whether the engine has several streams and none of them has had an event for a while. Nothing can be
// said of an engine with a single stream.
func (e *Engine) Silent(now time.Time) bool {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	return e.silent(now)
}

func (e *Engine) silent(now time.Time) bool {
	return e.streams > 1 && now.Sub(e.lastEvent) >= engineSilence
}

// BeginMove reports whether a run of the engine may be moved now: the engine is not silent and no other run is being
// moved. Copies queue, and a run that waits in the queue produces no events. The caller ends the move with EndMove.
func (e *Engine) BeginMove(now time.Time) bool {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	if e.moving || e.silent(now) {
		return false
	}
	e.moving = true
	return true
}

// EndMove ends a move.
func (e *Engine) EndMove() {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	e.moving = false
	if e.streams == 0 {
		delete(e.engines.byID, e.id)
	}
}
