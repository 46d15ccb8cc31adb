package scheduler

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// group is what this router knows of one group of targets.
//
// Of all claims to be a group's home the highest epoch holds. A router that
// claims first tells all others, which then turn to it and name the places
// they hold; only then does it admit. A router that learns of a higher claim
// than its own stops admitting before it answers.
type group struct {
	name string
	// claiming serialises this router's own claims; it is taken before mu.
	claiming sync.Mutex

	mu           sync.Mutex
	highestClaim *pb.HomeClaim
	// admitter is nil unless this router is the home.
	admitter *admitter
	// earlyReleases are releases that came while this router claimed the group: the
	// places may be on their way in the answers to the claim.
	earlyReleases []pool.ID
	// notified are the routers in view that know the own claim; telling tells
	// that a goroutine tells the others.
	notified  map[routerKey]bool
	notifying bool
	// pendingReleases are the numbers to be given back to the home; sending tells
	// that a goroutine sends them, confirm that it is to list what is held.
	pendingReleases []uint64
	sending         bool
	reconcile       bool
}

// supersedes tells whether claim a holds against b.
func supersedes(a, b *pb.HomeClaim) bool {
	switch {
	case a == nil:
		return false
	case b == nil:
		return true
	case a.Epoch != b.Epoch:
		return a.Epoch > b.Epoch
	case a.Router != b.Router:
		return a.Router > b.Router
	default:
		return a.Incarnation > b.Incarnation
	}
}

// applyClaim takes note of a claim; it tells whether the claim holds now.
func (g *group) applyClaim(c *pb.HomeClaim) bool {
	g.mu.Lock()
	if supersedes(g.highestClaim, c) {
		g.mu.Unlock()
		return false
	}
	var ended *admitter
	if supersedes(c, g.highestClaim) {
		g.highestClaim = c
		ended, g.admitter = g.admitter, nil
		g.earlyReleases = nil
	}
	g.mu.Unlock()
	if ended != nil {
		ended.close()
	}
	return true
}

// startAdmitting begins admission under the own claim, of which some routers are told,
// unless a higher one is known.
func (g *group) startAdmitting(c *pb.HomeClaim, opened *admitter, told map[routerKey]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if supersedes(g.highestClaim, c) {
		return false
	}
	opened.release(g.earlyReleases...)
	g.earlyReleases = nil
	g.admitter = opened
	g.notified = told
	return true
}

// currentOrDefer returns the open gate and the claim in force. While self claims
// the group and has no gate yet, it keeps the releases until the gate opens.
func (g *group) currentOrDefer(self string, ids []pool.ID) (*admitter, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admitter == nil && g.highestClaim.GetRouter() == self && len(g.earlyReleases)+len(ids) <= maxReleases {
		g.earlyReleases = append(g.earlyReleases, ids...)
	}
	return g.admitter, g.highestClaim
}

// unnotified returns the routers that have yet to be told of the own claim, and
// the claim; those that left the view are told again when they return.
func (g *group) unnotified(inView map[routerKey]router) (*pb.HomeClaim, []routerKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admitter == nil || g.notifying {
		return nil, nil
	}
	for key := range g.notified {
		if _, ok := inView[key]; !ok {
			delete(g.notified, key)
		}
	}
	var untold []routerKey
	for key := range inView {
		if !g.notified[key] {
			untold = append(untold, key)
		}
	}
	g.notifying = len(untold) > 0
	return g.highestClaim, untold
}

func (g *group) markNotified(key routerKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admitter != nil {
		g.notified[key] = true
	}
}

func (g *group) endNotifying() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifying = false
}

func (g *group) current() (*admitter, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter, g.highestClaim
}

// close stops admission for good.
func (g *group) close() {
	g.mu.Lock()
	ended := g.admitter
	g.admitter = nil
	g.mu.Unlock()
	if ended != nil {
		ended.close()
	}
}
