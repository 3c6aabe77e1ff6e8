package fake

import (
	"container/list"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the size of a prefix cache block in tokens.
const blockTokens = 16

// prefixCache caches the blocks of recent prompts and evicts the least recently used
// ones. A block is identified by the hash of the prompt up to the end of the block.
type prefixCache struct {
	mu     sync.Mutex
	blocks map[uint64]*list.Element
	lru    list.List
}

// lookupAndStore returns the length in tokens of the prompt's cached prefix. It also
// stores all full blocks of the prompt and evicts blocks until at most capacity tokens are
// cached.
func (c *prefixCache) lookupAndStore(prompt string, capacity int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.blocks == nil {
		c.blocks = make(map[uint64]*list.Element)
	}
	cached, contiguous := 0, true
	const blockBytes = blockTokens * bytesPerToken
	digest := xxhash.New()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		key := digest.Sum64()
		element, ok := c.blocks[key]
		contiguous = contiguous && ok
		if contiguous {
			cached += blockTokens
		}
		if ok {
			c.lru.MoveToFront(element)
		} else {
			c.blocks[key] = c.lru.PushFront(key)
		}
	}
	for len(c.blocks)*blockTokens > capacity {
		oldest := c.lru.Back()
		delete(c.blocks, c.lru.Remove(oldest).(uint64))
	}
	return cached
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
	c.lru.Init()
}
