package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/amaranthlb/amaranthlb/internal/reason"
	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
	"github.com/amaranthlb/amaranthlb/internal/routes"
)

const second = time.Second

func picture(count, slots int) *LoadTracker {
	p := New(2, rand.New(rand.NewPCG(1, 2)))
	p.SetTargets(0, targets(count, slots), second)
	return p
}

func targets(count, slots int) []routes.Target {
	var list []routes.Target
	for i := range count {
		id := fmt.Sprint("t", i)
		list = append(list, routes.Target{
			ID: id, Service: "s", Address: id, Zone: fmt.Sprint("z", i%3), Slots: slots,
		})
	}
	return list
}

func query(key uint64, tokens int) Query {
	prompt := Prompt{Key: key*2654435761 | 1, Tokens: tokens}
	return Query{Service: "s", Prompt: prompt, PromptTokens: tokens, Zone: "z0", Remaining: 5 * second}
}

func choose(t *testing.T, p *LoadTracker, now time.Duration, q Query) Choice {
	t.Helper()
	choice, refusal := p.Choose(now, q)
	if refusal != nil {
		t.Fatalf("refused: %+v", refusal)
	}
	return choice
}

// Guards against processes that choose different engines for the same prompt.
func TestProcessesChooseTheSameTarget(t *testing.T) {
	first, other := picture(12, 64), picture(12, 64)
	for key := range uint64(100) {
		a, b := choose(t, first, second, query(key, 8000)), choose(t, other, second, query(key, 8000))
		if a.Target.ID != b.Target.ID {
			t.Errorf("prompt %d: %s and %s", key, a.Target.ID, b.Target.ID)
		}
	}
}

// Guards against an uneven distribution of prompts over engines when all prompts share a few first parts. With 83
// prompts per engine, the relative standard deviation of a hash is a ninth.
func TestPromptsWithCommonHeadsAreSpread(t *testing.T) {
	const engines, prompts = 24, 2000
	p := picture(engines, 64)
	count := map[string]int{}
	for key := range uint64(prompts) {
		count[choose(t, p, second, query(key, 8000)).Target.ID]++
	}
	for _, target := range targets(engines, 64) {
		if got := count[target.ID]; got < prompts/engines/2 || got > prompts/engines*3/2 {
			t.Errorf("%s has %d of %d prompts", target.ID, got, prompts)
		}
	}
}

// Guards against an engine whose load exceeds twice the mean plus three when one prompt is very popular.
func TestHotPromptStaysWithinBound(t *testing.T) {
	p := picture(12, 64)
	running := map[string]int{}
	total := 0
	rng := rand.New(rand.NewPCG(3, 4))
	for i := range 400 {
		key := uint64(7)
		if i%2 == 0 {
			key = rng.Uint64N(100)
		}
		q := query(key, 8000)
		choice := choose(t, p, second, q)
		p.Start(second, choice, q.Prompt)
		p.PromptRead(choice)
		running[choice.Target.ID]++
		total++
		if mean := float64(total) / 12; float64(running[choice.Target.ID]) > 2*mean+3 {
			t.Fatalf("%s has %d, mean %.1f", choice.Target.ID, running[choice.Target.ID], mean)
		}
	}
}

// Guards against prompts that are recomputed where a copy is cheaper: when a prompt moves, the choice must name the
// target that has it cached.
func TestSourceOfMovedPrompt(t *testing.T) {
	p := picture(12, 64)
	now := 60 * second
	q := query(5, 8000)
	home := choose(t, p, now, q)
	if home.Source != "" {
		t.Errorf("the preferred engine copies from %s, want no copy", home.Source)
	}
	list := targets(12, 64)
	for i := range list {
		list[i].Draining = list[i].ID == home.Target.ID
	}
	p.SetTargets(now, list, second)
	moved := choose(t, p, now, q)
	if moved.Target.ID == home.Target.ID || moved.Source != home.Target.Address {
		t.Errorf("moved to %s with source %q, want a copy from %s", moved.Target.ID, moved.Source, home.Target.Address)
	}
	if short := choose(t, p, now, query(5, 100)); short.Source != "" {
		t.Errorf("a short prompt is copied from %s", short.Source)
	}
}

// Guards against a new target that is assumed to have the prompts it takes over already cached.
func TestNewTargetCopiesFromTheOneBefore(t *testing.T) {
	p := picture(6, 64)
	now := 60 * second
	list := append(targets(6, 64), routes.Target{ID: "new", Service: "s", Address: "new", Slots: 64})
	before := map[uint64]string{}
	for key := range uint64(60) {
		before[key] = choose(t, p, now, query(key, 8000)).Target.Address
	}
	p.SetTargets(now, list, second)
	moved := 0
	for key, previous := range before {
		choice := choose(t, p, now+second, query(key, 8000))
		if choice.Target.ID != "new" {
			continue
		}
		moved++
		if choice.Source != previous {
			t.Errorf("prompt %d is copied from %q, was at %s", key, choice.Source, previous)
		}
		if later := choose(t, p, now+warmupPeriod, query(key, 8000)); later.Source != "" {
			t.Errorf("prompt %d is still copied from %s", key, later.Source)
		}
	}
	if moved == 0 {
		t.Error("no prompt moved to the new target")
	}
}

// Guards against requests sent to targets that are draining, withdrawn or unreachable while others are healthy.
func TestUnavailableTargetsAreAvoided(t *testing.T) {
	p := picture(4, 6)
	now := 10 * second
	list := targets(4, 6)
	list[0].Draining = true
	p.SetTargets(now, list[:3], second)
	choice := Choice{Target: routes.Target{ID: "t1"}}
	p.Start(now, choice, Prompt{})
	p.End("t1", now, Unreachable, 0)
	for range 100 {
		if got := choose(t, p, now, Query{Service: "s", Remaining: second}).Target.ID; got != "t2" {
			t.Fatalf("got %s, want t2", got)
		}
	}
	if got := choose(t, p, now+blockBase, Query{Service: "s", Remaining: second, Exclude: []string{"t2"}}).Target.ID; got != "t1" {
		t.Errorf("after the pause got %s, want t1", got)
	}
}

// Guards against refusing requests of a service without listed targets while a withdrawn target could still serve them.
func TestWithdrawnTargetIsLastResort(t *testing.T) {
	p := picture(1, 6)
	p.SetTargets(10*second, nil, second)
	choose(t, p, 10*second+900*time.Millisecond, Query{Service: "s", Remaining: second})
	if _, refusal := p.Choose(11*second, Query{Service: "s", Remaining: second}); refusal == nil || refusal.Reason != reason.NoTarget {
		t.Errorf("after the grace period: got %+v, want no_target", refusal)
	}
}

// Guards against a failing target that keeps receiving its share of requests. It must be retried after a few seconds.
func TestOutlierIsAvoidedForAWhile(t *testing.T) {
	p := picture(4, 64)
	now := 10 * second
	for range 20 {
		for i := range 4 {
			outcome := Good
			if i == 0 {
				outcome = Failed
			}
			p.End(fmt.Sprint("t", i), now, outcome, 30*time.Millisecond)
		}
	}
	for range 200 {
		if got := choose(t, p, now, Query{Service: "s", Zone: "z0", Remaining: second}).Target.ID; got == "t0" {
			t.Fatal("the failing target was chosen")
		}
	}
	found := false
	for range 200 {
		found = found || choose(t, p, now+4*failureHalfLife, Query{Service: "s", Zone: "z0", Remaining: second}).Target.ID == "t0"
	}
	if !found {
		t.Error("the target is never retried")
	}
}

// Guards against comparing a failing target with a mean that includes its own failures.
func TestOutlierOfTwo(t *testing.T) {
	p := picture(2, 64)
	for range 20 {
		p.End("t0", second, Failed, 0)
		p.End("t1", second, Good, time.Millisecond)
	}
	for range 100 {
		if got := choose(t, p, second, Query{Service: "s", Remaining: second}).Target.ID; got != "t1" {
			t.Fatal("the failing target was chosen")
		}
	}
}

// Guards against a service that becomes unavailable because all its targets fail equally.
func TestAllFailingTargetsStayCandidates(t *testing.T) {
	p := picture(4, 64)
	for range 20 {
		for i := range 4 {
			p.End(fmt.Sprint("t", i), 10*second, Failed, 0)
		}
	}
	used := map[string]bool{}
	for range 200 {
		used[choose(t, p, 10*second, Query{Service: "s", Remaining: second}).Target.ID] = true
	}
	if len(used) < 3 {
		t.Errorf("only %v were chosen", used)
	}
}

// Guards against requests that queue at a target until their deadline. The load is 40 requests of 100 ms on 6 slots.
func TestRefusesRequestsThatWouldMissTheirDeadline(t *testing.T) {
	p := picture(1, 6)
	for range 200 {
		p.Start(0, Choice{Target: routes.Target{ID: "t0"}}, Prompt{})
		p.End("t0", 0, Good, 100*time.Millisecond)
	}
	for range 40 {
		p.Start(0, Choice{Target: routes.Target{ID: "t0"}}, Prompt{})
	}
	_, refusal := p.Choose(0, Query{Service: "s", Remaining: 500 * time.Millisecond})
	if refusal == nil || refusal.Reason != reason.OverLimit || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", refusal)
	}
	choose(t, p, 0, Query{Service: "s", Remaining: 2 * second})
}

// Guards against a cold start that queues long prompts at a few engines. The load is 60 new prompts of 9,000 tokens at
// once.
func TestColdPromptsAreSpreadByLoad(t *testing.T) {
	p := picture(12, 64)
	reading := map[string]int{}
	for key := range uint64(60) {
		q := query(key, 9000)
		choice := choose(t, p, 0, q)
		p.Start(0, choice, q.Prompt)
		reading[choice.Target.ID]++
	}
	for id, count := range reading {
		// Rendezvous order alone puts 11 of 60 on one of 12 engines.
		if count > 8 {
			t.Errorf("%s reads %d of 60 prompts", id, count)
		}
	}
}

// Guards against prompts that move away from the engine that has them cached, including those placed by another
// process.
func TestPromptStaysWithItsHolder(t *testing.T) {
	first, other := picture(12, 64), picture(12, 64)
	q := query(5, 8000)
	home := choose(t, first, 0, q)
	var elsewhere string
	for i := range 12 {
		if id := fmt.Sprint("t", i); id != home.Target.ID {
			elsewhere = id
			break
		}
	}
	first.Start(second, Choice{Target: routes.Target{ID: elsewhere}}, q.Prompt)
	if got := choose(t, first, 2*second, q); got.Target.ID != elsewhere || got.Source != "" {
		t.Errorf("chose %s with source %q, want %s, which has the prompt cached", got.Target.ID, got.Source, elsewhere)
	}
	other.PlacementsFromPeer(second, first.TakePlacements(10))
	if got := choose(t, other, 2*second, q); got.Target.ID != elsewhere {
		t.Errorf("another process chose %s, want %s", got.Target.ID, elsewhere)
	}
	// A new instance with the same ID has an empty cache.
	list := targets(12, 64)
	for i := range list {
		if list[i].ID == elsewhere {
			list[i].StartedAt = 99
		}
	}
	first.SetTargets(3*second, list, second)
	if got := choose(t, first, 4*second, q); got.Target.ID != home.Target.ID {
		t.Errorf("chose %s after the holder restarted, want %s", got.Target.ID, home.Target.ID)
	}
}

// Guards against memory use that grows with the number of prompts.
func TestHoldersAreBounded(t *testing.T) {
	p := picture(4, 64)
	for key := range uint64(3 * maxPrompts) {
		q := query(key, 1000)
		p.Start(second, choose(t, p, second, q), q.Prompt)
		p.End("t0", second, Good, 0)
	}
	if len(p.caches.prompts) > maxPrompts || len(p.caches.ownPending) > maxPending {
		t.Errorf("%d prompts and %d pending placements are kept", len(p.caches.prompts), len(p.caches.ownPending))
	}
}

// Guards against exceeding a target's connection limit, beyond which it resets connections. The load is 40 slow
// requests at one target.
func TestConnectionLimit(t *testing.T) {
	p := picture(1, 6)
	q := Query{Service: "s", Remaining: 100 * second, MaxConnections: 50}
	for range 40 {
		p.Start(0, choose(t, p, 0, q), Prompt{})
	}
	if _, refusal := p.Choose(0, q); refusal == nil || refusal.Reason != reason.OverLimit || refusal.RetryAfter <= 0 {
		t.Errorf("got %+v", refusal)
	}
}

// Guards against sending requests elsewhere while an engine is prefilling their prompt: any other engine would have to
// prefill it from the beginning.
func TestPromptStaysAtTargetDuringPrefill(t *testing.T) {
	first, other := picture(12, 64), picture(12, 64)
	q := query(7, 8000)
	choice := choose(t, first, second, q)
	first.Start(second, choice, q.Prompt)
	if choice.Prefill < 2 {
		t.Fatalf("a prompt of %d tokens has weight %.1f, want at least 2", q.PromptTokens, choice.Prefill)
	}
	other.NoticesFromPeer("first", second, first.TakeNotices(10))
	other.PeerLoads("first", second, first.OwnLoads())
	for name, p := range map[string]*LoadTracker{"same process": first, "other process": other} {
		if next := choose(t, p, second, q); next.Target.ID != choice.Target.ID {
			t.Errorf("%s: %s is prefilling the prompt, the next request goes to %s", name, choice.Target.ID, next.Target.ID)
		}
	}
}

// Guards against an engine that other prompts avoid long after a prefill has ended.
func TestPeerPrefillExpires(t *testing.T) {
	p := picture(2, 64)
	hash := rendezvous.Hash("t0")
	p.PeerLoads("peer", second, map[uint64]Load{hash: {Requests: 1, Prefill: 4}})
	if load := p.byHash[hash].load(second + 100*time.Millisecond); load.total() != 5 {
		t.Errorf("load is %+v after 100 ms, want a total of 5", load)
	}
	if load := p.byHash[hash].load(second + time.Second); load.total() != 1 {
		t.Errorf("load is %+v after a second, want a total of 1", load)
	}
}

// Guards against a notice that is counted twice once the peer's load report arrives, or for longer than a prefill
// takes.
func TestNoticeCountsUntilLoadsCome(t *testing.T) {
	first, other := picture(12, 64), picture(12, 64)
	q := query(7, 8000)
	choice := choose(t, first, second, q)
	first.Start(second, choice, q.Prompt)
	notices := first.TakeNotices(10)
	if len(notices) != 1 || first.HasNotices() || len(first.TakePlacements(10).Own) != 0 {
		t.Fatalf("notices %+v, more: %v", notices, first.HasNotices())
	}
	state := other.byID[choice.Target.ID]
	other.NoticesFromPeer("first", second, notices)
	if got := state.load(second).Prefill; got != choice.Prefill {
		t.Errorf("weight %.1f after the notice, want %.1f", got, choice.Prefill)
	}
	if got := state.load(second + peerPrefillLifetime).Prefill; got != 0 {
		t.Errorf("weight %.1f after the prefill, want 0", got)
	}
	other.PeerLoads("first", second, first.OwnLoads())
	if got := state.load(second).Prefill; got != choice.Prefill {
		t.Errorf("weight %.1f after the load report, want %.1f", got, choice.Prefill)
	}
}
