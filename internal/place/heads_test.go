package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/routes"
)

// Guards against memory use that grows with every target ever listed: targets are replaced continuously.
func TestHeadsOfRemovedTargetsAreDropped(t *testing.T) {
	p := picture(1, 64)
	now := second
	for i := range 100 {
		list := []routes.Target{{ID: fmt.Sprint("n", i), Service: "s", Address: fmt.Sprint("n", i), Slots: 64}}
		now += 2 * time.Second
		p.SetTargets(now, list, second)
		q := query(uint64(i), 8000)
		q.Prompt.Head = Head{Key: 7, Tokens: 2500}
		choice := choose(t, p, now, q)
		p.Start(now, choice, q.Prompt)
		p.PromptRead(choice)
		p.End(choice.Target.ID, now, Good, second)
	}
	if kept := len(p.heads[7]); kept > 3 {
		t.Errorf("%d targets are indexed for a head, want at most 3 with 1 listed", kept)
	}
}
