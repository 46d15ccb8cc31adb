package forward

import "sync"

// maxEchoing bounds the targets known to echo request ids.
const maxEchoing = 16384

// echoing knows the targets, by address, whose last answer carried the id of
// its request. Only their connections are kept: on a kept connection an answer
// too many would be taken for that to the next request, and the id is what
// tells.
type echoing struct {
	mu    sync.RWMutex
	addrs map[string]struct{}
}

// has tells whether the target's last answer carried its id.
func (e *echoing) has(addr string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.addrs[addr]
	return ok
}

// learn notes whether an answer carried its id. At the bound it starts anew,
// which costs each target one connection.
func (e *echoing) learn(addr string, echoed bool) {
	if e.has(addr) == echoed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !echoed {
		delete(e.addrs, addr)
		return
	}
	if e.addrs == nil || len(e.addrs) >= maxEchoing {
		e.addrs = make(map[string]struct{})
	}
	e.addrs[addr] = struct{}{}
}
