package member

import (
	"fmt"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxTargets limits the number of targets in the table.
	maxTargets = 16384
	// presentPeriod is how long a target counts as present after its last proof of
	// life. Routers compare their present targets by digests, also those whose lease
	// has expired. A renewal without a status is enough to list a present target again.
	presentPeriod = 20 * time.Second
	// expiredRetention is how long after its last proof of life a target stays in the
	// table.
	expiredRetention = 30 * time.Second
	// MaxStatusBytes limits a target's encoded status without its load, so that it fits
	// in a datagram.
	MaxStatusBytes = 1000

	announceStep = "announce"
)

// targetEntry is this router's knowledge of one target.
type targetEntry struct {
	status *pb.TargetStatus
	key    uint64
	// statusSequence is the target's sequence number when its status, apart from
	// sequence and load, last changed.
	statusSequence uint64
	// lastProof is the latest time at which the target is proven to have announced
	// itself; the lease runs from then.
	lastProof time.Time
	// loadAt is when the engine measured the load in status.
	loadAt time.Time
	// lastSeen is when the target was last proven alive; before any proof, when it was
	// added.
	lastSeen time.Time
	// coldUntil is when the target becomes warm; zero if it is not cold.
	coldUntil time.Time
	// hash and bucket determine the entry's part in digests of views, identity its part
	// in digests of lists of targets.
	hash     uint32
	bucket   int
	identity uint64
	// expired is set once the expiry of the lease was recorded; removed is set once the
	// entry is no longer in the table.
	expired bool
	removed bool
}

func (e *targetEntry) rehash() {
	e.bucket = bucketOf(e.status.Id)
	e.identity = hashOf(e.status.Id, e.status.Incarnation, leavingBit(e.status))
	e.hash = fold32(hashOf(e.status.Id, e.status.Incarnation, e.statusSequence, leavingBit(e.status)))
}

func targetKey(id string, incarnation uint64) uint64 { return fleet.TargetKey(id, incarnation) }

// leased reports whether the target holds a lease at this router.
func (c *core) leased(now time.Time, e *targetEntry) bool {
	return !e.lastProof.IsZero() && now.Before(e.lastProof.Add(c.intervals.TargetLease))
}

// announce records a target's own announcement, which is proven to have been made at
// provenAt or later.
func (c *core) announce(now time.Time, st *pb.TargetStatus, provenAt time.Time) error {
	if err := c.checkAnnouncement(st); err != nil {
		return errs.Wrap(err, announceStep, st.Id)
	}
	if c.applyStatus(now, st) {
		c.updates.add(targetUpdate, st.Id)
	}
	e := c.targets[st.Id]
	if e == nil {
		return errs.New(announceStep, st.Id, fmt.Sprintf("the target table is full: %d targets", maxTargets))
	}
	if st.Load != nil {
		c.setLoad(now, e, st.Load, now.Add(-milliseconds(st.Load.AgeMs)))
	}
	if st.Sequence > e.status.Sequence {
		e.status = shallowCopy(e.status)
		e.status.Sequence = st.Sequence
	}
	c.renew(now, e, provenAt)
	return nil
}

func (c *core) checkAnnouncement(st *pb.TargetStatus) error {
	// A string that protobuf can't encode would end each datagram that carries it.
	if !utf8.ValidString(st.Id) || !utf8.ValidString(st.Service) || !utf8.ValidString(st.DataCentre) || !utf8.ValidString(st.Addr) {
		return fmt.Errorf("a name in the status of target %q is not valid UTF-8", st.Id)
	}
	past, known := c.history.get(st.Id)
	if !known {
		return nil
	}
	if st.Incarnation < past.incarnation {
		return fmt.Errorf("incarnation %d of target %s is older than %d, which is known", st.Incarnation, st.Id, past.incarnation)
	}
	if st.Incarnation > past.incarnation {
		return nil
	}
	if past.left && !st.Leaving {
		return fmt.Errorf("incarnation %d of target %s has left; a restart needs a higher one", st.Incarnation, st.Id)
	}
	if e := c.targets[st.Id]; e != nil && st.Sequence <= e.status.Sequence {
		return fmt.Errorf("sequence %d of target %s is not above %d, which is known", st.Sequence, st.Id, e.status.Sequence)
	}
	return nil
}

// mergeTarget merges another router's status of a target; it queues a change as an
// update if propagate is set. It renews no lease.
func (c *core) mergeTarget(now time.Time, d *pb.TargetDelta, propagate bool) {
	st := d.Status
	past, known := c.history.get(st.Id)
	stale := known && (st.Incarnation < past.incarnation || st.Incarnation == past.incarnation && past.left)
	if stale {
		if !st.Leaving {
			// The sender has not learned yet that this incarnation has ended: queue the
			// update again.
			c.updates.addUrgent(targetUpdate, st.Id)
		}
		return
	}
	if c.applyStatus(now, st) && propagate {
		c.updates.add(targetUpdate, st.Id)
	}
}

// applyStatus applies a status, apart from its load. Its incarnation must not be older
// than the known one, unless the status says that the target leaves. It reports whether
// the status changed. A status that says that the target leaves does not count as a
// change: markLeaving queues that update itself.
func (c *core) applyStatus(now time.Time, st *pb.TargetStatus) (changed bool) {
	e := c.targets[st.Id]
	if e != nil && e.status.Incarnation < st.Incarnation {
		c.removeTarget(e)
		e = nil
	}
	if st.Leaving {
		c.markLeaving(st.Id, st.Incarnation)
		if e == nil && st.Addr != "" {
			c.addTarget(now, st)
		}
		return false
	}
	if e == nil {
		return c.addTarget(now, st)
	}
	changed = st.Sequence > e.statusSequence && (!sameStatus(e.status, st) || !e.sameCold(now, st))
	if changed {
		next := withoutLoad(st)
		next.Load = e.status.Load
		next.Sequence = e.status.Sequence
		e.status = next
		e.statusSequence = st.Sequence
		e.rehash()
		c.setCold(now, e, st)
		c.invalidatePresent()
		c.targetChanges++
	}
	return changed
}

// addTarget adds a target. It returns false if the table is full.
func (c *core) addTarget(now time.Time, st *pb.TargetStatus) bool {
	if len(c.targets) >= maxTargets {
		return false
	}
	e := &targetEntry{
		status:         withoutLoad(st),
		key:            targetKey(st.Id, st.Incarnation),
		statusSequence: st.Sequence,
		lastSeen:       now,
	}
	e.rehash()
	c.targets[st.Id] = e
	c.byKey[e.key] = e
	c.invalidatePresent()
	c.history.set(st.Id, st.Incarnation, st.Leaving)
	c.recordTargetEvent(st.Id, st.Incarnation, eventTargetAppeared)
	c.setCold(now, e, st)
	c.targetChanges++
	return true
}

func (c *core) removeTarget(e *targetEntry) {
	delete(c.targets, e.status.Id)
	delete(c.byKey, e.key)
	e.removed = true
	c.invalidatePresent()
	c.targetChanges++
}

// markLeaving marks an incarnation as leaving: it never gets new work again.
func (c *core) markLeaving(id string, incarnation uint64) {
	past, known := c.history.get(id)
	if known && past.incarnation == incarnation && past.left {
		return
	}
	c.history.set(id, incarnation, true)
	c.recordTargetEvent(id, incarnation, eventTargetLeaves)
	c.updates.addUrgent(targetUpdate, id)
	e := c.targets[id]
	if e == nil || e.status.Incarnation != incarnation {
		return
	}
	next := withoutLoad(e.status)
	next.Leaving = true
	e.status = next
	e.rehash()
	c.invalidatePresent()
	c.targetChanges++
}

// renew records the proof that the target announced itself at provenAt or later.
func (c *core) renew(now time.Time, e *targetEntry, provenAt time.Time) {
	invariant.Check(!provenAt.After(now), "target proven in the future", "target", e.status.Id)
	if provenAt.After(e.lastProof) {
		if !c.leased(now, e) {
			c.targetChanges++
		}
		if !c.present(now, e) {
			c.invalidatePresent()
		}
		e.lastProof = provenAt
		e.lastSeen = provenAt
		c.presentCache.expiresAt = earliest(c.presentCache.expiresAt, provenAt.Add(presentPeriod))
		c.nextLeaseExpiry = earliest(c.nextLeaseExpiry, provenAt.Add(c.intervals.TargetLease))
	}
	if e.expired && c.leased(now, e) {
		e.expired = false
		c.recordLeaseEvent(now, e, eventTargetRenewed)
	}
}

// recordExpiredLeases records the targets whose leases expired since the last call.
// Leaving targets are left out: the expiry of their leases is expected.
func (c *core) recordExpiredLeases(now time.Time) {
	if now.Before(c.nextLeaseExpiry) {
		return
	}
	c.nextLeaseExpiry = now.Add(c.intervals.TargetLease)
	for _, e := range c.targets {
		switch {
		case e.expired || e.lastProof.IsZero() || e.status.Leaving:
		case c.leased(now, e):
			c.nextLeaseExpiry = earliest(c.nextLeaseExpiry, e.lastProof.Add(c.intervals.TargetLease))
		default:
			e.expired = true
			c.recordLeaseEvent(now, e, eventTargetExpired)
		}
	}
}

// targetDelta returns the state of a target at now as a delta, nil if the target is
// unknown.
func (c *core) targetDelta(now time.Time, id string) *pb.TargetDelta {
	if e := c.targets[id]; e != nil && !e.status.Leaving {
		st := withoutLoad(e.status)
		st.Sequence = e.statusSequence
		st.ColdMs = e.coldMs(now)
		return &pb.TargetDelta{Status: st}
	}
	past, known := c.history.get(id)
	if !known || !past.left {
		return nil
	}
	return &pb.TargetDelta{Status: &pb.TargetStatus{Id: id, Incarnation: past.incarnation, Leaving: true}}
}

// sameStatus reports whether two statuses are equal apart from sequence, load and the time
// for which the target stays cold.
func sameStatus(a, b *pb.TargetStatus) bool {
	x, y := withoutLoad(a), withoutLoad(b)
	x.Sequence, y.Sequence = 0, 0
	x.ColdMs, y.ColdMs = 0, 0
	return proto.Equal(x, y)
}

func withoutLoad(st *pb.TargetStatus) *pb.TargetStatus {
	next := shallowCopy(st)
	next.Load = nil
	return next
}

// shallowCopy returns a copy of a status that shares models, routes and load with the
// original.
func shallowCopy(st *pb.TargetStatus) *pb.TargetStatus {
	return &pb.TargetStatus{
		Id:            st.Id,
		Kind:          st.Kind,
		Addr:          st.Addr,
		Incarnation:   st.Incarnation,
		Sequence:      st.Sequence,
		DataCentre:    st.DataCentre,
		Models:        st.Models,
		Capacity:      st.Capacity,
		Service:       st.Service,
		Routes:        st.Routes,
		Load:          st.Load,
		Leaving:       st.Leaving,
		ChecksFencing: st.ChecksFencing,
		Role:          st.Role,
		ColdMs:        st.ColdMs,
	}
}
