package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestTotalsReachEveryRouter replays the sums of two collectors to 64 and to 83
// routers within the control budget of each: nobody waits for them longer than
// three intervals. Routers without them place requests by their own counts alone.
func TestTotalsReachEveryRouter(t *testing.T) {
	const (
		targetBytes   = 5  // one target in a message
		overheadBytes = 90 // the rest of a message and its packet
		maxGap        = 3 * shareInterval
		length        = 6 * time.Second
	)
	for _, c := range []struct{ routers, targets int }{{64, 140}, {83, 140}, {83, 170}} {
		var routers []*pb.RouterStatus
		budgets := make(map[string]*budget.Budget)
		heard := make(map[string]time.Time)
		start := time.Unix(1000, 0)
		for i := range c.routers {
			r := &pb.RouterStatus{Id: fmt.Sprintf("edge-%02d", i), CallerAddr: "a", State: pb.RouterState_ROUTER_STATE_SERVING}
			routers = append(routers, r)
			budgets[r.Id] = budget.New(budget.Config{BytesPerSecond: routedBytesPerSecond, BurstBytes: routedBurstBytes})
			heard[r.Id] = start
		}
		bytes := c.targets*targetBytes + overheadBytes
		var pass func(now time.Time, collector, from string, steps int)
		pass = func(now time.Time, collector, from string, steps int) {
			if steps >= balance.MaxRelaySteps {
				return
			}
			for _, to := range balance.Relays(routers, collector, from) {
				if !budgets[from].AllowAt(now, budget.Load, bytes) {
					return
				}
				heard[to.Id] = now
				pass(now, collector, to.Id, steps+1)
			}
		}
		worst := time.Duration(0)
		for now := start; now.Before(start.Add(length)); now = now.Add(shareInterval) {
			for _, collector := range balance.Collectors(routers) {
				heard[collector.Id] = now
				pass(now, collector.Id, collector.Id, 0)
			}
			for _, at := range heard {
				worst = max(worst, now.Sub(at))
			}
		}
		if worst > maxGap {
			t.Errorf("%d routers, %d targets: a router waits %v for the totals, want at most %v", c.routers, c.targets, worst, maxGap)
		}
	}
}
