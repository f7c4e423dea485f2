package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/membership"
	"github.com/amaranthlb/amaranthlb/internal/ownership"
)

// BenchmarkTick measures a step of one gate at the largest supported size: 600 targets, and 165 gates in 5 zones.
func BenchmarkTick(b *testing.B) {
	view := &membership.View{Version: 1}
	for i := range 165 {
		gate := membership.Gate{Name: fmt.Sprintf("g%03d", i), Zone: fmt.Sprint("z", i%5), Incarnation: uint64(i + 1)}
		view.Gates = append(view.Gates, membership.Member{Gate: gate, State: membership.Live, Heard: true, Direct: true, HasAnswered: true})
	}
	targets := make([]ownership.Target, 600)
	for i := range targets {
		targets[i] = ownership.Target{Name: fmt.Sprint("t", i), Zone: fmt.Sprint("z", i%5)}
	}
	m := ownership.New(ownership.DefaultConfig(), view.Gates[0].Gate, 0)
	m.Step(0, ownership.ViewChanged{View: view, Targets: targets})
	b.ReportAllocs()
	for i := range b.N {
		m.Step(time.Duration(i)*time.Millisecond, ownership.Tick{})
	}
}

// BenchmarkOwner measures how an entry chooses the gate for one request, with 165 gates in 5 zones.
func BenchmarkOwner(b *testing.B) {
	view := &membership.View{}
	for i := range 165 {
		gate := membership.Gate{Name: fmt.Sprintf("g%03d", i), Zone: fmt.Sprint("z", i%5)}
		view.Gates = append(view.Gates, membership.Member{Gate: gate, State: membership.Live})
	}
	b.ReportAllocs()
	for range b.N {
		if _, ok := ownership.Owner(view, "t1", "z1"); !ok {
			b.Fatal("no owner")
		}
	}
}
