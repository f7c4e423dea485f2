package router

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Limits of moving the run of a stalled stream.
const (
	// moveTimeout bounds the call that moves a run. The run is stopped before its memory is copied, so giving up a slow
	// call loses the handle without which the stream can't go on.
	moveTimeout = time.Second
	// maxMoves bounds the moves of one stream.
	maxMoves = 4
	// minMoveRemaining is the time until the deadline below which a run is left where it is.
	minMoveRemaining = 300 * time.Millisecond
)

// movedRun is a run that continues at another target, on a connection of its own.
type movedRun struct {
	run         routes.MovedRun
	source      place.Choice
	destination place.Choice
	// triedDestination is set once the destination has been asked to continue the run.
	triedDestination bool
}

// readLimit returns the time until which the target may go without a complete event. A slow stream is given all of its
// time if no other target could continue it.
func (x *exchange) readLimit() time.Time {
	if x.route.Resumable && x.runs+1 < x.route.MaxTargets && x.attempts < maxAttempts {
		return earlier(x.deadline, x.progressAt.Add(streamIdleTimeout))
	}
	return x.deadline
}

// readEvents reads the next part of a stream. A stalled stream is moved to another target, in which case x.moved is set
// and the read fails.
func (x *exchange) readEvents(ctx context.Context, read func(deadline time.Time, onTimeout func() (time.Time, bool)) (int, error)) (int, error) {
	limit := x.readLimit()
	deadline, known := x.stall.Deadline()
	if !known || !x.movable() || !deadline.Before(limit) {
		deadline = limit
	}
	return read(deadline, func() (time.Time, bool) {
		if !time.Now().Before(limit) || deadline.Equal(limit) {
			return time.Time{}, false
		}
		deadline = limit
		return limit, !x.move(ctx)
	})
}

// movable reports whether the run of the current attempt may be moved.
func (x *exchange) movable() bool {
	return x.movableRuns && x.moves < maxMoves && x.resumeAfter != "" && time.Until(x.deadline) > minMoveRemaining
}

// move stops the current run and copies it to another target, on which the stream then continues. It returns false if
// the run goes on where it is.
func (x *exchange) move(ctx context.Context) bool {
	r := x.router
	r.trafficMu.Lock()
	now := r.now()
	if r.loadTracker.Prefilling(now, x.choice.Target.ID) {
		r.trafficMu.Unlock()
		r.meters.Event("stream_slow")
		return false
	}
	if !r.loadTracker.MayCall(now, x.choice.Target) {
		r.trafficMu.Unlock()
		x.skipMove("target asked for a pause")
		return false
	}
	x.moves++
	destination, found := r.loadTracker.ChooseDestination(now, x.choice.Target, r.config.Zone, x.triedTargets)
	allowed := found && r.budget.AllowOptional(now, x.service)
	if allowed {
		x.reserve(now, destination)
	}
	r.trafficMu.Unlock()
	if !allowed {
		cause := "retry budget"
		if !found {
			cause = "no target with room"
		}
		x.skipMove(cause)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	startedAt := time.Now()
	run, stated, err := r.engines.Move(ctx, x.choice.Target.Address, x.request.ID, destination.Target.Address)
	r.recordCallStatements(x.choice.Target, stated)
	fields := logrus.Fields{
		"request": x.request.ID, "target": x.choice.Target.ID, "to": destination.Target.ID, "route": x.route.Name,
		"silent_ms": startedAt.Sub(x.lastAt).Milliseconds(), "ms": time.Since(startedAt).Milliseconds(), "after": x.resumeAfter,
	}
	if err != nil || !run.Copied {
		x.releaseReserved()
	}
	if err != nil {
		r.meters.Event("stream_move_failed")
		r.log.WithFields(fields).WithError(err).Info("stalled stream not moved")
		return false
	}
	fields["copied"], fields["made"] = run.Copied, run.Events
	r.meters.Event("stream_moved")
	r.log.WithFields(fields).Info("stalled stream moved")
	x.moved = &movedRun{run: run, source: x.choice, destination: destination, triedDestination: !run.Copied}
	if !run.Copied {
		x.startAtSource()
	}
	return true
}

func (x *exchange) skipMove(cause string) {
	x.router.meters.Event("stream_move_skipped")
	x.router.log.WithFields(logrus.Fields{"request": x.request.ID, "target": x.choice.Target.ID, "cause": cause}).Info("stalled stream not moved")
}

// startAtSource makes the target that stopped the run its next one.
func (x *exchange) startAtSource() {
	r := x.router
	r.trafficMu.Lock()
	x.reserve(r.now(), x.moved.source)
	r.trafficMu.Unlock()
	x.moved.destination, x.moved.triedDestination = x.moved.source, true
}

// reserve counts the moved run in the load of the target that is to continue it. The caller holds trafficMu.
func (x *exchange) reserve(now time.Duration, choice place.Choice) {
	choice.Number = 0 // the run has begun already
	x.router.loadTracker.Start(now, choice, place.Prompt{})
	x.reserved = choice.Target.ID
}

// releaseReserved takes the moved run out of the load of a target that was not asked to continue it, as when the client
// has left in the meantime.
func (x *exchange) releaseReserved() {
	if x.reserved == "" {
		return
	}
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	r.loadTracker.End(x.reserved, r.now(), place.Neutral, 0)
	x.reserved = ""
}

// nextTarget returns the target of the next attempt: the one to which the run was moved, or a newly chosen one.
func (x *exchange) nextTarget() (place.Choice, *place.Refusal) {
	if x.moved == nil {
		return x.chooseTarget()
	}
	if x.mayContinue() {
		return x.moved.destination, nil
	}
	if !x.moved.triedDestination {
		x.releaseReserved()
		x.startAtSource()
		if x.mayContinue() {
			return x.moved.destination, nil
		}
	}
	return place.Choice{}, &place.Refusal{Reason: reason.TargetRefused}
}

// mayContinue reports whether the moved run may continue at its destination, which may have asked for a pause meanwhile.
func (x *exchange) mayContinue() bool {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	return r.loadTracker.MayContinue(r.now(), x.moved.destination.Target)
}

// continueMoved decides what follows an attempt to continue a moved run. It returns true if the next attempt is due
// without a new run: the run was moved again, or its source can still continue it.
func (x *exchange) continueMoved(attempted *movedRun, result attemptResult) bool {
	switch {
	case x.moved != attempted:
		return true
	case attempted == nil:
		return false
	case !result.mayHaveRun && !attempted.triedDestination:
		x.startAtSource()
		return true
	}
	x.moved = nil
	return false
}
