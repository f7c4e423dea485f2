package engine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/amaranthlb/amaranthlb/standin/batch"
)

// maxRetainedEvents is the number of cache events kept for readers; older ones are discarded.
const maxRetainedEvents = 20000

// eventPollInterval is the interval at which a long-polling reader checks for new events.
const eventPollInterval = 10 * time.Millisecond

// CacheEvent is a change of the prefix cache: a block stored or evicted.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    string `json:"block"`
	at       time.Time
}

// eventLog publishes cache changes with a delay and drops a fraction of them, leaving gaps in the sequence numbers.
type eventLog struct {
	delay time.Duration
	gap   float64

	mu       sync.Mutex
	sequence uint64
	retained []CacheEvent
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

// after returns the retained events whose sequence number is greater than the given one and whose publication delay has
// passed.
func (e *eventLog) after(sequence uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	cutoff := time.Now().Add(-e.delay)
	published := []CacheEvent{}
	for _, event := range e.retained {
		if event.Sequence > sequence && !event.at.After(cutoff) {
			published = append(published, event)
		}
	}
	return published
}
