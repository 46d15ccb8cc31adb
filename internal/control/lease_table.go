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

// unknownRouters stands for the routers that an earlier leader may have
// granted a lease.
const unknownRouters = "routers of an earlier leader"

type holder struct {
	router      string
	incarnation uint64
}

type hold struct {
	// revision that the router last acknowledged.
	revision uint64
	// since is when it was first known to have acknowledged the revision.
	since time.Time
	// until is when the last lease it may have been granted ends, by this
	// replica's clock. The router counts from its send time, which is earlier.
	until time.Time
}

// leaseTable is what the leader of one term knows of routers' leases.
type leaseTable struct {
	length time.Duration

	mu   sync.Mutex
	term uint64
	// settled is when all leases granted in earlier terms are over.
	settled  time.Time
	byHolder map[holder]hold
	// changed is closed and replaced when an acknowledgement comes.
	changed chan struct{}
}

func newLeaseTable(length time.Duration) *leaseTable {
	return &leaseTable{
		length:   length,
		byHolder: make(map[holder]hold),
		changed:  make(chan struct{}),
	}
}

// counted is one lease as this replica counts it: to the end of a router's
// clock that runs slow.
func (t *leaseTable) counted() time.Duration {
	return t.length + time.Duration(driftShare*float64(t.length))
}

// enter starts the table anew for a term that this replica was not yet seen
// to lead. Evidence of the earlier leader is older than this one's first
// confirmed period, so its leases end within one length of now.
func (t *leaseTable) enter(term uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if term <= t.term {
		return
	}
	t.term = term
	t.settled = now.Add(t.counted())
	clear(t.byHolder)
}

// note records a lease request; it returns false if the table is full.
func (t *leaseTable) note(req *pb.LeaseRequest, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := holder{req.Router, req.Incarnation}
	h, known := t.byHolder[key]
	if !known && len(t.byHolder) >= maxRouters {
		t.sweepLocked(now)
		if len(t.byHolder) >= maxRouters {
			return false
		}
	}
	if req.HeldRevision > h.revision || !known {
		t.signalLocked()
	}
	// Requests may arrive out of order; neither value falls.
	if req.HeldRevision > h.revision || !known {
		h.revision = req.HeldRevision
		h.since = now
	}
	h.until = now.Add(t.counted())
	t.byHolder[key] = h
	return true
}

// drop forgets a router that ended its lease. An older request of it that
// arrives later only makes it waited for again.
func (t *leaseTable) drop(req *pb.LeaseRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byHolder, holder{req.Router, req.Incarnation})
	t.signalLocked()
}

// signalLocked wakes those that wait for acknowledgements.
func (t *leaseTable) signalLocked() {
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *leaseTable) sweepLocked(now time.Time) {
	for key, h := range t.byHolder {
		if !now.Before(h.until) {
			delete(t.byHolder, key)
		}
	}
}

// watch returns a channel that closes at the next change.
func (t *leaseTable) watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// waiting returns the routers that may serve under an older revision, and when
// the first of their leases ends.
func (t *leaseTable) waiting(revision uint64, now time.Time) (routers []string, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepLocked(now)
	add := func(name string, end time.Time) {
		routers = append(routers, name)
		if until.IsZero() || end.Before(until) {
			until = end
		}
	}
	if now.Before(t.settled) {
		add(unknownRouters, t.settled)
	}
	for key, h := range t.byHolder {
		if h.revision < revision {
			add(key.router, h.until)
		}
	}
	slices.Sort(routers)
	return routers, until
}

// holds returns the routers that may hold a lease, by id.
func (t *leaseTable) holds(now time.Time) []*pb.RouterHold {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweepLocked(now)
	out := make([]*pb.RouterHold, 0, len(t.byHolder))
	for key, h := range t.byHolder {
		out = append(out, &pb.RouterHold{
			Router:      key.router,
			Revision:    h.revision,
			LeaseLeftMs: uint32(h.until.Sub(now).Milliseconds()),
			HeldMs:      uint64(now.Sub(h.since).Milliseconds()),
		})
	}
	slices.SortFunc(out, func(a, b *pb.RouterHold) int { return cmp.Compare(a.Router, b.Router) })
	return out
}
