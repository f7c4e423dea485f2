package control

import (
	"context"
	"testing"
	"time"
)

func run(t *testing.T, l *Loop) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx, Handlers{
			Tick:     func(time.Duration) {},
			Gap:      func(_, _ time.Duration) {},
			Interval: time.Millisecond,
			GapLimit: time.Second,
		})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}

// Guards against a function that still runs, and writes to its caller's variables, after the caller was told that it
// did not. Run it with the race detector.
func TestCallIsAllOrNothing(t *testing.T) {
	l := NewLoop(NewClock())
	run(t, l)
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
	t.Logf("%d ran, %d were given up", ran, failed)
}

// Guards against a caller that waits for ever for a loop that has ended.
func TestCallReturnsWhenTheLoopHasEnded(t *testing.T) {
	l := NewLoop(NewClock())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx, Handlers{Interval: time.Hour})
	if err := l.Call(context.Background(), func(time.Duration) { t.Error("the function ran") }); err == nil {
		t.Fatal("no error")
	}
}
