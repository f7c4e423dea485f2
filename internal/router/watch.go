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

var (
	// errStoreSilent is returned by a watch during which the store has answered no ping.
	errStoreSilent = errors.New("store does not respond to pings")
	// errStoreRestored is returned by a watch if the store was restored from a backup after the position to continue from.
	errStoreRestored = errors.New("store was restored from a backup")
)

type watchResult struct {
	at     mirror.Position
	events []mirror.Event
	err    error
}

// watchStore waits for events. It fails before the end of the wait if the store was restored, or has fallen silent. With
// monitored unset the watch is so short that its own timeout shows the silence, and no pings add to the calls to a store
// that may be down.
func (r *Router) watchStore(ctx context.Context, prefix string, after mirror.Position, wait time.Duration, monitored bool) (mirror.Position, []mirror.Event, error) {
	watchCtx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	results := make(chan watchResult, 1)
	go func() {
		at, events, err := r.store.Watch(watchCtx, prefix, after, wait)
		if err == nil && at.Era > after.Era {
			err = errStoreRestored
		}
		results <- watchResult{at, events, err}
	}()
	check := time.NewTicker(storeCheckInterval)
	defer check.Stop()
	for {
		select {
		case result := <-results:
			return result.at, result.events, result.err
		case <-check.C:
			err := r.checkStore(ctx, after.Era, monitored)
			if err == nil {
				continue
			}
			cancel()
			if result := <-results; result.err == nil {
				return result.at, result.events, nil
			}
			return mirror.Position{}, nil, err
		}
	}
}

// checkStore returns an error if the store is in a later era. With monitored set it also pings the store if that is due, and
// returns an error if the store has fallen silent.
func (r *Router) checkStore(ctx context.Context, era uint64, monitored bool) error {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	if r.storeEra > era {
		return errStoreRestored
	}
	if !monitored {
		return nil
	}
	now := r.now()
	if r.storeMonitor.PingDue(now) {
		go r.pingStore(ctx)
	}
	if r.storeMonitor.Silent(now) {
		return errStoreSilent
	}
	return nil
}

func (r *Router) pingStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storePingTimeout)
	defer cancel()
	era, err := r.store.Ping(ctx)
	if err != nil {
		r.meters.ControlCall("store_ping", "failed")
		return
	}
	r.meters.ControlCall("store_ping", "done")
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	r.storeMonitor.Answered(r.now())
	r.storeEra = max(r.storeEra, era)
}
