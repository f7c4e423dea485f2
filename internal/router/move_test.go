package router_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/router"
	"github.com/amaranthlb/amaranthlb/platform/platformtest"
)

// events returns the events of a complete stream.
func events(count int) string {
	var want strings.Builder
	for i := 1; i <= count; i++ {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return want.String()
}

// Guards against streams that wait for the retransmission of a lost packet although their run could continue on another
// connection, and against events that are lost, repeated or taken from a second run when it does. The load is a stream
// whose events stop arriving while its target goes on.
func TestStalledStreamIsMoved(t *testing.T) {
	const count, stall = 30, time.Second
	for name, c := range map[string]struct {
		path  string
		move  int
		moves bool
		// limit bounds the duration of the whole stream.
		limit time.Duration
		// continuedAtSource is set if the target that stopped the run continues it.
		continuedAtSource bool
	}{
		"a stream that must not run again": {path: "/chat/", move: http.StatusOK, moves: true, limit: stall},
		"a stream that may be resumed":     {path: "/check/", move: http.StatusOK, moves: true, limit: stall},
		"no room at the other target": {
			path: "/chat/", move: http.StatusServiceUnavailable, moves: true, limit: stall, continuedAtSource: true,
		},
		"the call is refused, the run goes on": {path: "/chat/", limit: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			behavior := platformtest.Behavior{Events: count, Work: 10 * time.Millisecond, StallAfter: 6, Stall: stall, Move: c.move}
			var all []*platformtest.Target
			for i := range 3 {
				target := f.target(fmt.Sprint("llm-", i), "llm", platformtest.Behavior{})
				target.SetBehavior(func(r *http.Request) platformtest.Behavior {
					behavior := behavior
					if platformtest.ContinuesRun(r) {
						behavior.StallAfter = 0
					}
					return behavior
				})
				all = append(all, target)
			}
			f.awaitReady()
			await(t, "all targets are known", func() bool { return strings.Count(f.routers[0].output.String(), "target_listed") >= len(all) })
			got := f.send(post(c.path, "1"))
			if got.err != nil || got.body != events(count) {
				t.Errorf("error %v, body %q", got.err, got.body)
			}
			if got.took > c.limit {
				t.Errorf("the stream took %v, want at most %v", got.took, c.limit)
			}
			var runs []platformtest.Run
			for _, target := range all {
				runs = append(runs, target.Runs()...)
			}
			var first, next []platformtest.Run
			for _, run := range runs {
				if run.ContinuedFrom == "" {
					first = append(first, run)
				} else {
					next = append(next, run)
				}
			}
			if len(first) != 1 {
				t.Fatalf("%d runs, want 1: %+v", len(first), first)
			}
			if !c.moves {
				if len(next) > 0 {
					t.Errorf("a run that was not stopped was continued: %+v", next)
				}
				return
			}
			if len(next) != 1 || !first[0].Moved {
				t.Fatalf("continued %d times, moved %t", len(next), first[0].Moved)
			}
			if atSource := next[0].Target == first[0].Target; atSource != c.continuedAtSource {
				t.Errorf("continued at %s, started at %s", next[0].Target, first[0].Target)
			}
			if after := next[0].Header.Get("Last-Event-Id"); after != "6" {
				t.Errorf("continued after event %q, want 6", after)
			}
		})
	}
}

// Guards against a moved stream that ends as complete although neither target could continue it.
func TestMovedStreamThatCannotContinueIsCut(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 2 {
		target := f.target(fmt.Sprint("llm-", i), "llm", platformtest.Behavior{})
		target.SetBehavior(func(r *http.Request) platformtest.Behavior {
			return platformtest.Behavior{
				Events: 30, Work: 10 * time.Millisecond, StallAfter: 6, Stall: time.Second, Move: http.StatusOK,
				NotRun: platformtest.ContinuesRun(r),
			}
		})
	}
	f.awaitReady()
	got := f.send(post("/chat/", "1"))
	if got.err == nil {
		t.Errorf("the stream ended as complete: %q", got.body)
	}
	if got.body != events(6) {
		t.Errorf("the caller received %q", got.body)
	}
}

// Guards against slow but sound streams that are moved over and over, and against moves that use up the retry budget.
func TestMovesOfAStreamAreBounded(t *testing.T) {
	const maxMoves = 4
	f := newFleet(t, 1)
	var all []*platformtest.Target
	for i := range 3 {
		all = append(all, f.target(fmt.Sprint("llm-", i), "llm", platformtest.Behavior{
			Events: 30, Work: 10 * time.Millisecond, StallAfter: 3, Stall: 400 * time.Millisecond, Move: http.StatusOK,
		}))
	}
	f.awaitTargets(len(all))
	if got := f.send(post("/chat/", "1")); got.err != nil || got.body != events(30) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
	continued := 0
	for _, target := range all {
		for _, run := range target.Runs() {
			if run.ContinuedFrom != "" {
				continued++
			}
		}
	}
	if continued == 0 || continued > maxMoves {
		t.Errorf("the run was moved %d times, want 1 to %d", continued, maxMoves)
	}
}

// movingTargets starts targets that stream count events and can move their runs.
func (f *fleet) movingTargets(targetCount int, behavior platformtest.Behavior) []*platformtest.Target {
	f.t.Helper()
	var all []*platformtest.Target
	for i := range targetCount {
		target := f.target(fmt.Sprint("llm-", i), "llm", platformtest.Behavior{})
		target.SetBehavior(func(r *http.Request) platformtest.Behavior {
			behavior := behavior
			if platformtest.ContinuesRun(r) {
				behavior.StallAfter = 0
			}
			return behavior
		})
		all = append(all, target)
	}
	f.awaitReady()
	await(f.t, "all targets are known", func() bool { return strings.Count(f.routers[0].output.String(), "target_listed") >= targetCount })
	return all
}

// Guards against streams that are lost because all streams of an engine that pauses are moved, and their copies take
// longer than the pause.
func TestPausedEngineKeepsItsStreams(t *testing.T) {
	const count, streams = 60, 15
	for name, framed := range map[string]bool{"chunked": true, "ended by the connection": false} {
		t.Run(name, func(t *testing.T) {
			f := newFleetWith(t, 1, func(config *router.Config) { config.RetrySlack = 1000 })
			all := f.movingTargets(3, platformtest.Behavior{
				Events: count, Work: 20 * time.Millisecond, Move: http.StatusOK, CopyTime: 400 * time.Millisecond, Unframed: !framed,
			})
			var group sync.WaitGroup
			for i := range streams {
				group.Go(func() {
					if got := f.send(post("/chat/", fmt.Sprint(i))); got.err != nil || got.body != events(count) {
						t.Errorf("stream %d: status %d, error %v, ends with %q", i, got.status, got.err, got.body[max(len(got.body)-40, 0):])
					}
				})
			}
			await(t, "all streams run", func() bool {
				running := 0
				for _, target := range all {
					running += len(target.Runs())
				}
				return running >= streams
			})
			time.Sleep(200 * time.Millisecond)
			all[0].Pause(400 * time.Millisecond)
			group.Wait()
		})
	}
}

// Guards against a stream that is lost because the response to the call that stopped its run is late or does not arrive.
func TestStreamOutlivesLostResponseToMove(t *testing.T) {
	const count, never = 30, time.Minute
	for name, c := range map[string]struct {
		stopTime time.Duration
		unframed bool
		// sourceRefuses is set if the source does not continue the run, as while it still copies the memory.
		sourceRefuses bool
	}{
		"lost":                              {stopTime: never},
		"lost, stream ends with connection": {stopTime: never, unframed: true},
		"late":                              {stopTime: 800 * time.Millisecond, sourceRefuses: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			all := f.movingTargets(3, platformtest.Behavior{})
			for _, target := range all {
				target.SetBehavior(func(r *http.Request) platformtest.Behavior {
					behavior := platformtest.Behavior{
						Events: count, Work: 10 * time.Millisecond, StallAfter: 6, Stall: time.Second, Move: http.StatusOK,
						StopTime: c.stopTime, Unframed: c.unframed,
					}
					if platformtest.ContinuesRun(r) {
						behavior.StallAfter = 0
						behavior.NotRun = c.sourceRefuses && target.ContinuesRunOf(r)
					}
					return behavior
				})
			}
			got := f.send(post("/chat/", "1"))
			if got.err != nil || got.body != events(count) {
				t.Errorf("error %v, body %q", got.err, got.body)
			}
			for _, target := range all {
				for _, run := range target.Runs() {
					atSource := strings.HasPrefix(run.ContinuedFrom, target.Address)
					if run.ContinuedFrom != "" && atSource == c.sourceRefuses {
						t.Errorf("continued at the source: %t", atSource)
					}
				}
			}
		})
	}
}

// Guards against a stream whose events are held back, or whose run is stopped, although they arrive again while its
// memory is being copied, and against a copy that is left behind.
func TestStreamThatResumesDuringCopyStays(t *testing.T) {
	const count = 30
	f := newFleet(t, 1)
	all := f.movingTargets(3, platformtest.Behavior{
		Events: count, Work: 10 * time.Millisecond, StallAfter: 6, Stall: 300 * time.Millisecond, Move: http.StatusOK, CopyTime: 600 * time.Millisecond,
	})
	got := f.send(post("/chat/", "1"))
	if got.err != nil || got.body != events(count) {
		t.Errorf("error %v, body %q", got.err, got.body)
	}
	const work = count * 12 * time.Millisecond
	if limit := work + 500*time.Millisecond; got.took > limit {
		t.Errorf("the stream took %v, want at most %v", got.took, limit)
	}
	var source *platformtest.Target
	for _, target := range all {
		for _, run := range target.Runs() {
			if run.ContinuedFrom != "" || run.Moved {
				t.Errorf("moved: %+v", run)
			}
			source = target
		}
	}
	await(t, "the copy is released", func() bool { return len(source.Released()) == 1 })
}
