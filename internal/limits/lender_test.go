package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A busy router leaves room for the others: each gets a request through as
// soon as it asks, in any order.
func TestEveryRouterGetsASlotAtOnce(t *testing.T) {
	const routers = 9
	limits := Amount{Requests: 50, Tokens: unlimited, Concurrency: 20}
	l := NewLender()
	now := time.Now()
	for i := range routers {
		demand := Amount{Requests: 1, Concurrency: 1}
		if i == 0 {
			demand = Amount{Requests: 1000, Concurrency: 1000}
		}
		share := l.Lend(now, Ask{Customer: "c", Router: fmt.Sprint(i), Limits: limits, Demand: demand, Routers: routers})
		if share.Concurrency < 1 || share.Requests < 1 {
			t.Fatalf("router %d got %+v", i, share)
		}
		if i == 0 && share.Concurrency < 10 {
			t.Fatalf("the busy router got %+v", share)
		}
	}
}

// The sum of what routers may use never passes the contract.
func TestLentSharesStayWithinTheContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amount{
			Requests:    rapid.Float64Range(0.1, 1000).Draw(t, "requests"),
			Tokens:      rapid.Float64Range(1, 1e6).Draw(t, "tokens"),
			Concurrency: float64(rapid.IntRange(1, 100).Draw(t, "concurrency")),
		}
		routers := rapid.IntRange(1, 30).Draw(t, "routers")
		l := NewLender()
		now := time.Unix(0, 0)
		type hold struct {
			share Amount
			until time.Time
		}
		held := make(map[string]hold)
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			router := fmt.Sprint(rapid.IntRange(1, routers).Draw(t, "router"))
			ask := Ask{Customer: "c", Router: router, Limits: limits, Routers: routers}
			if h := held[router]; h.until.After(now) {
				ask.Held = h.share
			}
			ask.Demand.Requests = rapid.Float64Range(0, 2000).Draw(t, "demand")
			ask.Demand.Concurrency = float64(rapid.IntRange(0, 200).Draw(t, "slots"))
			share := l.Lend(now, ask)
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
