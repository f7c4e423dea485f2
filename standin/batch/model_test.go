package batch

import (
	"strings"
	"testing"
	"time"
)

func words(text string) []string { return strings.Fields(text) }

func repeat(word string, n int) []string { return words(strings.Repeat(word+" ", n)) }

// Guards against a block hash that does not cover the preceding words: a chat would then count as cached when only its
// tail is equal.
func TestBlocksAreChained(t *testing.T) {
	a := Blocks(append(repeat("a", BlockTokens), repeat("same", BlockTokens)...))
	b := Blocks(append(repeat("b", BlockTokens), repeat("same", BlockTokens)...))
	if len(a) != 2 || a[1] == b[1] {
		t.Fatalf("blocks %v and %v: want two each with different second blocks", a, b)
	}
	if joined := Blocks(words("ab c")); len(joined) != 0 {
		t.Fatalf("a partial block has the hash %v, want none", joined)
	}
}

// Guards against a cache that exceeds its capacity or evicts a recently used prefix before an older one.
func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	for _, test := range []struct {
		name     string
		stores   [][]Block
		lookup   []Block
		want     int
		capacity int
	}{
		{"all fit", [][]Block{{1, 2}, {3}}, []Block{1, 2}, 2, 3},
		{"oldest goes", [][]Block{{1}, {2}, {3}}, []Block{1}, 0, 2},
		{"use keeps", [][]Block{{1}, {2}, {1}, {3}}, []Block{1}, 1, 2},
		{"tail goes before head", [][]Block{{1, 2, 3}, {4}}, []Block{1, 2, 3}, 2, 3},
	} {
		cache := NewCache(test.capacity)
		for _, blocks := range test.stores {
			cache.Store(blocks)
		}
		if got := cache.Prefix(test.lookup); got != test.want || cache.Len() > test.capacity {
			t.Errorf("%s: prefix of %d blocks with %d held, want %d", test.name, got, cache.Len(), test.want)
		}
	}
}

// Guards against a model that ignores slots, priorities or the cache, which would make skew and reuse figures
// meaningless.
func TestModelTimes(t *testing.T) {
	config := Config{
		Slots: 1, TokenTime: 10 * time.Millisecond, BatchTokenTime: 5 * time.Millisecond,
		PrefillTime: time.Millisecond, CacheBlocks: 100,
	}
	prompt := repeat("p", 2*BlockTokens)
	request := func(priority int) *Request {
		return &Request{Priority: priority, Prompt: Blocks(prompt), PromptTokens: len(prompt), OutputTokens: 1}
	}
	first, late, urgent := request(1), request(1), request(0)
	m := NewModel(config)
	m.Submit(0, first)
	m.Submit(0, late)
	m.Submit(0, urgent)
	var order []*Request
	var ends []time.Duration
	for next, ok := m.Next(); ok; next, ok = m.Next() {
		order = append(order, m.Advance(next)...)
		ends = append(ends, next)
	}
	if len(order) != 3 || order[0] != first || order[1] != urgent || order[2] != late {
		t.Fatalf("order is %v, want first, urgent, late", order)
	}
	if ends[0] != 42*time.Millisecond || ends[1] != 52*time.Millisecond {
		t.Errorf("steps end at %v, want 42ms with prefill and 52ms from the cache", ends)
	}
	if first.Cached != 0 || urgent.Cached != 2*BlockTokens {
		t.Errorf("cached tokens %d and %d, want 0 and %d", first.Cached, urgent.Cached, 2*BlockTokens)
	}
}

// Guards against a cancelled request that keeps its slot.
func TestCancelFreesSlot(t *testing.T) {
	m := NewModel(Config{Slots: 1, TokenTime: time.Millisecond})
	first, second := &Request{OutputTokens: 1000}, &Request{OutputTokens: 1}
	m.Submit(0, first)
	m.Submit(0, second)
	m.Cancel(0, first)
	if got := m.Advance(time.Millisecond); len(got) != 1 || got[0] != second || m.Load() != 0 {
		t.Fatalf("produced %v with load %d, want the second request and load 0", got, m.Load())
	}
}
