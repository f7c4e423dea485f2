// Package batch models an inference engine with continuous batching and a bounded prefix cache.
//
// It takes the time as an argument and does no I/O, so the simulated engine drives it in real time and the replay in
// simulated time.
package batch

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockTokens is the number of words per cache block.
const BlockTokens = 16

// Block identifies a cache block by the hash of its words and all words before them, so equal blocks have equal
// prefixes.
type Block uint64

// Blocks returns the chained hashes of a text's full blocks. A partial block at the end has no hash.
func Blocks(words []string) []Block {
	blocks := make([]Block, 0, len(words)/BlockTokens)
	digest := xxhash.New()
	for i, word := range words {
		_, _ = digest.WriteString(word)
		_, _ = digest.WriteString(" ")
		if (i+1)%BlockTokens == 0 {
			blocks = append(blocks, Block(digest.Sum64()))
		}
	}
	return blocks
}

// Change reports a block that a cache stored or evicted.
type Change struct {
	Evicted bool
	Block   Block
}

// Cache is a bounded prefix cache with LRU eviction.
type Cache struct {
	capacity int
	lru      *list.List
	blocks   map[Block]*list.Element
	// OnChange, if set, is called for each block stored or evicted.
	OnChange func(Change)
}

// NewCache returns an empty cache that holds at most capacity blocks.
func NewCache(capacity int) *Cache {
	return &Cache{capacity: capacity, lru: list.New(), blocks: make(map[Block]*list.Element)}
}

// Len returns the number of cached blocks.
func (c *Cache) Len() int { return len(c.blocks) }

// Prefix returns the number of leading blocks that are cached.
func (c *Cache) Prefix(blocks []Block) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Store adds the blocks, or marks them as most recently used. A prefix counts as more recent than the blocks after it,
// since a block without its prefix is useless.
func (c *Cache) Store(blocks []Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.touch(blocks[i])
	}
	for len(c.blocks) > c.capacity {
		c.evict()
	}
}

// SetCapacity changes the maximum number of blocks and evicts those that no longer fit.
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
