package standin

import (
	"container/list"
	"sync"
)

// prefixCache holds the names of the prefixes used last.
type prefixCache struct {
	mu    sync.Mutex
	bound int
	order *list.List
	held  map[string]*list.Element
}

func newPrefixCache(bound int) *prefixCache {
	return &prefixCache{bound: bound, order: list.New(), held: make(map[string]*list.Element)}
}

// hold marks a prefix as used now and tells whether it was held before.
func (c *prefixCache) hold(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.held[name]; ok {
		c.order.MoveToFront(e)
		return true
	}
	c.held[name] = c.order.PushFront(name)
	if c.order.Len() > c.bound {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.held, oldest.Value.(string))
	}
	return false
}

// prefixName names a chat by its model and its messages up to the first of
// the user, which stay the same in all later turns.
func prefixName(req chatRequest) string {
	name := req.Model
	for _, m := range req.Messages {
		name += "\x00" + m.Role + "\x00" + m.Content
		if m.Role == "user" {
			break
		}
	}
	return name
}
