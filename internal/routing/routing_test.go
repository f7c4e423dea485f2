package routing

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/catalogue"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

func testPool(t testing.TB, targets int, change func(p *catalogue.Pool), loads ...int32) *Pool {
	t.Helper()
	document := "revision: 1\npools:\n- name: m\n  owner: o\n  kind: model\n  targets:\n"
	for i := range targets {
		document += fmt.Sprintf("  - {name: e%d, address: '10.0.%d.%d:80', zone: z%d}\n", i, i/250, i%250, i%5)
	}
	c, err := catalogue.Parse([]byte(document))
	if err != nil {
		t.Fatal(err)
	}
	pool := &c.Pools[0]
	if change != nil {
		change(pool)
	}
	candidates := make([]Candidate, targets)
	for i := range candidates {
		target := &pool.Targets[i]
		candidates[i] = Candidate{Target: target, Hash: target.Hash(), Open: true, InFlight: new(atomic.Int32), Distance: Distance(min(i%5, 2))}
		if i < len(loads) {
			candidates[i].Reported = loads[i]
		}
	}
	return NewPool(pool, candidates)
}

// Guards against picking a target that is closed, full or already tried, and against not picking the holder.
func TestPick(t *testing.T) {
	cases := []struct {
		name   string
		loads  []int32
		change func(p *catalogue.Pool)
		holder int
		tried  []int
		closed []int
		want   func(position int, ok bool) bool
	}{
		{"holder below limit", []int32{3, 2, 2}, nil, 0, nil, nil, func(p int, ok bool) bool { return ok && p == 0 }},
		{"holder at limit", []int32{9, 1, 1}, nil, 0, nil, nil, func(p int, ok bool) bool { return ok && p != 0 }},
		{"holder at limit, reuse worth a wait", []int32{5, 1, 1}, func(p *catalogue.Pool) { p.ReuseWeight = 2 }, 0, nil, nil, func(p int, ok bool) bool { return ok && p == 0 }},
		{"holder tried", []int32{3, 2, 2}, nil, 0, []int{0}, nil, func(p int, ok bool) bool { return ok && p != 0 }},
		{"holder closed", []int32{0, 0, 0}, nil, 0, nil, []int{0}, func(p int, ok bool) bool { return ok && p != 0 }},
		{"all tried", []int32{0, 0, 0}, nil, NoHolder, []int{0, 1, 2}, nil, func(_ int, ok bool) bool { return !ok }},
		{"all closed", []int32{0, 0, 0}, nil, NoHolder, nil, []int{0, 1, 2}, func(_ int, ok bool) bool { return !ok }},
		{
			"skew outweighs reuse", []int32{4, 3, 3},
			func(p *catalogue.Pool) { p.SkewWeight, p.ReuseWeight = 4, 0.5 },
			0, nil, nil, func(p int, ok bool) bool { return ok && p != 0 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pool := testPool(t, 3, c.change, c.loads...)
			for _, position := range c.closed {
				pool.Candidates[position].Open = false
			}
			var tried Tried
			for _, position := range c.tried {
				tried.Add(position)
			}
			position, ok := pool.Pick(rendezvous.Hash("chat"), c.holder, &tried)
			if !c.want(position, ok) {
				t.Fatalf("picked %d, %v with limit %d", position, ok, pool.Limit)
			}
		})
	}
}

// Guards against all chats listing the same alternatives first, and against targets of a large pool that are never
// listed.
func TestAlternativesSpread(t *testing.T) {
	pool := testPool(t, 40, nil)
	pool.Candidates[3].Open = false
	tried := new(Tried)
	tried.Add(5)
	first := make(map[string]bool)
	for i := range 1000 {
		names := pool.Alternatives(rendezvous.Hash(fmt.Sprint("chat ", i)), 16, tried)
		if len(names) != 16 {
			t.Fatalf("chat %d has %v", i, names)
		}
		first[names[0]] = true
	}
	if len(first) != 38 || first[pool.Candidates[3].Target.Name] || first[pool.Candidates[5].Target.Name] {
		t.Fatalf("%d targets come first, want all but the closed and the tried one: %v", len(first), first)
	}
}

// Guards against chats that wait at a holder although the reuse weight is zero, or for the whole queue wait, which
// leaves no time for another target.
func TestPatience(t *testing.T) {
	for weight, want := range map[float64]time.Duration{0: 0, 1: time.Second, 5: time.Second} {
		pool := testPool(t, 2, func(p *catalogue.Pool) {
			p.ReuseWeight, p.QueueWait = weight, catalogue.Duration(1500*time.Millisecond)
		})
		if got := pool.HolderWait(); got != want {
			t.Errorf("reuse weight %v: patience %v, want %v", weight, got, want)
		}
	}
}

// Guards against cross-zone traffic while targets in the same zone have capacity.
func TestNearTargetsArePreferred(t *testing.T) {
	pool := testPool(t, 10, func(p *catalogue.Pool) { p.ZoneWeight = 8 })
	near := 0
	const chats = 2000
	for i := range chats {
		position, ok := pool.Pick(rendezvous.Hash(fmt.Sprint(i)), NoHolder, &Tried{})
		if ok && pool.Candidates[position].Distance == SameZone {
			near++
		}
	}
	// Two of ten targets are in the zone, with 128 of 128+16+6 parts of the weight.
	if near < chats*8/10 {
		t.Fatalf("%d of %d chats stay in the zone", near, chats)
	}
}

// Guards against a decision that allocates or takes longer than 2 microseconds with 600 targets.
func BenchmarkPick(b *testing.B) {
	pool := testPool(b, 600, nil)
	var tried Tried
	b.ReportAllocs()
	chat := uint64(1)
	for b.Loop() {
		chat = chat*6364136223846793005 + 1
		if _, ok := pool.Pick(chat, NoHolder, &tried); !ok {
			b.Fatal("no target")
		}
	}
}
