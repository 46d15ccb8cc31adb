package standin

import (
	"container/list"
	"sync"
)

// prefixCache holds the names of the prefixes used last.
type prefixCache struct {
	mu         sync.Mutex
	maxEntries int
	recency    *list.List
	entries    map[string]*list.Element
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{maxEntries: bound, recency: list.New(), entries: make(map[string]*list.Element)}
}

// touch marks a prefix as used now and tells whether it was held before.
func (c *prefixCache) touch(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[name]; ok {
		c.recency.MoveToFront(e)
		return true
	}
	c.entries[name] = c.recency.PushFront(name)
	if c.recency.Len() > c.maxEntries {
		oldest := c.recency.Back()
		c.recency.Remove(oldest)
		delete(c.entries, oldest.Value.(string))
	}
	return false
}

// chatPrefixKey names a chat by its model and its messages up to the first of
// the user, which stay the same in all later turns.
func chatPrefixKey(req chatRequest) string {
	name := req.Model
	for _, m := range req.Messages {
		name += "\x00" + m.Role + "\x00" + m.Content
		if m.Role == "user" {
			break
		}
	}
	return name
}
