package picker

import (
	"maps"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// mark makes a target count as cold until a time, or until a heartbeat with a higher sequence
// number is known, which says whether the target is cold.
type mark struct {
	until    time.Time
	sequence uint64
}

// marks holds the targets that count as cold although their status does not say so. Any number of
// goroutines may call apply; calls of add must not be concurrent.
type marks struct {
	// current is nil if no target is marked. The set that it points to is not modified.
	current atomic.Pointer[markSet]
}

// markSet holds marks by target key (fleet.TargetKey). The last of them ends at until.
type markSet struct {
	byTarget map[uint64]mark
	until    time.Time
}

// apply reports whether the target counts as cold because of a mark.
func (m *marks) apply(st *pb.TargetStatus) bool {
	current := m.current.Load()
	if current == nil {
		return false
	}
	now := time.Now()
	if !now.Before(current.until) {
		m.current.CompareAndSwap(current, nil)
		return false
	}
	mark, marked := current.byTarget[fleet.TargetKey(st.Id, st.Incarnation)]
	return marked && now.Before(mark.until) && st.Sequence <= mark.sequence
}

// add adds marks and removes those whose time has passed.
func (m *marks) add(now time.Time, added map[uint64]mark) {
	next := &markSet{byTarget: make(map[uint64]mark)}
	if current := m.current.Load(); current != nil {
		maps.Copy(next.byTarget, current.byTarget)
	}
	maps.DeleteFunc(next.byTarget, func(_ uint64, mark mark) bool { return !now.Before(mark.until) })
	maps.Copy(next.byTarget, added)
	for _, mark := range next.byTarget {
		if mark.until.After(next.until) {
			next.until = mark.until
		}
	}
	m.current.Store(next)
}
