package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/backpressure"
	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/mirror"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Limits of store access.
const (
	// watchWait is how long the store holds a watch. A single connection that is silently broken is noticed only after
	// that time.
	watchWait = 1500 * time.Millisecond
	// confirmWait is how long the store holds the first watch of a router that starts to read. Until it is answered no
	// other router relies on this one, and all would start to read after readerSilence.
	confirmWait = 200 * time.Millisecond
	// watchMargin is the time after the end of the wait at which the store counts as unreachable.
	watchMargin = 700 * time.Millisecond
	// readTimeout is the initial timeout for reading a complete range. It is doubled after each timeout up to
	// maxReadTimeout: when hundreds of routers start at once they share the store's network link, and restarting an
	// aborted read adds to the load.
	readTimeout    = 2500 * time.Millisecond
	maxReadTimeout = 10 * time.Second
	// minRetryPause and maxRetryPause bound the pause after a failed call to the store, which is doubled after each
	// failure.
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
	// maxStartRetryPause replaces maxRetryPause while the router has no content and can't serve.
	maxStartRetryPause = 200 * time.Millisecond
	// deferredRetryPause is the pause while other routers probe the store on behalf of all. A router that can reach
	// only the store is not heard by any peer and keeps the short pause; the others learn that the store is back within
	// two digests.
	deferredRetryPause = 2 * time.Second
	// batchDelay is the pause between calls to the store. It batches changes that would otherwise cost one call each.
	batchDelay = 250 * time.Millisecond
	// maxTargetLogLines is the number of targets listed by one read up to which each gets its own log line. It is above
	// the number that an operator or an autoscaler adds at once.
	maxTargetLogLines = 50
	// firstStartReadDelay is the time after the first start of all VMs at which the readers start to read. Clients
	// arrive a few seconds later. With 74 VMs, some had discovered few others 0.8 s after the start, and 40 of them
	// read the store.
	firstStartReadDelay = 1600 * time.Millisecond
	// firstStartReadWait is how long the other routers leave the store to the readers and expect to get its content from
	// them.
	firstStartReadWait = 3500 * time.Millisecond
	// readerPollInterval is how often a router checks whether it has to read the store.
	readerPollInterval = 100 * time.Millisecond
)

// readStore keeps a range up to date until the context ends.
func (r *Router) readStore(ctx context.Context, keyRange directory.Range) {
	prefix := r.config.Prefixes[keyRange]
	pause, timeout := minRetryPause, readTimeout
	fullRead := false
	for ctx.Err() == nil {
		if !r.checkReadsStore(keyRange) {
			// Other routers relay the changes in the meantime, so a watch can continue from there.
			fullRead = false
			sleep(ctx, readerPollInterval)
			continue
		}
		err := r.readOnce(ctx, keyRange, prefix, fullRead || !r.initialized(keyRange), timeout)
		switch {
		case err == nil:
			fullRead = false
			pause, timeout = minRetryPause, readTimeout
			r.recordStoreSuccess(keyRange)
			sleep(ctx, batchDelay)
			continue
		case ctx.Err() != nil:
			return
		case r.store.HistoryGone(err) || errors.Is(err, errStoreRestored):
			r.log.WithError(err).WithField("prefix", prefix).Info("store's history gone: reading the whole range")
			fullRead = true
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			timeout = min(2*timeout, maxReadTimeout)
		}
		r.recordStoreFailure(keyRange, err)
		r.store.Reconnect()
		if r.canDeferToPeers(keyRange) {
			pause = deferredRetryPause
		}
		if !r.initialized(keyRange) {
			pause = min(pause, maxStartRetryPause)
		}
		jitter := time.Duration(rand.Int64N(int64(pause)))
		sleep(ctx, pause/2+jitter)
		pause = min(2*pause, maxRetryPause)
	}
}

// canDeferToPeers reports whether this router may leave probing a failing store to others. A router without content may
// not, since it can't serve until it has some.
func (r *Router) canDeferToPeers(keyRange directory.Range) bool {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	return r.directory.Mirror(keyRange).Initialized() && r.members.EnoughProbersAhead(r.now())
}

// checkReadsStore decides whether this router reads the range now, and records a switch to relayed access.
func (r *Router) checkReadsStore(keyRange directory.Range) bool {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	read := r.mustRead(keyRange, r.now())
	if !read && r.access[keyRange] != peers.Relayed {
		r.access[keyRange] = peers.Relayed
		r.log.WithField("prefix", r.config.Prefixes[keyRange]).Info("store read by others")
	}
	return read
}

// mustRead decides whether this router reads the range. The caller holds r.controlMu.
func (r *Router) mustRead(keyRange directory.Range, now time.Duration) bool {
	switch {
	case r.forceRead[keyRange]:
		return true
	case r.directory.Mirror(keyRange).Initialized():
		return r.members.ReadsStore(now, r.access[keyRange] == peers.Reading)
	case r.config.FirstStart && now < firstStartReadWait:
		return now >= firstStartReadDelay && r.members.RanksAsReader(now)
	}
	// After a restart there is no time to wait for changes from other routers.
	return true
}

func (r *Router) initialized(keyRange directory.Range) bool {
	r.controlMu.Lock()
	defer r.controlMu.Unlock()
	return r.directory.Mirror(keyRange).Initialized()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// readOnce makes one call to the store and applies its result. The timeout bounds the read of a complete range.
func (r *Router) readOnce(ctx context.Context, keyRange directory.Range, prefix string, fullRead bool, timeout time.Duration) error {
	if fullRead {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		at, items, err := r.readRange(ctx, prefix)
		if err != nil {
			return err
		}
		r.applySnapshot(keyRange, at, items, "store")
		return nil
	}
	r.controlMu.Lock()
	after := r.directory.Mirror(keyRange).Position()
	wait := watchWait
	if r.access[keyRange] != peers.Reading {
		wait = confirmWait
		r.storeMonitor.Reset(r.now())
	}
	r.controlMu.Unlock()
	at, events, err := r.watchStore(ctx, prefix, after, wait)
	if err != nil {
		return err
	}
	r.applyUpdate(func(now time.Duration) []directory.Change { return r.directory.Apply(now, keyRange, at, events) }, "store")
	if len(events) > 0 {
		r.broadcastChanges(keyRange, after, at, events)
	}
	return nil
}

// applySnapshot applies the content of a complete range.
func (r *Router) applySnapshot(keyRange directory.Range, at mirror.Position, items []mirror.Item, source string) {
	restored := false
	r.applyUpdate(func(now time.Duration) []directory.Change {
		local := r.directory.Mirror(keyRange)
		restored = local.Initialized() && at.Era > local.Position().Era
		return r.directory.Reset(now, keyRange, at, items)
	}, source)
	if restored {
		r.meters.Event("store_restored")
		r.log.WithFields(logrus.Fields{
			"prefix": r.config.Prefixes[keyRange], "era": at.Era, "revision": at.Revision, "source": source,
		}).Warn("content of restored store taken")
	}
}

func (r *Router) recordStoreSuccess(keyRange directory.Range) {
	r.controlMu.Lock()
	regained := r.access[keyRange] != peers.Reading
	r.access[keyRange] = peers.Reading
	r.forceRead[keyRange] = false
	r.storeFailures[keyRange] = 0
	r.confirmedAt[keyRange] = r.now()
	r.answeredAt[keyRange] = r.now()
	r.storeMonitor.Answered(r.now())
	r.controlMu.Unlock()
	if regained {
		r.meters.Event("store_regained")
		r.log.WithField("prefix", r.config.Prefixes[keyRange]).Info("store read")
		// Until others hear of it, more of them start to read.
		r.sendDigest(r.now(), nil)
	}
}

func (r *Router) recordStoreFailure(keyRange directory.Range, err error) {
	r.controlMu.Lock()
	r.storeFailures[keyRange]++
	// All others may start to read once a reader says that it has lost the store, so a single failure is not announced.
	lost := r.access[keyRange] == peers.Relayed ||
		r.access[keyRange] == peers.Reading && (r.storeFailures[keyRange] > 1 || errors.Is(err, errStoreSilent))
	if lost {
		r.access[keyRange] = peers.Failing
	}
	r.directory.StoreFailed(r.now())
	silent := r.now() - r.answeredAt[keyRange]
	r.controlMu.Unlock()
	r.meters.Event("store_call_failed")
	if lost {
		r.log.WithError(err).WithFields(logrus.Fields{"prefix": r.config.Prefixes[keyRange], "silent_ms": silent.Milliseconds()}).Warn("store lost")
		r.sendDigest(r.now(), nil)
	}
}

// storeAccess returns the access to the store as a whole, which is the worst of all ranges. The caller holds
// r.controlMu.
func (r *Router) storeAccess() pb.StoreAccess {
	access := pb.StoreAccess_STORE_ACCESS_READING
	for _, keyRange := range directory.AllRanges() {
		switch r.access[keyRange] {
		case peers.Failing:
			return pb.StoreAccess_STORE_ACCESS_FAILING
		case peers.Relayed:
			access = pb.StoreAccess_STORE_ACCESS_RELAYED
		}
	}
	return access
}

var accessFromProto = map[pb.StoreAccess]peers.Access{
	pb.StoreAccess_STORE_ACCESS_READING: peers.Reading,
	pb.StoreAccess_STORE_ACCESS_FAILING: peers.Failing,
}

// applyUpdate runs an update of the directory and puts its result into effect.
func (r *Router) applyUpdate(update func(now time.Duration) []directory.Change, source string) {
	now := r.now()
	r.controlMu.Lock()
	changes := update(now)
	table := r.directory.Table()
	if len(changes) > 0 {
		r.publishDirectory(now)
	}
	if r.directory.Mirror(directory.Config).Initialized() {
		r.ordersKnown.Store(true)
	}
	r.controlMu.Unlock()
	if len(changes) > 0 {
		r.logChanges(changes, table, source)
	}
}

// publishDirectory puts the directory's content into effect. The caller holds r.controlMu, without which a concurrent
// update could publish older content last.
func (r *Router) publishDirectory(now time.Duration) {
	table, targets := r.directory.Table(), r.directory.Targets()
	r.table.Store(table)
	rates := r.warmupRates(table, targets)
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.SetWarmupRates(rates)
	r.loadTracker.SetTargets(now, targets, r.config.WithdrawnGrace)
	if r.config.Evacuations {
		r.loadTracker.SetEvacuated(r.directory.Evacuated())
		r.logEvacuatedServices(now, r.loadTracker.EvacuatedServices())
	}
}

// warmupRates returns the rates of all routers together at targets that warm up, in requests a second, for the services that
// limit them.
func (r *Router) warmupRates(table *routes.Table, targets []routes.Target) map[string]float64 {
	rates := make(map[string]float64)
	for i := range targets {
		if table == nil {
			break
		}
		if service := table.Service(targets[i].Service); service != nil && service.Warmup.Rate > 0 {
			// The conversion keeps processors from rounding the sum once only, which would differ between them.
			bound := float64(service.Warmup.Rate*r.config.WarmupRatio) + r.config.WarmupSlack
			rates[service.Name] = backpressure.WarmupRate(service.Warmup.Rate, bound)
		}
	}
	return rates
}

// logChanges counts and logs changes. Large groups of targets listed together, as after a start, share one line: on a
// small VM, logging a line for each takes longer than reading them, which delays requests.
func (r *Router) logChanges(changes []directory.Change, table *routes.Table, source string) {
	listed := 0
	for _, change := range changes {
		if change.Kind == directory.TargetListed {
			listed++
		}
	}
	if listed > maxTargetLogLines {
		r.log.WithFields(logrus.Fields{"event": directory.TargetListed, "targets": listed, "source": source}).Info("targets listed")
	}
	for _, change := range changes {
		r.meters.Event(change.Kind)
		if change.Kind == directory.TargetListed && listed > maxTargetLogLines {
			continue
		}
		entry := r.log.WithFields(logrus.Fields{"event": change.Kind, "key": change.Key, "revision": change.Revision, "source": source})
		switch {
		case change.Kind == directory.WarmupReplaced:
			// Targets that warm up write their entries again and again; only the begin is a change of state.
		case change.Kind == directory.WarmupInvalid:
			r.warmupInvalid.Do(func() { entry.WithError(change.Err).Warn("warm-up time of target ignored") })
		case change.Kind == directory.EvacuationInvalid:
			r.logInvalidEvacuation(entry.WithError(change.Err))
		case change.Kind == directory.EvacuationBegun || change.Kind == directory.EvacuationEnded || change.Kind == directory.EvacuationRetained:
			entry.Warn("evacuation of a zone changed")
		case change.Err != nil:
			entry.WithError(change.Err).Warn("store item refused")
		case change.Kind == directory.ConfigApplied:
			entry.WithFields(logrus.Fields{"version": table.Version, "routes": table.Routes()}).Info("configuration in force")
		default:
			entry.Info("target changed")
		}
	}
}
