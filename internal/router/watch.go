package router

import (
	"context"
	"errors"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/mirror"
)

// Limits of the detection of a silent store.
const (
	// storePingInterval is how often a router that watches the store pings it. Together with storePingTimeout it bounds
	// the time for which other routers rely on a reader that has lost the store.
	storePingInterval = 300 * time.Millisecond
	// storePingTimeout is the time after which an unanswered ping shows that the store is silent.
	storePingTimeout = watchMargin
	// storeCheckInterval is how often a waiting watch checks for due pings and for silence.
	storeCheckInterval = 100 * time.Millisecond
)

// errStoreSilent is returned by a watch during which the store has answered no ping.
var errStoreSilent = errors.New("store does not respond to pings")

type watchResult struct {
	revision uint64
	events   []mirror.Event
	err      error
}

// watchStore waits for events. It fails before the end of the wait if the store has fallen silent.
func (r *Router) watchStore(ctx context.Context, prefix string, after uint64, wait time.Duration) (uint64, []mirror.Event, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	results := make(chan watchResult, 1)
	go func() {
		revision, events, err := r.store.Watch(watchCtx, prefix, after, wait)
		results <- watchResult{revision, events, err}
	}()
	check := time.NewTicker(storeCheckInterval)
	defer check.Stop()
	for {
		select {
		case result := <-results:
			return result.revision, result.events, result.err
		case <-check.C:
			if r.checkStoreAlive(ctx) {
				continue
			}
			cancel()
			if result := <-results; result.err == nil {
				return result.revision, result.events, nil
			}
			return 0, nil, errStoreSilent
		}
	}
}

// checkStoreAlive starts a ping if one is due, and reports whether the store counts as alive.
func (r *Router) checkStoreAlive(ctx context.Context) bool {
	r.controlMu.Lock()
	now := r.now()
	due, silent := r.storeMonitor.PingDue(now), r.storeMonitor.Silent(now)
	r.controlMu.Unlock()
	if due {
		go r.pingStore(ctx)
	}
	return !silent
}

func (r *Router) pingStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storePingTimeout)
	defer cancel()
	if err := r.store.Ping(ctx); err != nil {
		r.meters.ControlCall("store_ping", "failed")
		return
	}
	r.meters.ControlCall("store_ping", "done")
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	r.storeMonitor.Answered(r.now())
}
