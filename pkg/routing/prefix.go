package routing

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashBlocks hashes a prompt into chained block hashes: equal hashes at one index mean
// equal prompts up to the end of that block. A last partial block is left out.
func HashBlocks(salt, prompt string, blockBytes int) []uint64 {
	if blockBytes <= 0 {
		return nil
	}
	out := make([]uint64, 0, len(prompt)/blockBytes)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(salt)
	for len(prompt) >= blockBytes {
		var previous [8]byte
		binary.LittleEndian.PutUint64(previous[:], digest.Sum64())
		digest.Reset()
		_, _ = digest.Write(previous[:])
		_, _ = digest.WriteString(prompt[:blockBytes])
		out = append(out, digest.Sum64())
		prompt = prompt[blockBytes:]
	}
	return out
}

// CacheEvent is one change of an upstream's prefix cache.
type CacheEvent struct {
	Upstream string
	// Incarnation is that of the upstream; a newer one starts with an empty cache.
	Incarnation uint64
	// Sequence grows by one with each event of an incarnation, from 1.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
	// Cleared is true when the whole cache was dropped before Stored.
	Cleared bool
}

type cachedBlock struct {
	hash uint64
	// confirmed is true when a cache event stated the block.
	confirmed bool
}

type blockCache struct {
	incarnation uint64
	sequence    uint64
	blocks      map[uint64]*list.Element
	lru         *list.List // of *block, the most recently used in front
}

// PrefixIndex guesses which prompt blocks each upstream has cached. It holds at most a
// fixed number of blocks per upstream and of upstreams. It is a guess: a wrong one
// costs time, never a wrong answer.
type PrefixIndex struct {
	maxBlocks, maxUpstreams int
	caches                  map[string]*blockCache
	insertOrder             []string // upstreams, the longest known first
}

// NewPrefixIndex returns an empty index of at most the given number of blocks per
// upstream and of upstreams.
func NewPrefixIndex(maxBlocks, maxUpstreams int) *PrefixIndex {
	return &PrefixIndex{maxBlocks: maxBlocks, maxUpstreams: maxUpstreams, caches: make(map[string]*blockCache)}
}

func (p *PrefixIndex) getOrCreate(upstream string) *blockCache {
	c, ok := p.caches[upstream]
	if !ok {
		if len(p.caches) == p.maxUpstreams {
			p.Remove(p.insertOrder[0])
		}
		c = &blockCache{blocks: make(map[uint64]*list.Element), lru: list.New()}
		p.caches[upstream] = c
		p.insertOrder = append(p.insertOrder, upstream)
	}
	return c
}

// Remove drops all blocks of an upstream, such as one that was restarted.
func (p *PrefixIndex) Remove(upstream string) {
	delete(p.caches, upstream)
	for i, u := range p.insertOrder {
		if u == upstream {
			p.insertOrder = append(p.insertOrder[:i], p.insertOrder[i+1:]...)
			return
		}
	}
}

// RecordPrompt records that a prompt with these blocks was sent to the upstream.
func (p *PrefixIndex) RecordPrompt(upstream string, blocks []uint64) {
	c := p.getOrCreate(upstream)
	// The first blocks are used last, so that they are evicted last.
	for i := len(blocks) - 1; i >= 0; i-- {
		c.add(blocks[i], false, p.maxBlocks)
	}
}

func (c *blockCache) add(hash uint64, confirmed bool, maxBlocks int) {
	if e, ok := c.blocks[hash]; ok {
		b := e.Value.(*cachedBlock)
		b.confirmed = b.confirmed || confirmed
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.lru.PushFront(&cachedBlock{hash: hash, confirmed: confirmed})
	if c.lru.Len() > maxBlocks {
		c.remove(c.lru.Back().Value.(*cachedBlock).hash)
	}
}

func (c *blockCache) remove(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.lru.Remove(e)
		delete(c.blocks, hash)
	}
}

// ApplyEvent applies a cache event. It returns true when events are missing: removals
// may have been among them, so the confirmed blocks are dropped and the runner
// should ask the upstream for a full listing where it offers one. Events that are
// not newer than the last one change nothing.
func (p *PrefixIndex) ApplyEvent(e CacheEvent) (gap bool) {
	c := p.getOrCreate(e.Upstream)
	if e.Incarnation < c.incarnation || e.Incarnation == c.incarnation && e.Sequence <= c.sequence {
		return false
	}
	if e.Incarnation > c.incarnation {
		if c.incarnation != 0 {
			p.Remove(e.Upstream)
			c = p.getOrCreate(e.Upstream)
		}
		c.incarnation = e.Incarnation
	}
	gap = e.Sequence != c.sequence+1 && !e.Cleared
	c.sequence = e.Sequence
	if gap || e.Cleared {
		c.invalidate(e.Cleared)
	}
	for _, h := range e.Removed {
		c.remove(h)
	}
	for _, h := range e.Stored {
		c.add(h, true, p.maxBlocks)
	}
	return gap
}

// drop removes the confirmed blocks, or all of them.
func (c *blockCache) invalidate(all bool) {
	for e := c.lru.Front(); e != nil; {
		next := e.Next()
		if b := e.Value.(*cachedBlock); all || b.confirmed {
			c.remove(b.hash)
		}
		e = next
	}
}

// CachedBlocks returns how many leading blocks the upstream is believed to have cached.
func (p *PrefixIndex) CachedBlocks(upstream string, blocks []uint64) int {
	c, ok := p.caches[upstream]
	if !ok {
		return 0
	}
	for i, h := range blocks {
		if _, ok := c.blocks[h]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Len returns the number of blocks held for the upstream.
func (p *PrefixIndex) Len(upstream string) int {
	if c, ok := p.caches[upstream]; ok {
		return c.lru.Len()
	}
	return 0
}
