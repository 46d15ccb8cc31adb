package filter

import (
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/window"
)

const (
	// waitLimitWindow is the least time for which the time limits of a route's callers
	// are kept.
	waitLimitWindow = 10 * time.Second
	// maxWaitLimitRoutes bounds the routes that are kept. Beyond it, all routes are
	// discarded and learned again.
	maxWaitLimitRoutes = 8192
)

// WaitLimits learns the longest time limit that the callers of each route name. A
// caller that retries after a rejection names a shorter limit, since part of its time
// has passed. WaitLimits takes the difference between the longest limit and the
// caller's as the time that the caller has waited. WaitLimits is safe for concurrent
// use.
type WaitLimits struct {
	mu     sync.Mutex
	routes map[string]*window.Max[time.Duration]
}

// NewWaitLimits returns a WaitLimits without routes.
func NewWaitLimits() *WaitLimits {
	return &WaitLimits{routes: make(map[string]*window.Max[time.Duration])}
}

// alreadyWaited returns how long the caller has waited before this request, and records
// the time limit of the request. Without a time limit the result is zero.
func (l *WaitLimits) alreadyWaited(x *Exchange) time.Duration {
	if x.WaitLimit == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.routes[x.Route.Name]
	if w == nil {
		if len(l.routes) >= maxWaitLimitRoutes {
			clear(l.routes)
		}
		w = &window.Max[time.Duration]{}
		l.routes[x.Route.Name] = w
	}
	return w.Add(x.Received, waitLimitWindow, x.WaitLimit) - x.WaitLimit
}
