package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// eventsKept bounds the cache events that can still be read.
const eventsKept = 20000

// eventPoll is the pause between looks for new events while a reader waits.
const eventPoll = 10 * time.Millisecond

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    string `json:"block"`
	at       time.Time
}

// events publishes changes of the cache late and with gaps.
type events struct {
	delay time.Duration
	gap   float64

	mu       sync.Mutex
	sequence uint64
	kept     []CacheEvent
}

func newEvents(delay time.Duration, gap float64) *events {
	return &events{delay: delay, gap: gap}
}

func (e *events) add(change batch.Change) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	if e.gap > 0 && rand.Float64() < e.gap {
		return
	}
	op := "store"
	if change.Evicted {
		op = "evict"
	}
	block := fmt.Sprintf("%016x", uint64(change.Block))
	e.kept = append(e.kept, CacheEvent{Sequence: e.sequence, Op: op, Block: block, at: time.Now()})
	if len(e.kept) > eventsKept {
		e.kept = e.kept[len(e.kept)-eventsKept:]
	}
}

// after returns the published events above the sequence number.
func (e *events) after(sequence uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	published := time.Now().Add(-e.delay)
	found := []CacheEvent{}
	for _, event := range e.kept {
		if event.Sequence > sequence && !event.at.After(published) {
			found = append(found, event)
		}
	}
	return found
}
