package router

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/routes"
	"github.com/amaranthlb/amaranthlb/internal/statechart"
)

// moveStub answers calls that copy and move a run.
type moveStub struct {
	copied, moved moveResult
	released      chan string
}

func (moveStub) Cached(context.Context, string) ([]routes.Part, routes.Statements, error) {
	return nil, routes.Statements{}, nil
}

func (s moveStub) Copy(context.Context, string, string, string) (routes.MovedRun, routes.Statements, error) {
	return s.copied.run, routes.Statements{}, s.copied.err
}

func (s moveStub) Move(context.Context, string, string, string) (routes.MovedRun, routes.Statements, error) {
	return s.moved.run, routes.Statements{}, s.moved.err
}

func (s moveStub) Release(_ context.Context, _ string, run routes.MovedRun) (routes.Statements, error) {
	s.released <- run.Reference
	return routes.Statements{}, nil
}

// Guards against load that stays with a target for good, and copies that stay at engines, because a run was to move and
// did not: a call failed, the copy failed, or the client left before the target was asked to continue.
func TestReservedLoadIsReleased(t *testing.T) {
	copied := moveResult{run: routes.MovedRun{Reference: "a/h", Copied: true}}
	noRoom := moveResult{run: routes.MovedRun{Reference: "a/h"}}
	failed := moveResult{err: errors.New("no response")}
	notStopped := moveResult{err: routes.ErrRunNotStopped}
	for name, c := range map[string]struct {
		stub     moveStub
		moved    bool
		released bool
	}{
		"the copy fails":           {moveStub{copied: failed}, false, false},
		"no room for the copy":     {moveStub{copied: noRoom}, false, true},
		"the run is not stopped":   {moveStub{copied: copied, moved: notStopped}, false, true},
		"the stop is not answered": {moveStub{copied: copied, moved: failed}, false, true},
		"no room for the rest":     {moveStub{copied: copied, moved: noRoom}, true, false},
		"the client left":          {moveStub{copied: copied, moved: copied}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			c.stub.released = make(chan string, 1)
			r := newReader(t, &slowStore{})
			r.engines = c.stub
			var targets []routes.Target
			for _, id := range []string{"t1", "t2"} {
				targets = append(targets, routes.Target{ID: id, Service: "s", Address: id, Slots: 8})
			}
			r.loadTracker.SetTargets(0, targets, 0)
			for range 100 {
				r.budget.Request(r.now(), "s")
			}
			x := &exchange{
				router: r, service: "s", route: &routes.Route{}, choice: place.Choice{Target: targets[0]},
				engine: r.streams.Begin(targets[0].ID), deadline: time.Now().Add(time.Minute),
			}
			x.router.budget.SetSlack(10)
			moved := false
			x.startMove()
			for limit := time.Now().Add(time.Second); x.moveCallPending() && time.Now().Before(limit); time.Sleep(time.Millisecond) {
				moved = x.pollMove() || moved
			}
			if moved != c.moved {
				t.Errorf("moved %t", moved)
			}
			x.fireMove(statechart.MoveOnEnd)
			x.releaseReserved()
			if loads := r.loadTracker.OwnLoads(); len(loads) != 0 {
				t.Errorf("load stays: %v", loads)
			}
			if !c.released {
				return
			}
			select {
			case reference := <-c.stub.released:
				if reference != "a/h" {
					t.Errorf("released %q", reference)
				}
			case <-time.After(time.Second):
				t.Error("the copy is not released")
			}
		})
	}
}
