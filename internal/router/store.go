package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/directory"
	"github.com/amaranthlb/amaranthlb/internal/pb"
	"github.com/amaranthlb/amaranthlb/internal/peers"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Times of reading the store.
const (
	// watchWait is how long the store holds a watch. A connection that went silent is noticed after it, so it is as long as
	// the bound for a configuration allows.
	watchWait = 3 * time.Second
	// confirmWait is how long the store holds the first watch of a router that begins to read. Until it is answered no other
	// router relies on this one, and all would begin to read after readerSilence.
	confirmWait = 200 * time.Millisecond
	// watchMargin is the time beyond it after which the store counts as unreachable.
	watchMargin = 700 * time.Millisecond
	// readTimeout bounds the read of a whole range at first. It is doubled after each timeout up to readTimeoutLast: when
	// hundreds of routers start at once they share the store's link, and one that gives up and begins anew adds to the load.
	readTimeout     = 2500 * time.Millisecond
	readTimeoutLast = 10 * time.Second
	// retryFirst and retryLast bound the pause after a failed call to the store, which is doubled each time.
	retryFirst = 100 * time.Millisecond
	retryLast  = 600 * time.Millisecond
	// retryOthers is the pause while other routers try the store for all. A router that only the store reaches is heard by
	// nobody and goes on at the short pause; the rest hear of the store's return within two digests.
	retryOthers = 2 * time.Second
	// batchDelay is the pause between calls to the store, in which changes gather that cost a call each otherwise.
	batchDelay = 250 * time.Millisecond
	// maxTargetLogLines is the number of targets listed by one read up to which each has a line of its own: more than are added
	// together by hand or by a scaling platform.
	maxTargetLogLines = 50
	// firstReadStart is the time after the first start of all VMs at which the readers begin. Callers come some seconds
	// later. Of 74 VMs some had heard of few others 0.8 s after the start, and 40 of them read the store.
	firstReadStart = 1600 * time.Millisecond
	// firstReadWait is the time for which the others leave the store to the readers, and get its content from them.
	firstReadWait = 3500 * time.Millisecond
	// readerPoll is how often a router looks whether it has to read the store.
	readerPoll = 100 * time.Millisecond
)

// readStore keeps a range up to date until the context ends.
func (r *Router) readStore(ctx context.Context, of directory.Range) {
	prefix := r.config.Prefixes[of]
	pause, limit := retryFirst, readTimeout
	whole := false
	for ctx.Err() == nil {
		if !r.readsStore(of) {
			// What comes meanwhile is relayed by other routers, so a watch can go on from there.
			whole = false
			sleep(ctx, readerPoll)
			continue
		}
		err := r.readOnce(ctx, of, prefix, whole || !r.filled(of), limit)
		switch {
		case err == nil:
			whole = false
			pause, limit = retryFirst, readTimeout
			r.storeAnswered(of)
			sleep(ctx, batchDelay)
			continue
		case ctx.Err() != nil:
			return
		case r.store.HistoryGone(err):
			r.log.WithField("prefix", prefix).Info("store's history gone: reading the whole range")
			whole = true
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			limit = min(2*limit, readTimeoutLast)
		}
		r.storeFailed(of, err)
		r.store.Reconnect()
		if r.canDeferToPeers(of) {
			pause = retryOthers
		}
		jitter := time.Duration(rand.Int64N(int64(pause)))
		sleep(ctx, pause/2+jitter)
		pause = min(2*pause, retryLast)
	}
}

// canDeferToPeers reports whether this router may leave a failing store to others. One without content has no time to lose.
func (r *Router) canDeferToPeers(of directory.Range) bool {
	r.control.Lock()
	defer r.control.Unlock()
	return r.directory.Mirror(of).Filled() && r.members.OthersProbe(r.now())
}

// readsStore decides whether this router reads the range now.
func (r *Router) readsStore(of directory.Range) bool {
	r.control.Lock()
	defer r.control.Unlock()
	reads := r.mustRead(of, r.now())
	if !reads && r.access[of] != peers.Relayed {
		r.access[of] = peers.Relayed
		r.log.WithField("prefix", r.config.Prefixes[of]).Info("store read by others")
	}
	return reads
}

// mustRead decides whether this router reads the range. Control is locked.
func (r *Router) mustRead(of directory.Range, now time.Duration) bool {
	switch {
	case r.forceRead[of]:
		return true
	case r.directory.Mirror(of).Filled():
		return r.members.ReadsStore(now)
	case r.config.FirstStart && now < firstReadWait:
		return now >= firstReadStart && r.members.RanksAsReader(now)
	}
	// After a restart there is no time to wait for others' news.
	return true
}

func (r *Router) filled(of directory.Range) bool {
	r.control.Lock()
	defer r.control.Unlock()
	return r.directory.Mirror(of).Filled()
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// readOnce makes one call and takes its result. The limit bounds the read of a whole range.
func (r *Router) readOnce(ctx context.Context, of directory.Range, prefix string, whole bool, limit time.Duration) error {
	if whole {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		revision, items, err := r.store.Range(ctx, prefix)
		if err != nil {
			return err
		}
		r.applyUpdate(func(now time.Duration) []directory.Change { return r.directory.Reset(now, of, revision, items) }, "store")
		return nil
	}
	r.control.Lock()
	after := r.directory.Mirror(of).Revision()
	wait := watchWait
	if r.access[of] != peers.Reading {
		wait = confirmWait
	}
	r.control.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+watchMargin)
	defer cancel()
	revision, events, err := r.store.Watch(ctx, prefix, after, wait)
	if err != nil {
		return err
	}
	r.applyUpdate(func(now time.Duration) []directory.Change { return r.directory.Apply(now, of, revision, events) }, "store")
	if len(events) > 0 {
		r.broadcastChanges(of, after, revision, events)
	}
	return nil
}

func (r *Router) storeAnswered(of directory.Range) {
	r.control.Lock()
	regained := r.access[of] != peers.Reading
	r.access[of] = peers.Reading
	r.forceRead[of] = false
	r.confirmed[of] = r.now()
	r.control.Unlock()
	if regained {
		r.meters.Event("store_regained")
		r.log.WithField("prefix", r.config.Prefixes[of]).Info("store read")
	}
}

func (r *Router) storeFailed(of directory.Range, err error) {
	r.control.Lock()
	lost := r.access[of] != peers.Failing
	r.access[of] = peers.Failing
	r.directory.StoreFailed(r.now())
	r.control.Unlock()
	r.meters.Event("store_call_failed")
	if lost {
		r.log.WithError(err).WithField("prefix", r.config.Prefixes[of]).Warn("store lost")
	}
}

// storeAccess returns the access to the store as a whole: the worst of the ranges.
func (r *Router) storeAccess() pb.StoreAccess {
	access := pb.StoreAccess_STORE_ACCESS_READING
	for _, of := range directory.All() {
		switch r.access[of] {
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

// applyUpdate runs a change of the directory and puts its result in force.
func (r *Router) applyUpdate(update func(now time.Duration) []directory.Change, source string) {
	now := r.now()
	r.control.Lock()
	changes := update(now)
	table := r.directory.Table()
	targets := r.directory.Targets()
	r.control.Unlock()
	if len(changes) == 0 {
		return
	}
	r.table.Store(table)
	r.traffic.Lock()
	r.loadTracker.SetTargets(now, targets, r.config.WithdrawnGrace)
	r.traffic.Unlock()
	r.logChanges(changes, table, source)
}

// logChanges counts and logs changes. Many targets that are listed together, as after a start, share one line: a line each
// takes a small VM longer than reading them, while callers wait.
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
		case change.Err != nil:
			entry.WithError(change.Err).Warn("store item refused")
		case change.Kind == directory.ConfigTaken:
			entry.WithFields(logrus.Fields{"version": table.Version, "routes": table.Routes()}).Info("configuration in force")
		default:
			entry.Info("target changed")
		}
	}
}
