package routing

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Blocks hashes a prompt into chained block hashes: equal hashes at one index mean
// equal prompts up to the end of that block. A last partial block is left out.
func Blocks(salt, prompt string, size int) []uint64 {
	if size <= 0 {
		return nil
	}
	out := make([]uint64, 0, len(prompt)/size)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(salt)
	for len(prompt) >= size {
		var before [8]byte
		binary.LittleEndian.PutUint64(before[:], digest.Sum64())
		digest.Reset()
		_, _ = digest.Write(before[:])
		_, _ = digest.WriteString(prompt[:size])
		out = append(out, digest.Sum64())
		prompt = prompt[size:]
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

type block struct {
	hash uint64
	// confirmed is true when a cache event stated the block.
	confirmed bool
}

type cache struct {
	incarnation uint64
	sequence    uint64
	blocks      map[uint64]*list.Element
	order       *list.List // of *block, the most recently used in front
}

// Prefix guesses which prompt blocks each upstream has cached. It holds at most a
// fixed number of blocks per upstream and of upstreams. It is a guess: a wrong one
// costs time, never a wrong answer.
type Prefix struct {
	blocks, upstreams int
	caches            map[string]*cache
	order             []string // upstreams, the longest known first
}

// NewPrefix returns an empty index of at most the given number of blocks per
// upstream and of upstreams.
func NewPrefix(blocks, upstreams int) *Prefix {
	return &Prefix{blocks: blocks, upstreams: upstreams, caches: make(map[string]*cache)}
}

func (p *Prefix) cache(upstream string) *cache {
	c, ok := p.caches[upstream]
	if !ok {
		if len(p.caches) == p.upstreams {
			p.Forget(p.order[0])
		}
		c = &cache{blocks: make(map[uint64]*list.Element), order: list.New()}
		p.caches[upstream] = c
		p.order = append(p.order, upstream)
	}
	return c
}

// Forget drops all blocks of an upstream, such as one that was restarted.
func (p *Prefix) Forget(upstream string) {
	delete(p.caches, upstream)
	for i, u := range p.order {
		if u == upstream {
			p.order = append(p.order[:i], p.order[i+1:]...)
			return
		}
	}
}

// Sent records that a prompt with these blocks was sent to the upstream.
func (p *Prefix) Sent(upstream string, blocks []uint64) {
	c := p.cache(upstream)
	// The first blocks are used last, so that they are evicted last.
	for i := len(blocks) - 1; i >= 0; i-- {
		c.add(blocks[i], false, p.blocks)
	}
}

func (c *cache) add(hash uint64, confirmed bool, most int) {
	if e, ok := c.blocks[hash]; ok {
		b := e.Value.(*block)
		b.confirmed = b.confirmed || confirmed
		c.order.MoveToFront(e)
		return
	}
	c.blocks[hash] = c.order.PushFront(&block{hash: hash, confirmed: confirmed})
	if c.order.Len() > most {
		c.remove(c.order.Back().Value.(*block).hash)
	}
}

func (c *cache) remove(hash uint64) {
	if e, ok := c.blocks[hash]; ok {
		c.order.Remove(e)
		delete(c.blocks, hash)
	}
}

// Event applies a cache event. It returns true when events are missing: removals
// may have been among them, so the confirmed blocks are dropped and the runner
// should ask the upstream for a full listing where it offers one. Events that are
// not newer than the last one change nothing.
func (p *Prefix) Event(e CacheEvent) (gap bool) {
	c := p.cache(e.Upstream)
	if e.Incarnation < c.incarnation || e.Incarnation == c.incarnation && e.Sequence <= c.sequence {
		return false
	}
	if e.Incarnation > c.incarnation {
		if c.incarnation != 0 {
			p.Forget(e.Upstream)
			c = p.cache(e.Upstream)
		}
		c.incarnation = e.Incarnation
	}
	gap = e.Sequence != c.sequence+1 && !e.Cleared
	c.sequence = e.Sequence
	if gap || e.Cleared {
		c.drop(e.Cleared)
	}
	for _, h := range e.Removed {
		c.remove(h)
	}
	for _, h := range e.Stored {
		c.add(h, true, p.blocks)
	}
	return gap
}

// drop removes the confirmed blocks, or all of them.
func (c *cache) drop(all bool) {
	for e := c.order.Front(); e != nil; {
		next := e.Next()
		if b := e.Value.(*block); all || b.confirmed {
			c.remove(b.hash)
		}
		e = next
	}
}

// Hit returns how many leading blocks the upstream is believed to have cached.
func (p *Prefix) Hit(upstream string, blocks []uint64) int {
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
func (p *Prefix) Len(upstream string) int {
	if c, ok := p.caches[upstream]; ok {
		return c.order.Len()
	}
	return 0
}
