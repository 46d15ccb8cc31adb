package filter

import (
	"sync"
	"time"
)

const (
	// waitLimitWindow is how long the patience of a route's callers is remembered at
	// least.
	waitLimitWindow = 10 * time.Second
	// maxWaitLimitRoutes bounds the routes that are remembered; with more of them,
	// all are learned anew.
	maxWaitLimitRoutes = 8192
)

// WaitLimits learns how long the callers of each route wait when they first ask. One
// that comes back after a refusal has less time left. It is safe for concurrent use.
type WaitLimits struct {
	mu     sync.Mutex
	routes map[string]*windowMax
}

// windowMax holds the longest patience in this window and in the one before.
type windowMax struct {
	since    time.Time
	current  time.Duration
	previous time.Duration
}

// NewWaitLimits makes one that knows no route.
func NewWaitLimits() *WaitLimits { return &WaitLimits{routes: make(map[string]*windowMax)} }

// alreadyWaited returns how long the caller has waited before this request.
func (p *WaitLimits) alreadyWaited(x *Exchange) time.Duration {
	if x.WaitLimit == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.routes[x.Route.Name]
	if w == nil {
		if len(p.routes) >= maxWaitLimitRoutes {
			clear(p.routes)
		}
		w = &windowMax{since: x.Received}
		p.routes[x.Route.Name] = w
	}
	if past := x.Received.Sub(w.since); past >= waitLimitWindow {
		w.previous, w.current, w.since = w.current, 0, x.Received
		if past >= 2*waitLimitWindow {
			w.previous = 0
		}
	}
	w.current = max(w.current, x.WaitLimit)
	return max(w.current, w.previous) - x.WaitLimit
}
