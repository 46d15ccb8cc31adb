package member

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// overduePart is the part of a lease after which the next announcement of a target is overdue.
// A lease covers several announcements.
const overduePart = 3

// TargetLife is what a router knows of one incarnation of a target.
type TargetLife struct {
	// Left is set if the incarnation is known to leave, or to have left, as planned.
	Left bool
	// Replaced is set if a later incarnation is known under the target's id, or a target that
	// started later at its address.
	Replaced bool
	// ProvenAt is the latest time at which the incarnation is proven to have announced itself;
	// zero if there is no proof.
	ProvenAt time.Time
	// Overdue is set if the last proof is older than usual.
	Overdue bool
}

// targetLife returns what is known at now of the incarnation that announced st.
func (c *core) targetLife(now time.Time, st *pb.TargetStatus) TargetLife {
	past, known := c.history.get(st.Id)
	life := TargetLife{
		Left:     known && past.incarnation == st.Incarnation && past.left,
		Replaced: known && past.incarnation > st.Incarnation || c.addrTakenOver(st),
	}
	if e := c.targets[st.Id]; e != nil && e.status.Incarnation == st.Incarnation {
		life.ProvenAt = e.lastProof
		life.Overdue = !e.lastProof.IsZero() && now.Sub(e.lastProof) > c.intervals.TargetLease/overduePart
	}
	return life
}

// addrTakenOver reports whether another target that started later is known at the address of st.
// Incarnations of different targets can be compared only if they are times of their starts; a
// target that does not announce that has the incarnation zero.
func (c *core) addrTakenOver(st *pb.TargetStatus) bool {
	for id, e := range c.targets {
		if id != st.Id && e.status.Addr == st.Addr && st.Incarnation > 0 && e.status.Incarnation > st.Incarnation {
			return true
		}
	}
	return false
}
