// Package control runs the single goroutine that owns a daemon's control state.
//
// All code that reads or changes control state is posted to the loop as a function; the functions run one after
// another. Goroutines that serve traffic never access that state; they read immutable snapshots published by the loop.
// The loop also detects that the process was paused, by a jump of the monotonic clock.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"
)

const queueLength = 1024

// Clock measures the time since the start of the process. It is monotonic and independent of the wall clock.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// NewIncarnation returns a random number that identifies this start of the process. It is never zero.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Sleep waits for the given duration. It returns false if the context ends first.
func Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// Loop runs functions on the control goroutine.
type Loop struct {
	clock Clock
	queue chan func(now time.Duration)
	done  chan struct{}
}

// NewLoop returns a loop that uses the given clock.
func NewLoop(clock Clock) *Loop {
	return &Loop{clock: clock, queue: make(chan func(time.Duration), queueLength), done: make(chan struct{})}
}

// Post queues a function for the loop. It returns false once the loop has ended.
func (l *Loop) Post(f func(now time.Duration)) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// Call runs a function on the loop and waits for it. If it returns an error, the function has not run and will not run,
// so the caller may safely use the variables that the function sets.
func (l *Loop) Call(ctx context.Context, f func(now time.Duration)) error {
	finished := make(chan struct{})
	var decided atomic.Bool
	posted := l.Post(func(now time.Duration) {
		if !decided.CompareAndSwap(false, true) {
			return
		}
		defer close(finished)
		f(now)
	})
	if !posted {
		return context.Canceled
	}
	select {
	case <-finished:
		return nil
	case <-l.done:
	case <-ctx.Done():
	}
	if decided.CompareAndSwap(false, true) {
		return context.Canceled
	}
	<-finished
	return nil
}

// Handlers holds the callbacks of the loop and their parameters.
type Handlers struct {
	// OnTick is called once per interval.
	OnTick func(now time.Duration)
	// OnPause is called before the next function or tick if the loop was held up for longer than PauseThreshold.
	OnPause func(now, gap time.Duration)
	// Interval is the time between ticks.
	Interval time.Duration
	// PauseThreshold is the longest delay of the loop that does not count as a pause.
	PauseThreshold time.Duration
}

// Run runs the loop until the context is cancelled.
func (l *Loop) Run(ctx context.Context, handlers Handlers) {
	defer close(l.done)
	ticker := time.NewTicker(handlers.Interval)
	defer ticker.Stop()
	lastRun := l.clock.Now()
	checkGap := func() time.Duration {
		now := l.clock.Now()
		if gap := now - lastRun; gap > handlers.PauseThreshold {
			handlers.OnPause(now, gap)
		}
		lastRun = now
		return now
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f(checkGap())
		case <-ticker.C:
			handlers.OnTick(checkGap())
		}
	}
}
