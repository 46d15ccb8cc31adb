package member

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxTargets bounds the table of targets.
	maxTargets = 16384
	// presentFor is how long after it was last proven alive a target is
	// compared between views, and can return by a renewal alone.
	presentFor = 20 * time.Second
	// lapsedRetention is how long it stays in the table.
	lapsedRetention = 30 * time.Second
	// MaxStatusBytes bounds a target's encoded status without its load, so
	// that it fits in a datagram.
	MaxStatusBytes = 1000

	announceStep = "announce"
)

// targetEntry is one target as this router knows it.
type targetEntry struct {
	status *pb.TargetStatus
	key    uint64
	// described is the sequence at which the status, apart from sequence and
	// load, was last changed.
	described uint64
	// fresh is the latest time at which the target is proven to have
	// announced itself; the lease counts from it.
	fresh time.Time
	// loadAt is when the engine took the load in status.
	loadAt time.Time
	// seen is when the target was last proven alive, or else added.
	seen time.Time
	// hash and bucket place the entry in digests of views, identity in digests
	// of lists of targets.
	hash     uint32
	bucket   int
	identity uint64
	// lapsed tells that the end of the lease was noted, removed that the entry is
	// no longer in the table.
	lapsed  bool
	removed bool
}

func (e *targetEntry) rehash() {
	e.bucket = bucketOf(e.status.Id)
	e.identity = hashOf(e.status.Id, e.status.Incarnation, leavingBit(e.status))
	e.hash = fold(hashOf(e.status.Id, e.status.Incarnation, e.described, leavingBit(e.status)))
}

func targetKey(id string, incarnation uint64) uint64 { return fleet.TargetKey(id, incarnation) }

// leased tells whether the target's lease at this router holds.
func (c *core) leased(now time.Time, e *targetEntry) bool {
	return !e.fresh.IsZero() && now.Before(e.fresh.Add(c.iv.TargetLease))
}

// announce takes a target's own announcement, which is proven to have been
// made at provenAt or later.
func (c *core) announce(now time.Time, st *pb.TargetStatus, provenAt time.Time) error {
	if err := c.checkAnnouncement(st); err != nil {
		return errs.Wrap(err, announceStep, st.Id)
	}
	if c.describe(now, st) {
		c.news.add(targetNews, st.Id)
	}
	e := c.targets[st.Id]
	if e == nil {
		return errs.New(announceStep, st.Id, fmt.Sprintf("this router already knows %d targets", maxTargets))
	}
	if st.Load != nil {
		c.setLoad(now, e, st.Load, now.Add(-milliseconds(st.Load.AgeMs)))
	}
	if st.Sequence > e.status.Sequence {
		e.status = shallow(e.status)
		e.status.Sequence = st.Sequence
	}
	c.renew(now, e, provenAt)
	return nil
}

func (c *core) checkAnnouncement(st *pb.TargetStatus) error {
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

// mergeTarget takes what another router knows of a target, and passes a change on if
// spread is set. It renews no lease.
func (c *core) mergeTarget(now time.Time, d *pb.TargetDelta, spread bool) {
	st := d.Status
	past, known := c.history.get(st.Id)
	stale := known && (st.Incarnation < past.incarnation || st.Incarnation == past.incarnation && past.left)
	if stale {
		if !st.Leaving {
			// The sender has not heard of the end of this incarnation yet.
			c.news.addUrgent(targetNews, st.Id)
		}
		return
	}
	if c.describe(now, st) && spread {
		c.news.add(targetNews, st.Id)
	}
}

// describe takes the status, apart from its load, of an incarnation that is not older
// than what is known. It tells whether that changes more than that the target leaves,
// which is news at once.
func (c *core) describe(now time.Time, st *pb.TargetStatus) (changed bool) {
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
	changed = st.Sequence > e.described && !sameDescription(e.status, st)
	if changed {
		next := withoutLoad(st)
		next.Load = e.status.Load
		next.Sequence = e.status.Sequence
		e.status = next
		e.described = st.Sequence
		e.rehash()
		c.targetsChanged()
		c.targetChanges++
	}
	return changed
}

// addTarget adds a target; false if there is no room for one more.
func (c *core) addTarget(now time.Time, st *pb.TargetStatus) bool {
	if len(c.targets) >= maxTargets {
		return false
	}
	e := &targetEntry{
		status:    withoutLoad(st),
		key:       targetKey(st.Id, st.Incarnation),
		described: st.Sequence,
		seen:      now,
	}
	e.rehash()
	c.targets[st.Id] = e
	c.byKey[e.key] = e
	c.targetsChanged()
	c.history.set(st.Id, st.Incarnation, st.Leaving)
	c.noteTarget(st.Id, st.Incarnation, eventTargetAppeared)
	c.targetChanges++
	return true
}

func (c *core) removeTarget(e *targetEntry) {
	delete(c.targets, e.status.Id)
	delete(c.byKey, e.key)
	e.removed = true
	c.targetsChanged()
	c.targetChanges++
}

// markLeaving ends an incarnation for new work, for good.
func (c *core) markLeaving(id string, incarnation uint64) {
	past, known := c.history.get(id)
	if known && past.incarnation == incarnation && past.left {
		return
	}
	c.history.set(id, incarnation, true)
	c.noteTarget(id, incarnation, eventTargetLeaves)
	c.news.addUrgent(targetNews, id)
	e := c.targets[id]
	if e == nil || e.status.Incarnation != incarnation {
		return
	}
	next := withoutLoad(e.status)
	next.Leaving = true
	e.status = next
	e.rehash()
	c.targetsChanged()
	c.targetChanges++
}

// renew takes the proof that the target announced itself at provenAt or later.
func (c *core) renew(now time.Time, e *targetEntry, provenAt time.Time) {
	invariant.Check(!provenAt.After(now), "target proven in the future", "target", e.status.Id)
	if provenAt.After(e.fresh) {
		if !c.leased(now, e) {
			c.targetChanges++
		}
		if !c.present(now, e) {
			c.targetsChanged()
		}
		e.fresh = provenAt
		e.seen = provenAt
		c.presence.until = earliest(c.presence.until, provenAt.Add(presentFor))
		c.lapseDue = earliest(c.lapseDue, provenAt.Add(c.iv.TargetLease))
	}
	if e.lapsed && c.leased(now, e) {
		e.lapsed = false
		c.noteProof(now, e, eventTargetRenewed)
	}
}

// noteLapses records the targets whose leases ended since the last call. Those
// that leave are known to have ended.
func (c *core) noteLapses(now time.Time) {
	if now.Before(c.lapseDue) {
		return
	}
	c.lapseDue = now.Add(c.iv.TargetLease)
	for _, e := range c.targets {
		switch {
		case e.lapsed || e.fresh.IsZero() || e.status.Leaving:
		case c.leased(now, e):
			c.lapseDue = earliest(c.lapseDue, e.fresh.Add(c.iv.TargetLease))
		default:
			e.lapsed = true
			c.noteProof(now, e, eventTargetLapsed)
		}
	}
}

// targetDelta returns the news of a target, nil if nothing is known of it.
func (c *core) targetDelta(id string) *pb.TargetDelta {
	if e := c.targets[id]; e != nil && !e.status.Leaving {
		st := withoutLoad(e.status)
		st.Sequence = e.described
		return &pb.TargetDelta{Status: st}
	}
	past, known := c.history.get(id)
	if !known || !past.left {
		return nil
	}
	return &pb.TargetDelta{Status: &pb.TargetStatus{Id: id, Incarnation: past.incarnation, Leaving: true}}
}

// sameDescription compares statuses apart from sequence and load.
func sameDescription(a, b *pb.TargetStatus) bool {
	x, y := withoutLoad(a), withoutLoad(b)
	x.Sequence, y.Sequence = 0, 0
	return proto.Equal(x, y)
}

func withoutLoad(st *pb.TargetStatus) *pb.TargetStatus {
	next := shallow(st)
	next.Load = nil
	return next
}

// shallow copies a status; models, routes and load stay shared.
func shallow(st *pb.TargetStatus) *pb.TargetStatus {
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
	}
}
