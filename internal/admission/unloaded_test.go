package admission

import (
	"fmt"
	"testing"

	"github.com/amaranthlb/amaranthlb/internal/reason"
)

// Guards against a limit that is too low because targets without the model count in the pool's mean load, and against a
// wrong count of targets after such a target is loaded, lost or moved to another pool.
func TestUnloadedTargetsExcludedFromMean(t *testing.T) {
	c := New("gate")
	c.SetPools([]Pool{{Name: "rose", LoadMultiple: 1, MaxInFlight: 100}, {Name: "lily", LoadMultiple: 1, MaxInFlight: 100}})
	p := c.pools["rose"]
	for i := range 4 {
		c.SetTarget(fmt.Sprint("e", i), "a", "rose")
	}
	steps := []struct {
		name string
		do   func()
		want int
	}{
		{"all loaded", func() {}, 4},
		{"one unloaded", func() { c.SetCap(0, "e0", NoAdmission(reason.ModelNotLoaded), nil) }, 3},
		{"unloaded again", func() { c.SetCap(0, "e0", NoAdmission(reason.ModelNotLoaded), nil) }, 3},
		{"loaded again", func() { c.SetCap(0, "e0", Uncapped(), nil) }, 4},
		{"unloaded and lost", func() {
			c.SetCap(0, "e1", NoAdmission(reason.ModelNotLoaded), nil)
			c.DropTarget(0, "e1", reason.NotOwner, nil)
		}, 3},
		{"owned again", func() { c.SetTarget("e1", "a", "rose") }, 4},
		{"unloaded and moved", func() {
			c.SetCap(0, "e2", NoAdmission(reason.ModelNotLoaded), nil)
			c.SetTarget("e2", "a", "lily")
		}, 3},
	}
	for _, step := range steps {
		if step.do(); p.ownedTargets != step.want {
			t.Errorf("%s: %d targets in the mean, want %d", step.name, p.ownedTargets, step.want)
		}
	}
	if c.SetCap(0, "e2", Uncapped(), nil); c.pools["lily"].ownedTargets != 1 {
		t.Errorf("the moved target counts %d times in its new pool", c.pools["lily"].ownedTargets)
	}
}
