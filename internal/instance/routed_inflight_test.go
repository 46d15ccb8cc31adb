package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/member"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestTotalsReachEveryRouter simulates the relay trees of two collectors within the control
// budget of each router. A router that receives no totals selects targets by its local
// counts alone. To prevent this, no router may wait longer than two intervals for totals,
// and an interval must not exceed the lifetime of the counts.
func TestTotalsReachEveryRouter(t *testing.T) {
	const (
		countTTL = 1500 * time.Millisecond // as in package balance
		duration = 6 * time.Second
	)
	for _, c := range []struct{ routers, targets int }{{64, 140}, {83, 140}, {83, 284}, {300, 3000}} {
		interval := (totalsInterval(c.targets, 0) + inFlightInterval - 1).Truncate(inFlightInterval)
		if interval > countTTL {
			t.Errorf("%d targets: totals every %v, counts expire after %v", c.targets, interval, countTTL)
		}
		var routers []*pb.RouterStatus
		budgets := make(map[string]*budget.Budget)
		received := make(map[string]time.Time)
		start := time.Unix(1000, 0)
		for i := range c.routers {
			r := &pb.RouterStatus{Id: fmt.Sprintf("edge-%02d", i), CallerAddr: "a", State: pb.RouterState_ROUTER_STATE_SERVING}
			routers = append(routers, r)
			budgets[r.Id] = budget.New(budget.Config{BytesPerSecond: routerBytesPerSecond, BurstBytes: controlBurstBytes})
			received[r.Id] = start
		}
		var forward func(now time.Time, collector, from string, steps int)
		forward = func(now time.Time, collector, from string, steps int) {
			if steps >= balance.MaxRelayHops {
				return
			}
			for _, to := range balance.RelayRecipients(routers, collector, from) {
				if !budgets[from].AllowAt(now, budget.Load, member.InFlightBytes(c.targets, 0)) {
					return
				}
				received[to.Id] = now
				forward(now, collector, to.Id, steps+1)
			}
		}
		worst := time.Duration(0)
		for now := start; now.Before(start.Add(duration)); now = now.Add(interval) {
			for _, collector := range balance.Collectors(routers) {
				received[collector.Id] = now
				forward(now, collector.Id, collector.Id, 0)
			}
			for _, at := range received {
				worst = max(worst, now.Sub(at))
			}
		}
		if worst > 2*interval {
			t.Errorf("%d routers, %d targets: a router waits %v for the totals, which are sent every %v", c.routers, c.targets, worst, interval)
		}
	}
}

// TestHeartbeatRouter checks which router heartbeats are directed to: one in the target's
// data centre if possible, never a draining router or a replica.
func TestHeartbeatRouter(t *testing.T) {
	router := func(id, dataCentre string) *pb.RouterStatus {
		return &pb.RouterStatus{Id: id, DataCentre: dataCentre, CallerAddr: "10.0.0.1:80", State: pb.RouterState_ROUTER_STATE_SERVING}
	}
	replica := router("replica", "a")
	replica.CallerAddr = ""
	draining := router("draining", "a")
	draining.State = pb.RouterState_ROUTER_STATE_DRAINING
	first := func(int) int { return 0 }
	all := []*pb.RouterStatus{replica, draining, router("far", "b"), router("near", "a")}
	if got := pickHeartbeatRouter(all, "a", first).GetId(); got != "near" {
		t.Errorf("a router of the data centre serves: %q", got)
	}
	if got := pickHeartbeatRouter(all, "c", first).GetId(); got != "far" {
		t.Errorf("none of the data centre serves: %q", got)
	}
	if got := pickHeartbeatRouter(all[:2], "a", first); got != nil {
		t.Errorf("no router serves: %q", got.Id)
	}
}

func TestRateMeter(t *testing.T) {
	var m rateMeter
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {100 * time.Millisecond, 2}, {time.Second, 2}, {100 * time.Millisecond, 2}, {100 * time.Millisecond, 3}, {time.Second, 3}, {5 * time.Second, 1}} {
		now = now.Add(c.after)
		if got := m.add(now); got != c.want {
			t.Errorf("after %v: %d, want %d", now.Sub(time.Unix(1000, 0)), got, c.want)
		}
	}
}
