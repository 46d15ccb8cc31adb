package scheduler

import (
	"sync"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// group is the state that this router keeps for one group of targets.
//
// A router becomes the owner of a group by an ownership claim. The claim with the
// highest epoch wins. Before the claimant admits requests, it announces the claim
// to all routers. They reply with the slots that they hold and send further
// requests to the claimant. A router that receives a higher claim than its own
// stops admitting before it replies.
type group struct {
	name string
	// claiming serialises the claims of this router. It is locked before mu.
	claiming sync.Mutex

	mu           sync.Mutex
	highestClaim *pb.HomeClaim
	// admitter is nil unless this router is the owner.
	admitter *admitter
	// earlyReleases are releases that arrived while this router claimed the
	// group. The released slots may still be listed in replies to the claim.
	earlyReleases []pool.ID
	// notified is the set of routers in view that know this router's claim.
	// notifying is true while a goroutine notifies the remaining routers.
	notified  map[routerKey]bool
	notifying bool
	// pendingReleases are the numbers of the requests to be released at the
	// owner. sending is true while a goroutine sends them. reconcile is set if
	// the next call is to list the held slots.
	pendingReleases  []uint64
	sending          bool
	reconcilePending bool
}

// supersedes reports whether claim a takes precedence over claim b: by higher
// epoch, then by router id, then by incarnation. Nil is the lowest claim.
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

// applyClaim records a claim unless a higher one is known, and closes this
// router's admitter if the claim supersedes its own. It reports whether the claim
// is now the current one.
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

// startAdmitting starts admission under this router's claim c. notified is the set
// of routers that know the claim. It returns false if a higher claim is known.
func (g *group) startAdmitting(c *pb.HomeClaim, adm *admitter, notified map[routerKey]bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if supersedes(g.highestClaim, c) {
		return false
	}
	adm.release(g.earlyReleases...)
	g.earlyReleases = nil
	g.admitter = adm
	g.notified = notified
	return true
}

// currentOrDefer returns the admitter and the current claim. While self claims the
// group and does not admit yet, it stores the releases of ids in earlyReleases,
// to be applied by startAdmitting.
func (g *group) currentOrDefer(self string, ids []pool.ID) (*admitter, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admitter == nil && g.highestClaim.GetRouter() == self && len(g.earlyReleases)+len(ids) <= maxReleases {
		g.earlyReleases = append(g.earlyReleases, ids...)
	}
	return g.admitter, g.highestClaim
}

// unnotified returns this router's claim and the routers in view that do not know
// it yet. A router that leaves the view is notified again when it returns. If the
// list is not empty, the caller must call endNotifying after notifying them.
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
	var unnotified []routerKey
	for key := range inView {
		if !g.notified[key] {
			unnotified = append(unnotified, key)
		}
	}
	g.notifying = len(unnotified) > 0
	return g.highestClaim, unnotified
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

// current returns the admitter, which is nil unless this router is the owner, and
// the current claim.
func (g *group) current() (*admitter, *pb.HomeClaim) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admitter, g.highestClaim
}

// close stops admission and refuses all waiting requests.
func (g *group) close() {
	g.mu.Lock()
	ended := g.admitter
	g.admitter = nil
	g.mu.Unlock()
	if ended != nil {
		ended.close()
	}
}
