package router

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

// Limits of hedged reads.
const (
	// hedgeDelay is how long a read waits for the first byte of its response before another one is started beside it.
	// The store responds within milliseconds, or a quarter of a second when it is slow.
	hedgeDelay = 400 * time.Millisecond
	// maxHedgedReads bounds the reads of one range that are in progress at a time.
	maxHedgedReads = 4
)

type rangeResult struct {
	at    mirror.Position
	items []mirror.Item
	err   error
}

// readRange reads a complete range. A store that was down when a call was made may never answer that call, while it
// answers a later one. So another read starts on a connection of its own while the earlier ones have no response; the
// earlier ones go on, since aborting a read that waits for a congested store would only add to its load.
func (r *Router) readRange(ctx context.Context, prefix string) (mirror.Position, []mirror.Item, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var responding atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { responding.Store(true) }})
	results := make(chan rangeResult, maxHedgedReads)
	started, pending := 0, 0
	start := func() {
		started++
		pending++
		go func() {
			at, items, err := r.store.Range(traced, prefix)
			results <- rangeResult{at, items, err}
		}()
	}
	start()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || pending == 0 {
				return result.at, result.items, result.err
			}
		case <-hedge.C:
			if !responding.Load() && started < maxHedgedReads {
				r.meters.Event("store_read_hedged")
				start()
			}
		}
	}
}
