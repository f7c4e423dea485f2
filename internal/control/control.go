// Package control runs the one goroutine that owns a daemon's control state.
//
// Everything that reads or changes control state is a function posted to the loop; the functions run one after
// another. Traffic goroutines never touch that state: they read immutable snapshots that the loop publishes. The
// loop also notices when the process was paused, by a gap on the monotonic clock.
package control

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync/atomic"
	"time"
)

const queueLength = 1024

// Clock measures time since the start of the process. It is monotonic and does not follow the wall clock.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that starts at zero.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the time since the start.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// NewIncarnation returns the random number of this process start; it is never zero.
func NewIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// Sleep waits, and reports false when the context ends first.
func Sleep(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
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

// NewLoop returns a loop that measures time with the clock.
func NewLoop(clock Clock) *Loop {
	return &Loop{clock: clock, queue: make(chan func(time.Duration), queueLength), done: make(chan struct{})}
}

// Post hands a function to the loop. It reports false after the loop has ended.
func (l *Loop) Post(f func(now time.Duration)) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// Call runs a function on the loop and waits for it. After an error the function has not run and will not, so that the
// caller may use the variables that it sets.
func (l *Loop) Call(ctx context.Context, f func(now time.Duration)) error {
	finished := make(chan struct{})
	var claimed atomic.Bool
	posted := l.Post(func(now time.Duration) {
		if !claimed.CompareAndSwap(false, true) {
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
	if claimed.CompareAndSwap(false, true) {
		return context.Canceled
	}
	<-finished
	return nil
}

// Handlers are the functions that the loop calls by itself.
type Handlers struct {
	// Tick is called at every interval.
	Tick func(now time.Duration)
	// Gap is called before anything else when the loop was held up for longer than GapLimit.
	Gap func(now, gap time.Duration)
	// Interval is the time between ticks.
	Interval time.Duration
	// GapLimit is the shortest pause that counts as a gap.
	GapLimit time.Duration
}

// Run serves the loop until the context ends.
func (l *Loop) Run(ctx context.Context, handlers Handlers) {
	defer close(l.done)
	ticker := time.NewTicker(handlers.Interval)
	defer ticker.Stop()
	last := l.clock.Now()
	check := func() time.Duration {
		now := l.clock.Now()
		if gap := now - last; gap > handlers.GapLimit {
			handlers.Gap(now, gap)
		}
		last = now
		return now
	}
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.queue:
			f(check())
		case <-ticker.C:
			handlers.Tick(check())
		}
	}
}
