package router

import (
	"context"
	"errors"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/place"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// moveStub answers calls that move a run.
type moveStub struct {
	run routes.MovedRun
	err error
}

func (moveStub) Cached(context.Context, string) ([]routes.Part, routes.Statements, error) {
	return nil, routes.Statements{}, nil
}
func (s moveStub) Move(context.Context, string, string, string) (routes.MovedRun, routes.Statements, error) {
	return s.run, routes.Statements{}, s.err
}

// Guards against load that stays with a target for good because a run was to move there and did not: the call failed,
// the copy failed, or the client left before the target was asked to continue.
func TestReservedLoadIsReleased(t *testing.T) {
	for name, c := range map[string]struct {
		stub  moveStub
		moved bool
	}{
		"the call fails":  {moveStub{err: errors.New("no such run")}, false},
		"the copy fails":  {moveStub{run: routes.MovedRun{Reference: "a/h"}}, true},
		"the client left": {moveStub{run: routes.MovedRun{Reference: "a/h", Copied: true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
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
			x := &exchange{router: r, service: "s", route: &routes.Route{}, choice: place.Choice{Target: targets[0]}}
			x.router.budget.SetSlack(10)
			if moved := x.move(t.Context()); moved != c.moved {
				t.Errorf("moved %t", moved)
			}
			x.releaseReserved()
			if loads := r.loadTracker.OwnLoads(); len(loads) != 0 {
				t.Errorf("load stays: %v", loads)
			}
		})
	}
}
