package forward

import "sync"

// maxEchoAddrs bounds the targets known to echo request ids.
const maxEchoAddrs = 16384

// echoCache knows the targets, by address, whose last answer carried the id of
// its request. Only their connections are kept: on a kept connection an answer
// too many would be taken for that to the next request, and the id is what
// tells.
type echoCache struct {
	mu    sync.RWMutex
	addrs map[string]struct{}
}

// contains tells whether the target's last answer carried its id.
func (e *echoCache) contains(addr string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.addrs[addr]
	return ok
}

// record notes whether an answer carried its id. At the bound it starts anew,
// which costs each target one connection.
func (e *echoCache) record(addr string, echoed bool) {
	if e.contains(addr) == echoed {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !echoed {
		delete(e.addrs, addr)
		return
	}
	if e.addrs == nil || len(e.addrs) >= maxEchoAddrs {
		e.addrs = make(map[string]struct{})
	}
	e.addrs[addr] = struct{}{}
}
