package member

import (
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// probesPerLoadRequest is the number of probes per request for load reports.
	probesPerLoadRequest = 4
	// maxLoads limits the reports in one acknowledgement, the newest ones first.
	maxLoads = 24
)

// loadReports returns the newest load reports that this router knows.
func (c *core) loadReports(now time.Time) *pb.Loads {
	list := slices.DeleteFunc(slices.Clone(c.presentNow(now).list), func(e *targetEntry) bool { return e.status.Load == nil || !c.leased(now, e) })
	slices.SortStableFunc(list, func(a, b *targetEntry) int { return b.loadAt.Compare(a.loadAt) })
	l := &pb.Loads{}
	for _, e := range list[:min(len(list), maxLoads)] {
		l.Keys = append(l.Keys, e.key)
		l.Running = append(l.Running, e.status.Load.Running)
		l.Waiting = append(l.Waiting, e.status.Load.Waiting)
		l.CachePermille = append(l.CachePermille, e.status.Load.CachePermille)
		l.AgesMs = append(l.AgesMs, ageMs(now, e.loadAt))
		l.Sequences = append(l.Sequences, e.status.Sequence)
	}
	return l
}

// applyLoads applies the load reports in the reply to a request that was sent at
// requestedAt.
func (c *core) applyLoads(now time.Time, l *pb.Loads, requestedAt time.Time) {
	for i, key := range l.GetKeys() {
		e := c.byKey[key]
		if e == nil {
			continue
		}
		load := &pb.Load{Running: l.Running[i], Waiting: l.Waiting[i], CachePermille: l.CachePermille[i]}
		if l.Sequences[i] > e.status.Sequence {
			c.setLoad(now, e, load, requestedAt.Add(-milliseconds(l.AgesMs[i])))
			e.status.Sequence = l.Sequences[i]
		}
	}
}

// setLoad records a load report that the engine took at the given time. No reader holds
// the new status until the core returns.
func (c *core) setLoad(now time.Time, e *targetEntry, load *pb.Load, at time.Time) {
	next := shallowCopy(e.status)
	next.Load = &pb.Load{
		Running:       load.Running,
		Waiting:       load.Waiting,
		CachePermille: load.CachePermille,
		AgeMs:         ageMs(now, at),
	}
	e.status = next
	e.loadAt = at
	c.targetChanges++
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// ageMs rounds up, so that an age is never understated.
func ageMs(now, at time.Time) uint32 {
	age := now.Sub(at) + time.Millisecond - 1
	return uint32(max(0, age.Milliseconds()))
}
