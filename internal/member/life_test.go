package member

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestTargetLife guards against an incarnation that is taken for alive although a later one is
// known, under its id or at its address, and against one that is taken for replaced by a target
// that started before it.
func TestTargetLife(t *testing.T) {
	const lease = 7200 * time.Millisecond
	served := &pb.TargetStatus{Id: "t", Addr: "10.0.0.1:80", Service: "s", Incarnation: 1000, Sequence: 1}
	other := func(id, addr string, incarnation uint64, leaving bool) *pb.TargetStatus {
		return &pb.TargetStatus{Id: id, Addr: addr, Service: "s", Incarnation: incarnation, Sequence: 2, Leaving: leaving}
	}
	for name, test := range map[string]struct {
		// announced is announced after served; nil means nothing is.
		announced *pb.TargetStatus
		// after is the time since the announcement of served.
		after time.Duration
		want  TargetLife
	}{
		"alive":                              {},
		"overdue":                            {after: lease/overduePart + time.Millisecond, want: TargetLife{Overdue: true}},
		"leaves":                             {announced: other("t", "10.0.0.1:80", 1000, true), want: TargetLife{Left: true}},
		"restarted":                          {announced: other("t", "10.0.0.1:80", 1001, false), want: TargetLife{Replaced: true}},
		"another target at its address":      {announced: other("u", "10.0.0.1:80", 1001, false), want: TargetLife{Replaced: true}},
		"an earlier one at its address":      {announced: other("u", "10.0.0.1:80", 999, false)},
		"another target somewhere else":      {announced: other("u", "10.0.0.2:80", 1001, false)},
		"one without a start at its address": {announced: other("u", "10.0.0.1:80", 0, false)},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(time.Hour, 1, 1, 0, 1)
			c := w.nodes[0].core
			c.intervals.TargetLease = lease
			if err := c.announce(w.now, served, w.now); err != nil {
				t.Fatal(err)
			}
			if test.announced != nil {
				if err := c.announce(w.now, test.announced, w.now); err != nil {
					t.Fatal(err)
				}
			}
			got := c.targetLife(w.now.Add(test.after), served)
			got.ProvenAt = time.Time{}
			if got != test.want {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}
