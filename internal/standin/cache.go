package standin

import (
	"container/list"
	"sync"
)

// prefixCache is an LRU cache of the keys of chat prefixes.
type prefixCache struct {
	mu         sync.Mutex
	maxEntries int
	recency    *list.List
	entries    map[string]*list.Element
}

func newPrefixCache(maxEntries int) *prefixCache {
	return &prefixCache{maxEntries: maxEntries, recency: list.New(), entries: make(map[string]*list.Element)}
}

// touch makes a prefix the most recently used one and reports whether the prefix was
// cached before. A new prefix evicts the least recently used one if the cache is full.
func (c *prefixCache) touch(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[key]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.entries[key] = c.recency.PushFront(key)
	if c.recency.Len() > c.maxEntries {
		oldest := c.recency.Back()
		c.recency.Remove(oldest)
		delete(c.entries, oldest.Value.(string))
	}
	return false
}

// chatPrefixKey returns the cache key of a chat. The key consists of the model and the
// messages up to the first user message, since these are the same in all later turns.
func chatPrefixKey(req chatRequest) string {
	key := req.Model
	for _, m := range req.Messages {
		key += "\x00" + m.Role + "\x00" + m.Content
		if m.Role == "user" {
			break
		}
	}
	return key
}
