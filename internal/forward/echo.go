package forward

import "sync"

// maxEchoAddrs bounds the addresses in an echoCache.
const maxEchoAddrs = 16384

// echoCache holds the addresses of the targets whose latest response echoed the id
// of its request. Only their connections are reused: on a reused connection, a
// surplus response would be taken for the response to the next request, and only
// the id reveals it.
type echoCache struct {
	mu    sync.RWMutex
	addrs map[string]struct{}
}

// contains reports whether the target's latest response echoed the request id.
func (e *echoCache) contains(addr string) bool {
	e.mu.RLock()
	defer e.mu.RUnlock()
	_, ok := e.addrs[addr]
	return ok
}

// record stores whether a response echoed the request id. When the cache is full,
// it is cleared, which costs each target one new connection.
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
