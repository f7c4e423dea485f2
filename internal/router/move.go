package router

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/stall"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// Limits of moving the run of a stalled stream.
const (
	// copyTimeout bounds the call that copies a run's memory while the run goes on.
	copyTimeout = time.Second
	// maxCopyTime is the duration of a copy above which the run is not stopped: its link is busy, and the rest of the
	// memory would wait there as well, without the run going on.
	maxCopyTime = 300 * time.Millisecond
	// stopResponseTimeout is how long a stream that has broken off waits for the response to the call that stops its run
	// before the source is asked to continue it. Clients abandon a silent stream after 2 s.
	stopResponseTimeout = 500 * time.Millisecond
	// releaseTimeout bounds the call that releases a copy, which the engines otherwise drop after some seconds.
	releaseTimeout = time.Second
	// movePollInterval is how often the result of a call is checked while the stream is read.
	movePollInterval = 5 * time.Millisecond
	// maxMoves bounds the moves of one stream.
	maxMoves = 4
	// minMoveRemaining is the time until the deadline below which a run is left where it is.
	minMoveRemaining = 300 * time.Millisecond
)

var moveChart = statechart.MustLoad(statechart.MoveVocabulary())

// errRunMoved ends the reading of a stream whose run continues elsewhere.
var errRunMoved = errors.New("run moved")

// runMove is the move of a run in progress. Its calls run beside the reading of the stream.
type runMove struct {
	chart       statechart.Instance[statechart.MoveState, statechart.MoveEvent, statechart.MoveAction]
	engine      *stall.Engine
	destination place.Choice
	silentFor   time.Duration
	startedAt   time.Time
	// call returns the result of the call in progress; nil if there is none.
	call chan moveResult
	// copied names the copied memory; empty before the first result.
	copied routes.MovedRun
}

type moveResult struct {
	run    routes.MovedRun
	stated routes.Statements
	err    error
}

// movedRun is a run that continues at another target, on a connection of its own.
type movedRun struct {
	run    routes.MovedRun
	source place.Choice
	// copyAt has the copied memory; destination, which is copyAt or the source, is to continue the run.
	copyAt      place.Choice
	destination place.Choice
	// triedDestination is set once the destination has been asked to continue the run.
	triedDestination bool
	// call returns the late response to the call that stopped the run; nil if that has been answered.
	call chan moveResult
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
// and the read fails. The stream is read all the while, since its events may arrive in the meantime.
func (x *exchange) readEvents(read func(deadline time.Time, onTimeout func() (time.Time, bool)) (int, error)) (int, error) {
	limit := x.readLimit()
	deadline, known := x.stall.Deadline()
	if !known || !x.movable() || !deadline.Before(limit) {
		deadline = limit
	}
	if x.pollMove() {
		return 0, errRunMoved
	}
	if x.moveCallPending() {
		deadline = earlier(limit, time.Now().Add(movePollInterval))
	}
	n, err := read(deadline, func() (time.Time, bool) {
		if !time.Now().Before(limit) || deadline.Equal(limit) {
			return time.Time{}, false
		}
		switch {
		case x.move == nil:
			x.startMove()
		case x.pollMove():
			return time.Time{}, false
		}
		deadline = limit
		if x.moveCallPending() {
			deadline = earlier(limit, time.Now().Add(movePollInterval))
		}
		return deadline, true
	})
	if n > 0 {
		x.fireMove(statechart.MoveOnEvent)
	}
	return n, err
}

// movable reports whether the run of the current attempt may be moved.
func (x *exchange) movable() bool {
	return x.movableRuns && x.moves < maxMoves && x.resumeAfter != "" && time.Until(x.deadline) > minMoveRemaining
}

// startMove begins to copy the current run to another target, unless the run had better stay where it is.
func (x *exchange) startMove() {
	r := x.router
	now := time.Now()
	if !x.engine.BeginMove(now) {
		x.skipMove("engine is silent or moves another run")
		return
	}
	if !x.chooseDestination() {
		x.engine.EndMove()
		return
	}
	x.moves++
	x.move.chart, x.move.engine = moveChart.New(), x.engine
	x.move.startedAt, x.move.silentFor = now, now.Sub(x.lastAt)
	x.callEngine(r.engines.Copy, now.Add(copyTimeout))
}

// chooseDestination chooses where the current run could continue.
func (x *exchange) chooseDestination() bool {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	now := r.now()
	if r.loadTracker.Prefilling(now, x.choice.Target.ID) {
		r.meters.Event("stream_slow")
		return false
	}
	if exclusion, excluded := r.loadTracker.Excluded(now, x.choice.Target, place.MoveSource); excluded {
		x.skipMove(causeToStay(exclusion))
		return false
	}
	destination, found := r.loadTracker.ChooseDestination(now, x.choice.Target, r.config.Zone, x.triedTargets)
	if !found {
		x.skipMove("no target with room")
		return false
	}
	x.move = &runMove{destination: destination}
	x.reserve(now, destination)
	return true
}

// callEngine makes a call to the engine of the current run. The call outlives the request, as its result names what is to
// be released.
func (x *exchange) callEngine(call func(ctx context.Context, address, requestID, to string) (routes.MovedRun, routes.Statements, error), deadline time.Time) {
	result := make(chan moveResult, 1)
	x.move.call = result
	address, id, to := x.choice.Target.Address, x.request.ID, x.move.destination.Target.Address
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		run, stated, err := call(ctx, address, id, to)
		result <- moveResult{run, stated, err}
	}()
}

func (x *exchange) moveCallPending() bool { return x.move != nil && x.move.call != nil }

// pollMove handles the result of a call that has ended. It returns true if the run has been moved.
func (x *exchange) pollMove() bool {
	if !x.moveCallPending() {
		return false
	}
	select {
	case result := <-x.move.call:
		return x.handleMoveResult(result)
	default:
		return false
	}
}

// handleMoveResult handles the result of a call. It returns true if the run has been moved.
func (x *exchange) handleMoveResult(result moveResult) bool {
	r, move := x.router, x.move
	move.call = nil
	r.recordCallStatements(x.choice.Target, result.stated)
	if result.run.Reference != "" {
		move.copied = result.run
	}
	if move.chart.State() == statechart.MoveCopying {
		if cause := x.reasonToStay(result); cause != "" {
			x.logMove("stream_move_failed", "stalled stream not moved", result.err, cause)
			x.fireMove(statechart.MoveOnFailed)
		} else {
			x.fireMove(statechart.MoveOnCopied)
		}
		return false
	}
	switch {
	case result.err == nil:
		x.fireMove(statechart.MoveOnStopped)
		x.continueFrom(result.run)
		return true
	case errors.Is(result.err, routes.ErrRunNotStopped):
		x.logMove("stream_move_failed", "stalled stream not moved", result.err, "run not stopped")
		x.fireMove(statechart.MoveOnNotStopped)
	default:
		x.logMove("stream_move_unanswered", "run of a stalled stream may have stopped", result.err, "")
		x.fireMove(statechart.MoveOnUnanswered)
	}
	return false
}

// reasonToStay returns why a run is not stopped after its memory has been copied, or an empty text.
func (x *exchange) reasonToStay(copied moveResult) string {
	r := x.router
	switch {
	case copied.err != nil || !copied.run.Copied:
		return "copy failed"
	case time.Since(x.move.startedAt) > maxCopyTime:
		return "link is busy"
	case x.engine.Silent(time.Now()):
		return "engine is silent"
	case time.Until(x.deadline) <= minMoveRemaining:
		return "deadline"
	}
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	now := r.now()
	exclusion, excluded := r.loadTracker.Excluded(now, x.choice.Target, place.MoveSource)
	switch {
	case excluded:
		return causeToStay(exclusion)
	case !r.budget.AllowOptional(now, x.service):
		return "retry budget"
	}
	return ""
}

// causeToStay describes why calls that move a run may not be made to its target.
func causeToStay(exclusion place.Exclusion) string {
	if exclusion == place.Paused {
		return "target asked for a pause"
	}
	return "target is " + exclusion.String()
}

// continueFrom makes the copied run the one to continue.
func (x *exchange) continueFrom(run routes.MovedRun) {
	x.logMove("stream_moved", "stalled stream moved", nil, "")
	x.moved = &movedRun{
		run: run, source: x.choice, copyAt: x.move.destination, destination: x.move.destination,
		triedDestination: !run.Copied, call: x.move.call,
	}
	if !run.Copied {
		x.releaseReserved()
		x.startAtSource()
	}
	x.move.engine.EndMove()
	x.move = nil
}

// fireMove takes a transition of the move in progress, if there is one and its state lists the event.
func (x *exchange) fireMove(event statechart.MoveEvent) {
	if x.move == nil || !x.move.chart.Lists(event) {
		return
	}
	actions, err := x.move.chart.Fire(event)
	if err != nil {
		x.router.log.WithError(err).Error("move of a stream out of step") // Lists rules this out
		return
	}
	for _, action := range actions {
		switch action {
		case statechart.MoveDoStop:
			x.callEngine(x.router.engines.Move, x.deadline)
		case statechart.MoveDoRelease:
			x.releaseMove()
		case statechart.MoveDoAwait:
			x.awaitMove()
		case statechart.MoveDoContinueAtSource:
			x.move.copied.Copied = false
			x.continueFrom(x.move.copied)
		}
	}
}

// awaitMove waits for the response to the call that stops the run, without which a stream that has broken off can't go on.
func (x *exchange) awaitMove() {
	timeout := time.NewTimer(stopResponseTimeout)
	defer timeout.Stop()
	select {
	case result := <-x.move.call:
		x.handleMoveResult(result)
	case <-timeout.C:
		x.logMove("stream_move_unanswered", "run of a stalled stream may have stopped", nil, "no response in time")
		x.fireMove(statechart.MoveOnUnanswered)
	case <-x.r.Context().Done():
	case <-x.router.cutoff.Done():
	}
	if x.move != nil && x.move.chart.State() == statechart.MoveUnknown {
		x.fireMove(statechart.MoveOnBreak)
	}
}

// awaitLateMove waits for the response to the call that stopped a run which the source does not continue, as while it
// still copies the memory.
func (x *exchange) awaitLateMove(attempted *movedRun) bool {
	timeout := time.NewTimer(time.Until(x.deadline))
	defer timeout.Stop()
	select {
	case result := <-attempted.call:
		attempted.call = nil
		if result.err != nil || !result.run.Copied {
			x.router.log.WithField("request", x.request.ID).WithError(result.err).Info("moved run has no copy")
			return false
		}
		attempted.run, attempted.destination = result.run, attempted.copyAt
		x.router.trafficMu.Lock()
		x.reserve(x.router.now(), attempted.destination)
		x.router.trafficMu.Unlock()
		return true
	case <-timeout.C:
	case <-x.r.Context().Done():
	case <-x.router.cutoff.Done():
	}
	return false
}

// releaseMove ends the move of a run that stays where it is.
func (x *exchange) releaseMove() {
	r, move, target := x.router, x.move, x.choice.Target
	x.move = nil
	x.releaseReserved()
	go func() {
		defer move.engine.EndMove()
		if move.call != nil {
			result := <-move.call
			r.recordCallStatements(target, result.stated)
			if result.run.Reference != "" {
				move.copied = result.run
			}
		}
		if move.copied.Reference != "" {
			r.releaseCopy(target, move.copied)
		}
	}()
}

func (r *Router) releaseCopy(source routes.Target, run routes.MovedRun) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	stated, err := r.engines.Release(ctx, source.Address, run)
	r.recordCallStatements(source, stated)
	if err != nil {
		r.meters.Event("copy_not_released")
		r.log.WithFields(logrus.Fields{"target": source.ID}).WithError(err).Info("copy of a run not released")
	}
}

// logMove counts and logs a result of the move in progress.
func (x *exchange) logMove(event, message string, err error, cause string) {
	move := x.move
	fields := logrus.Fields{
		"request": x.request.ID, "target": x.choice.Target.ID, "to": move.destination.Target.ID, "route": x.route.Name,
		"silent_ms": move.silentFor.Milliseconds(), "ms": time.Since(move.startedAt).Milliseconds(), "after": x.resumeAfter,
		"copied": move.copied.Copied, "made": move.copied.Events,
	}
	if cause != "" {
		fields["cause"] = cause
	}
	entry := x.router.log.WithFields(fields)
	if err != nil {
		entry = entry.WithError(err)
	}
	x.router.meters.Event(event)
	entry.Info(message)
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
	if x.beginContinuation() {
		return x.moved.destination, nil
	}
	if !x.moved.triedDestination {
		x.releaseReserved()
		x.startAtSource()
		if x.beginContinuation() {
			return x.moved.destination, nil
		}
	}
	return place.Choice{}, &place.Refusal{Reason: reason.TargetRefused}
}

// beginContinuation reports whether the moved run may continue at its destination, which may have asked for a pause
// meanwhile, and records that it is sent there.
func (x *exchange) beginContinuation() bool {
	r := x.router
	r.trafficMu.Lock()
	defer r.trafficMu.Unlock()
	now := r.now()
	if !r.loadTracker.Allowed(now, x.moved.destination.Target, place.Continuation) {
		return false
	}
	r.loadTracker.Continued(now, x.moved.destination.Target)
	return true
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
	case !result.mayHaveRun && attempted.call != nil:
		return x.awaitLateMove(attempted)
	}
	x.moved = nil
	return false
}
