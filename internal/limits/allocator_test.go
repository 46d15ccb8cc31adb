package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A busy router must not take the reserve of the routers that have not requested
// a share yet: each gets a share for at least one request with its first request.
func TestEveryRouterGetsASlotAtOnce(t *testing.T) {
	const routers = 9
	limits := Amount{Requests: 50, Tokens: unlimited, Concurrency: 20}
	l := NewAllocator()
	now := time.Now()
	for i := range routers {
		demand := Amount{Requests: 1, Concurrency: 1}
		if i == 0 {
			demand = Amount{Requests: 1000, Concurrency: 1000}
		}
		share := l.Allocate(now, ShareRequest{Customer: "c", Router: fmt.Sprint(i), Limits: limits, Demand: demand, Routers: names(routers)})
		if share.Concurrency < 1 || share.Requests < 1 {
			t.Fatalf("router %d got the share %+v", i, share)
		}
		if i == 0 && share.Concurrency < 10 {
			t.Fatalf("the busy router got the share %+v", share)
		}
	}
}

// The sum of the shares held by routers never exceeds the contract, also when
// replies are lost.
func TestLentSharesStayWithinTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amount{
			Requests:    rapid.Float64Range(0.1, 1000).Draw(t, "requests"),
			Tokens:      rapid.Float64Range(1, 1e6).Draw(t, "tokens"),
			Concurrency: float64(rapid.IntRange(1, 100).Draw(t, "concurrency")),
		}
		routers := rapid.IntRange(1, 30).Draw(t, "routers")
		l := NewAllocator()
		now := time.Unix(0, 0)
		type hold struct {
			share Amount
			until time.Time
		}
		held := make(map[string]hold)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			router := fmt.Sprint(rapid.IntRange(1, routers).Draw(t, "router"))
			req := ShareRequest{Customer: "c", Router: router, Limits: limits, Routers: names(routers)}
			if h := held[router]; h.until.After(now) {
				req.Held = h.share
			}
			req.Demand.Requests = rapid.Float64Range(0, 2000).Draw(t, "demand")
			req.Demand.Concurrency = float64(rapid.IntRange(0, 200).Draw(t, "slots"))
			share := l.Allocate(now, req)
			lost := rapid.Bool().Draw(t, "answer lost")
			if !lost {
				held[router] = hold{share: share, until: now.Add(ShareLifetime)}
			}
			var sum Amount
			for _, h := range held {
				if h.until.After(now) {
					sum.Requests += h.share.Requests
					sum.Concurrency += h.share.Concurrency
				}
			}
			const rounding = 1e-6
			if sum.Requests > limits.Requests+rounding || sum.Concurrency > limits.Concurrency {
				t.Fatalf("routers hold %+v of %+v", sum, limits)
			}
		}
	})
}

// names returns the ids of the routers 0 to n.
func names(n int) []string {
	var ids []string
	for i := range n + 1 {
		ids = append(ids, fmt.Sprint(i))
	}
	return ids
}

// The allocations of dead routers count as allocated, but must not reduce the
// reserve of the live routers that have not requested a share yet.
func TestLoansOfDeadRoutersKeepTheReserve(t *testing.T) {
	limits := Amount{Requests: unlimited, Tokens: unlimited, Concurrency: 20}
	l := NewAllocator()
	now := time.Now()
	request := func(router string, demand float64, alive ...string) float64 {
		return l.Allocate(now, ShareRequest{Customer: "c", Router: router, Limits: limits, Demand: Amount{Concurrency: demand}, Routers: alive}).Concurrency
	}
	request("dead1", 1, "dead1", "dead2", "a", "b", "c")
	request("dead2", 1, "dead1", "dead2", "a", "b", "c")
	request("a", 100, "a", "b", "c")
	for _, router := range []string{"b", "c"} {
		if got := request(router, 1, "a", "b", "c"); got < 1 {
			t.Fatalf("router %s got %v slots", router, got)
		}
	}
}

// A new owner does not know the shares that the previous one allocated. Routers
// that still hold nearly all of the contract must not keep a third router from
// serving its first request. Once these shares have expired, the owner allocates
// nothing while one router holds the complete contract.
func TestNewHomeLendsEachRouterItsPart(t *testing.T) {
	limits := Amount{Requests: 50, Tokens: unlimited, Concurrency: 20}
	held := Amount{Requests: 40, Concurrency: 15}
	l := NewAllocator()
	now := time.Now()
	for _, router := range []string{"a", "b"} {
		l.Allocate(now, ShareRequest{Customer: "c", Router: router, Limits: limits, Held: held, Demand: Amount{Requests: 5, Concurrency: 3}, Routers: names(4)})
	}
	share := l.Allocate(now, ShareRequest{Customer: "c", Router: "0", Limits: limits, Demand: Amount{Requests: 1, Concurrency: 1}, Routers: names(4)})
	if share.Concurrency < 1 || share.Requests < 1 {
		t.Fatalf("the third router got the share %+v", share)
	}
	later := now.Add(ShareLifetime)
	share = l.Allocate(later, ShareRequest{Customer: "c", Router: "a", Limits: limits, Held: limits, Demand: Amount{Requests: 5, Concurrency: 3}, Routers: names(4)})
	if got := l.Allocate(later, ShareRequest{Customer: "c", Router: "1", Limits: limits, Routers: names(4)}); got.Concurrency > 0 {
		t.Fatalf("after the shares of the previous owner expired, the owner allocated %+v while another router held %+v", got, limits)
	}
}
