package fake

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of tokens of one block of the prefix cache.
const blockTokens = 16

// prefixCache holds the blocks of recent prompts; the least recently used blocks
// are evicted.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[uint64]*list.Element
	order  list.List
}

// use returns the number of the prompt's tokens that were cached and caches the
// whole prompt, up to capacity tokens.
func (c *prefixCache) use(prompt string, capacity int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	hit, unbroken := 0, true
	const step = blockTokens * bytesPerToken
	digest := xxhash.New()
	for at := step; at <= len(prompt); at += step {
		_, _ = digest.WriteString(prompt[at-step : at])
		key := digest.Sum64()
		e, ok := c.blocks[key]
		unbroken = unbroken && ok
		if unbroken {
			hit += blockTokens
		}
		if ok {
			c.order.MoveToFront(e)
		} else {
			c.blocks[key] = c.order.PushFront(key)
		}
	}
	for len(c.blocks)*blockTokens > capacity {
		last := c.order.Back()
		delete(c.blocks, c.order.Remove(last).(uint64))
	}
	return hit
}

func (c *prefixCache) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.blocks) * blockTokens
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks = nil
	c.order.Init()
}
