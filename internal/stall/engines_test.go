package stall

import (
	"testing"
	"time"
)

// Guards against a silent engine that is taken for a lost packet, and against one stalled connection that is taken for a
// silent engine.
func TestSilentEngine(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		streams int
		// lastEvent is the time since the latest event of any stream.
		lastEvent time.Duration
		silent    bool
	}{
		"single stream":                {1, 250 * ms, false},
		"others go on":                 {3, 40 * ms, false},
		"others ended their silence":   {3, 99 * ms, false},
		"all streams are silent":       {3, 230 * ms, true},
		"two streams, both are silent": {2, 150 * ms, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			engines := NewEngines()
			var engine *Engine
			for range c.streams {
				engine = engines.Begin("e")
			}
			engine.Event(now.Add(-c.lastEvent))
			if got := engine.Silent(now); got != c.silent {
				t.Errorf("silent %t", got)
			}
			if got := engine.BeginMove(now); got == c.silent {
				t.Errorf("a move may begin: %t", got)
			}
		})
	}
}

// Guards against several runs of one engine that are copied at a time, and against engines that are kept after their
// last stream.
func TestMovesOfAnEngineFollowEachOther(t *testing.T) {
	now := time.Now()
	engines := NewEngines()
	first, second, other := engines.Begin("a"), engines.Begin("a"), engines.Begin("b")
	first.Event(now)
	if !first.BeginMove(now) || second.BeginMove(now) {
		t.Error("two runs of one engine are moved at a time")
	}
	if !other.BeginMove(now) {
		t.Error("runs of different engines exclude each other")
	}
	first.EndMove()
	if !second.BeginMove(now) {
		t.Error("no second move after the end of the first")
	}
	first.End()
	second.End()
	second.EndMove()
	other.EndMove()
	other.End()
	if len(engines.byID) > 0 {
		t.Errorf("%d engines are kept", len(engines.byID))
	}
}
