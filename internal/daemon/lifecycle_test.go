package daemon

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

func newTestLifecycle() (*Lifecycle, *int) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	l := NewLifecycle(logrus.NewEntry(logger))
	handovers := new(int)
	l.OnHandOver(func() { *handovers++ })
	return l, handovers
}

// A draining daemon must not become ready again or hand over twice.
func TestLifecycle(t *testing.T) {
	cases := []struct {
		name      string
		events    []func(*Lifecycle)
		state     statechart.DaemonState
		ready     bool
		handovers int
	}{
		{"starting", nil, statechart.DaemonStarting, false, 0},
		{"ready", []func(*Lifecycle){(*Lifecycle).Prepared}, statechart.DaemonReady, true, 0},
		{"terminated while starting", []func(*Lifecycle){(*Lifecycle).Terminate}, statechart.DaemonDraining, false, 1},
		{"prepared while draining", []func(*Lifecycle){(*Lifecycle).Terminate, (*Lifecycle).Prepared}, statechart.DaemonDraining, false, 1},
		{"stopped", []func(*Lifecycle){(*Lifecycle).Prepared, (*Lifecycle).Terminate, (*Lifecycle).Finished}, statechart.DaemonStopped, false, 1},
		{"drain limit reached", []func(*Lifecycle){(*Lifecycle).Prepared, (*Lifecycle).Terminate, (*Lifecycle).LimitReached}, statechart.DaemonAborted, false, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, handovers := newTestLifecycle()
			for _, event := range c.events {
				event(l)
			}
			if l.State() != c.state || l.Ready() != c.ready || *handovers != c.handovers {
				t.Fatalf("state %s, ready %v, %d handovers", l.State(), l.Ready(), *handovers)
			}
		})
	}
}
