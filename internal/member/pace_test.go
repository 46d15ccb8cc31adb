package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestProbeInterval checks that probes are frequent enough for a proof of life to pass
// through the fleet within a tenth of the lease, and that while views agree a long
// lease causes no more probes than necessary for that.
func TestProbeInterval(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		routers     int
		lease       time.Duration
		differed    time.Duration
		least, most time.Duration
	}{
		{3, 2500 * ms, 5000 * ms, 150 * ms, 150 * ms},
		{10, 2500 * ms, 5000 * ms, 150 * ms, 150 * ms},
		{100, 2500 * ms, 5000 * ms, 70 * ms, 80 * ms},
		{30, 7200 * ms, 5000 * ms, 140 * ms, 150 * ms},
		{100, 7200 * ms, 5000 * ms, 105 * ms, 110 * ms},
		{100, 7200 * ms, 500 * ms, 70 * ms, 80 * ms},
		{1800, 7200 * ms, 5000 * ms, 65 * ms, 70 * ms},
	} {
		now := time.Unix(1000, 0)
		core := newCore(coreConfig{
			self:      &pb.RouterStatus{Id: "self", Incarnation: 1},
			intervals: Intervals{TargetLease: c.lease},
			rng:       rand.New(rand.NewPCG(1, 1)),
			allow:     func(time.Time, budget.Class, int) bool { return true },
		}, now)
		for i := 1; i < c.routers; i++ {
			core.routers[fmt.Sprint(i)] = &routerEntry{}
		}
		if got := core.probeInterval(now.Add(c.differed)); got < c.least || got > c.most {
			t.Errorf("%d routers, leases of %v, views differed %v ago: a probe every %v, want %v to %v", c.routers, c.lease, c.differed, got, c.least, c.most)
		}
	}
}
