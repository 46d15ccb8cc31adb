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

	mu    sync.Mutex
	known *pb.HomeClaim
	// gate is nil unless this router is the home.
	gate *gate
	// early are releases that came while this router claimed the group: the
	// places may be on their way in the answers to the claim.
	early []pool.ID
	// told are the routers in view that know the own claim; telling tells
	// that a goroutine tells the others.
	told    map[routerKey]bool
	telling bool
	// releases are the numbers to be given back to the home; sending tells
	// that a goroutine sends them, confirm that it is to list what is held.
	releases []uint64
	sending  bool
	confirm  bool
}

// higher tells whether claim a holds against b.
func higher(a, b *pb.HomeClaim) bool {
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

// learn takes note of a claim; it tells whether the claim holds now.
func (g *group) learn(c *pb.HomeClaim) bool {
	g.mu.Lock()
	if higher(g.known, c) {
		g.mu.Unlock()
		return false
	}
	var ended *gate
	if higher(c, g.known) {
		g.known = c
		ended, g.gate = g.gate, nil
		g.early = nil
	}
	g.mu.Unlock()
	if ended != nil {
		ended.close()
	}
	return true
}

// open begins admission under the own claim, of which some routers are told,
// unless a higher one is known.
func (g *group) open(c *pb.HomeClaim, opened *gate, told map[routerKey]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if higher(g.known, c) {
		return false
	}
	opened.release(g.early...)
	g.early = nil
	g.gate = opened
	g.told = told
	return true
}

// keepOrRelease returns the open gate and the claim in force. While self claims
// the group and has no gate yet, it keeps the releases until the gate opens.
func (g *group) keepOrRelease(self string, ids []pool.ID) (*gate, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate == nil && g.known.GetRouter() == self && len(g.early)+len(ids) <= maxReleases {
		g.early = append(g.early, ids...)
	}
	return g.gate, g.known
}

// untold returns the routers that have yet to be told of the own claim, and
// the claim; those that left the view are told again when they return.
func (g *group) untold(inView map[routerKey]router) (*pb.HomeClaim, []routerKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate == nil || g.telling {
		return nil, nil
	}
	for key := range g.told {
		if _, ok := inView[key]; !ok {
			delete(g.told, key)
		}
	}
	var untold []routerKey
	for key := range inView {
		if !g.told[key] {
			untold = append(untold, key)
		}
	}
	g.telling = len(untold) > 0
	return g.known, untold
}

func (g *group) markTold(key routerKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gate != nil {
		g.told[key] = true
	}
}

func (g *group) endTelling() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.telling = false
}

func (g *group) present() (*gate, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate, g.known
}

// end stops admission for good.
func (g *group) end() {
	g.mu.Lock()
	ended := g.gate
	g.gate = nil
	g.mu.Unlock()
	if ended != nil {
		ended.close()
	}
}
