package filter

import (
	"sync"
	"time"
)

const (
	// patienceWindow is how long the patience of a route's callers is remembered at
	// least.
	patienceWindow = 10 * time.Second
	// maxPatienceRoutes bounds the routes that are remembered; with more of them,
	// all are learned anew.
	maxPatienceRoutes = 8192
)

// Patience learns how long the callers of each route wait when they first ask. One
// that comes back after a refusal has less time left. It is safe for concurrent use.
type Patience struct {
	mu     sync.Mutex
	routes map[string]*longestWait
}

// longestWait holds the longest patience in this window and in the one before.
type longestWait struct {
	since    time.Time
	current  time.Duration
	previous time.Duration
}

// NewPatience makes one that knows no route.
func NewPatience() *Patience { return &Patience{routes: make(map[string]*longestWait)} }

// waited returns how long the caller has waited before this request.
func (p *Patience) waited(x *Exchange) time.Duration {
	if x.Patience == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.routes[x.Route.Name]
	if w == nil {
		if len(p.routes) >= maxPatienceRoutes {
			clear(p.routes)
		}
		w = &longestWait{since: x.Received}
		p.routes[x.Route.Name] = w
	}
	if past := x.Received.Sub(w.since); past >= patienceWindow {
		w.previous, w.current, w.since = w.current, 0, x.Received
		if past >= 2*patienceWindow {
			w.previous = 0
		}
	}
	w.current = max(w.current, x.Patience)
	return max(w.current, w.previous) - x.Patience
}
