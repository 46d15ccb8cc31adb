package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxRouters bounds the number of routers whose leases a leader tracks.
const maxRouters = 8192

// earlierLeaderRouters is listed among the pending routers in place of the routers
// that may hold a lease from an earlier leader. Their ids are not known.
const earlierLeaderRouters = "routers of an earlier leader"

// leaseHolder identifies one run of a router.
type leaseHolder struct {
	router      string
	incarnation uint64
}

type leaseState struct {
	// ackedRevision is the highest revision that the router has acknowledged.
	ackedRevision uint64
	// ackedAt is when this replica first received that acknowledgement.
	ackedAt time.Time
	// expiresAt is when the last lease that the router may have been granted
	// expires, by this replica's clock. The router counts its lease from the
	// time at which it sent the request, which is earlier.
	expiresAt time.Time
}

// leaseTable records the leases that the leader of one term may have granted, and
// the revisions that the routers have acknowledged.
type leaseTable struct {
	length time.Duration

	mu   sync.Mutex
	term uint64
	// earlierExpireAt is when all leases granted in earlier terms have expired.
	earlierExpireAt time.Time
	byHolder        map[leaseHolder]leaseState
	// changed is closed and replaced when a router is added or removed or
	// acknowledges a higher revision.
	changed chan struct{}
}

func newLeaseTable(length time.Duration) *leaseTable {
	return &leaseTable{
		length:   length,
		byHolder: make(map[leaseHolder]leaseState),
		changed:  make(chan struct{}),
	}
}

// maxDuration returns the longest time, by this replica's clock, that a lease
// may last at a router whose clock runs slow.
func (t *leaseTable) maxDuration() time.Duration {
	return t.length + time.Duration(maxClockDrift*float64(t.length))
}

// startTerm resets the table when this replica is first seen to lead a term. The
// earlier leader was last confirmed before the first period of this leader, so
// its leases expire within one maxLocalLength from now.
func (t *leaseTable) startTerm(term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term <= t.term {
		return
	}
	t.term = term
	t.earlierExpireAt = now.Add(t.maxDuration())
	clear(t.byHolder)
}

// record adds or renews the entry of the router that sent a lease request, and
// updates the revision that the router has acknowledged. It returns false if the
// table is full.
func (t *leaseTable) record(req *pb.LeaseRequest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := leaseHolder{req.Router, req.Incarnation}
	h, known := t.byHolder[key]
	if !known && len(t.byHolder) >= maxRouters {
		t.expireLocked(now)
		if len(t.byHolder) >= maxRouters {
			return false
		}
	}
	if req.HeldRevision > h.ackedRevision || !known {
		t.signalLocked()
	}
	// Requests may arrive out of order; neither the revision nor the expiry
	// ever decreases.
	if req.HeldRevision > h.ackedRevision || !known {
		h.ackedRevision = req.HeldRevision
		h.ackedAt = now
	}
	h.expiresAt = now.Add(t.maxDuration())
	t.byHolder[key] = h
	return true
}

// remove deletes the entry of a router that has released its lease. An older
// request of the router that arrives afterwards is harmless: it adds the router
// again, so that changes wait for the router until its entry expires.
func (t *leaseTable) remove(req *pb.LeaseRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byHolder, leaseHolder{req.Router, req.Incarnation})
	t.signalLocked()
}

// signalLocked wakes the calls that wait for acknowledgements.
func (t *leaseTable) signalLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *leaseTable) expireLocked(now time.Time) {
	for key, h := range t.byHolder {
		if !now.Before(h.expiresAt) {
			delete(t.byHolder, key)
		}
	}
}

// nextChange returns a channel that is closed at the next change of the table.
func (t *leaseTable) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// pending returns the routers that may still serve under an older revision, and
// when the first of their leases expires.
func (t *leaseTable) pending(revision uint64, now time.Time) (routers []string, earliestExpiry time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	add := func(name string, end time.Time) {
		routers = append(routers, name)
		if earliestExpiry.IsZero() || end.Before(earliestExpiry) {
			earliestExpiry = end
		}
	}
	if now.Before(t.earlierExpireAt) {
		add(earlierLeaderRouters, t.earlierExpireAt)
	}
	for key, h := range t.byHolder {
		if h.ackedRevision < revision {
			add(key.router, h.expiresAt)
		}
	}
	slices.Sort(routers)
	return routers, earliestExpiry
}

// list returns the routers that may hold a lease, sorted by id.
func (t *leaseTable) list(now time.Time) []*pb.RouterHold {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	out := make([]*pb.RouterHold, 0, len(t.byHolder))
	for key, h := range t.byHolder {
		out = append(out, &pb.RouterHold{
			Router:      key.router,
			Revision:    h.ackedRevision,
			LeaseLeftMs: uint32(h.expiresAt.Sub(now).Milliseconds()),
			HeldMs:      uint64(now.Sub(h.ackedAt).Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b *pb.RouterHold) int { return cmp.Compare(a.Router, b.Router) })
	return out
}
