package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// maxRetainedEvents bounds the cache events that can still be read.
const maxRetainedEvents = 20000

// eventPollInterval is the pause between looks for new events while a reader waits.
const eventPollInterval = 10 * time.Millisecond

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    string `json:"block"`
	at       time.Time
}

// eventLog publishes changes of the cache late and with gaps.
type eventLog struct {
	delay time.Duration
	gap   float64

	mu       sync.Mutex
	sequence uint64
	retained     []CacheEvent
}

func newEventLog(delay time.Duration, gap float64) *eventLog {
	return &eventLog{delay: delay, gap: gap}
}

func (e *eventLog) add(change batch.Change) {
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
	e.retained = append(e.retained, CacheEvent{Sequence: e.sequence, Op: op, Block: block, at: time.Now()})
	if len(e.retained) > maxRetainedEvents {
		e.retained = e.retained[len(e.retained)-maxRetainedEvents:]
	}
}

// after returns the published events above the sequence number.
func (e *eventLog) after(sequence uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	published := time.Now().Add(-e.delay)
	found := []CacheEvent{}
	for _, event := range e.retained {
		if event.Sequence > sequence && !event.at.After(published) {
			found = append(found, event)
		}
	}
	return found
}
