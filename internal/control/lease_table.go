package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// maxRouters bounds the routers whose leases a leader tracks.
const maxRouters = 8192

// earlierLeaderRouters stands for the routers that an earlier leader may have
// granted a lease.
const earlierLeaderRouters = "routers of an earlier leader"

type leaseHolder struct {
	router      string
	incarnation uint64
}

type leaseState struct {
	// ackedRevision that the router last acknowledged.
	ackedRevision uint64
	// ackedAt is when it was first known to have acknowledged the revision.
	ackedAt time.Time
	// expiresAt is when the last lease it may have been granted ends, by this
	// replica's clock. The router counts from its send time, which is earlier.
	expiresAt time.Time
}

// leaseTable is what the leader of one term knows of routers' leases.
type leaseTable struct {
	length time.Duration

	mu   sync.Mutex
	term uint64
	// earlierExpireAt is when all leases granted in earlier terms are over.
	earlierExpireAt time.Time
	byHolder        map[leaseHolder]leaseState
	// changed is closed and replaced when an acknowledgement comes.
	changed chan struct{}
}

func newLeaseTable(length time.Duration) *leaseTable {
	return &leaseTable{
		length:   length,
		byHolder: make(map[leaseHolder]leaseState),
		changed:  make(chan struct{}),
	}
}

// maxDuration is one lease as this replica counts it: to the end of a router's
// clock that runs slow.
func (t *leaseTable) maxDuration() time.Duration {
	return t.length + time.Duration(maxClockDrift*float64(t.length))
}

// startTerm starts the table anew for a term that this replica was not yet seen
// to lead. Evidence of the earlier leader is older than this one's first
// confirmed period, so its leases end within one length of now.
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

// record records a lease request; it returns false if the table is full.
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
	// Requests may arrive out of order; neither value falls.
	if req.HeldRevision > h.ackedRevision || !known {
		h.ackedRevision = req.HeldRevision
		h.ackedAt = now
	}
	h.expiresAt = now.Add(t.maxDuration())
	t.byHolder[key] = h
	return true
}

// remove forgets a router that ended its lease. An older request of it that
// arrives later only makes it waited for again.
func (t *leaseTable) remove(req *pb.LeaseRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byHolder, leaseHolder{req.Router, req.Incarnation})
	t.signalLocked()
}

// signalLocked wakes those that wait for acknowledgements.
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

// nextChange returns a channel that closes at the next change.
func (t *leaseTable) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// pending returns the routers that may serve under an older revision, and when
// the first of their leases ends.
func (t *leaseTable) pending(revision uint64, now time.Time) (routers []string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireLocked(now)
	add := func(name string, end time.Time) {
		routers = append(routers, name)
		if until.IsZero() || end.Before(until) {
			until = end
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
	return routers, until
}

// list returns the routers that may hold a lease, by id.
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
