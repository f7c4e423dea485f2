// Package batch models an engine that batches continuously and caches prompt prefixes in limited memory.
//
// It takes time as an argument and has no I/O, so the engine stand-in drives it by the clock and the
// replay drives it by simulated time.
package batch

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockWords is the number of words that one cache block covers.
const BlockWords = 16

// Block identifies a cached block. Its hash covers all words before it, so equal blocks have equal prefixes.
type Block uint64

// Blocks returns the chained hashes of the full blocks of a text.
func Blocks(words []string) []Block {
	blocks := make([]Block, 0, len(words)/BlockWords)
	digest := xxhash.New()
	for i, word := range words {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if (i+1)%BlockWords == 0 {
			blocks = append(blocks, Block(digest.Sum64()))
		}
	}
	return blocks
}

// Change is a block that a cache stored or evicted.
type Change struct {
	Evicted bool
	Block   Block
}

// Cache holds blocks in limited memory and evicts the least recently used one.
type Cache struct {
	capacity int
	lru   *list.List
	blocks   map[Block]*list.Element
	// OnChange is called for each stored or evicted block when it is set.
	OnChange func(Change)
}

// NewCache returns an empty cache that holds at most capacity blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, lru: list.New(), blocks: make(map[Block]*list.Element)}
}

// Len returns the number of blocks held.
func (c *Cache) Len() int { return len(c.blocks) }

// Prefix returns how many leading blocks are cached.
func (c *Cache) Prefix(blocks []Block) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Store makes the blocks the most recently used ones. A prefix counts as more recent than what follows
// it, since a block without its prefix is useless.
func (c *Cache) Store(blocks []Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for len(c.blocks) > c.capacity {
		c.evict()
	}
}

// SetCapacity changes the memory and evicts what no longer fits.
func (c *Cache) SetCapacity(capacity int) {
	c.capacity = capacity
	for len(c.blocks) > c.capacity {
		c.evict()
	}
}

// Clear evicts every block.
func (c *Cache) Clear() {
	for len(c.blocks) > 0 {
		c.evict()
	}
}

func (c *Cache) touch(block Block) {
	if element, ok := c.blocks[block]; ok {
		c.lru.MoveToFront(element)
		return
	}
	c.blocks[block] = c.lru.PushFront(block)
	c.notify(Change{Block: block})
}

func (c *Cache) evict() {
	block := c.lru.Remove(c.lru.Back()).(Block)
	delete(c.blocks, block)
	c.notify(Change{Evicted: true, Block: block})
}

func (c *Cache) notify(change Change) {
	if c.OnChange != nil {
		c.OnChange(change)
	}
}
