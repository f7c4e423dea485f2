package control

import (
	"context"
	"testing"
	"time"
)

func runLoop(t *testing.T, l *Loop) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx, Handlers{
			OnTick:         func(time.Duration) {},
			OnPause:        func(_, _ time.Duration) {},
			Interval:       time.Millisecond,
			PauseThreshold: time.Second,
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// Guards against a function that still runs, and writes to its caller's variables, after Call has returned an error.
// Run it with the race detector.
func TestCallIsAllOrNothing(t *testing.T) {
	l := NewLoop(NewClock())
	runLoop(t, l)
	ran, failed := 0, 0
	for i := range 2000 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(i%50)*time.Microsecond)
		value := 0
		err := l.Call(ctx, func(time.Duration) { value = 1 })
		cancel()
		if (err == nil) != (value == 1) {
			t.Fatalf("error %v, but the function set %d", err, value)
		}
		if err == nil {
			ran++
		} else {
			failed++
		}
	}
	t.Logf("%d calls ran, %d were cancelled", ran, failed)
}

// Guards against a caller that blocks forever on a loop that has ended.
func TestCallReturnsWhenTheLoopHasEnded(t *testing.T) {
	l := NewLoop(NewClock())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, Handlers{Interval: time.Hour})
	if err := l.Call(context.Background(), func(time.Duration) { t.Error("the function was run") }); err == nil {
		t.Fatal("Call on an ended loop returned no error")
	}
}
