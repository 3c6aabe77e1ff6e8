package routing

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// HashBlocks returns the chained hashes of the prompt's blocks: equal hashes at an
// index mean equal prompts up to the end of that block. It omits a partial block at
// the end.
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

// CacheEvent is a change of an upstream's prefix cache.
type CacheEvent struct {
	Upstream string
	// Incarnation is the upstream's incarnation; a newer one starts with an empty
	// cache.
	Incarnation uint64
	// Sequence starts at 1 in each incarnation and increases by one with each
	// event.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
	// Cleared is true if the whole cache was cleared before the blocks in Stored
	// were added.
	Cleared bool
}

type cachedBlock struct {
	hash uint64
	// confirmed is true if a cache event reported the block.
	confirmed bool
}

type blockCache struct {
	incarnation uint64
	sequence    uint64
	blocks      map[uint64]*list.Element
	lru         *list.List // of *cachedBlock, most recently used first
}

// PrefixIndex estimates which prompt blocks each upstream has cached. The number of
// upstreams and of blocks per upstream is bounded. A wrong estimate costs time but
// never changes an answer.
type PrefixIndex struct {
	maxBlocks, maxUpstreams int
	caches                  map[string]*blockCache
	insertOrder             []string // upstream names, oldest first
}

// NewPrefixIndex returns an empty index of at most maxUpstreams upstreams with at
// most maxBlocks blocks each.
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

// Remove removes all blocks of an upstream, for example after a restart.
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
	// Add the leading blocks last, so that they are evicted last.
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

// ApplyEvent applies a cache event. It returns true if events are missing. The
// missing events may have been removals, so it removes the confirmed blocks, and
// the caller should request a full listing from upstreams that offer one. Events
// that are not newer than the last one are ignored.
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

// invalidate removes the confirmed blocks, or all blocks.
func (c *blockCache) invalidate(all bool) {
	for e := c.lru.Front(); e != nil; {
		next := e.Next()
		if b := e.Value.(*cachedBlock); all || b.confirmed {
			c.remove(b.hash)
		}
		e = next
	}
}

// CachedBlocks returns the estimated number of leading blocks that the upstream has
// cached.
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

// Len returns the number of blocks indexed for the upstream.
func (p *PrefixIndex) Len(upstream string) int {
	if c, ok := p.caches[upstream]; ok {
		return c.lru.Len()
	}
	return 0
}
