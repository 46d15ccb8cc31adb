package limits

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	testseed.Fix(1, 0)
	goleak.VerifyTestMain(m)
}

// After the owner fails, its shares stay valid until they expire while the new
// owner, which does not know them, allocates as well. The routers together must
// hold at most twice the contract during that time, and at most the contract
// after it.
func TestOvershootWhenTheHomeIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amount{
			Requests:    rapid.Float64Range(1, 100).Draw(t, "requests"),
			Tokens:      unlimited,
			Concurrency: float64(rapid.IntRange(1, 40).Draw(t, "concurrency")),
		}
		routers := rapid.IntRange(2, 9).Draw(t, "routers")
		owner := NewAllocator()
		now := time.Unix(0, 0)
		var failedAt time.Time
		shares := make(map[int]Amount)
		expiry := make(map[int]time.Time)
		for step := range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			if step == 40 {
				owner = NewAllocator()
				failedAt = now
			}
			router := rapid.IntRange(1, routers).Draw(t, "router")
			req := ShareRequest{Customer: "c", Router: fmt.Sprint(router), Limits: limits, Routers: names(routers)}
			req.Demand.Requests = rapid.Float64Range(0, 200).Draw(t, "demand")
			req.Demand.Concurrency = float64(rapid.IntRange(0, 80).Draw(t, "slots"))
			if expiry[router].After(now) {
				req.Held = shares[router]
			}
			shares[router] = owner.Allocate(now, req)
			expiry[router] = now.Add(ShareLifetime)
			var sum Amount
			for r, share := range shares {
				if expiry[r].After(now) {
					sum.Requests += share.Requests
					sum.Concurrency += share.Concurrency
				}
			}
			most := 1.0
			if !failedAt.IsZero() && now.Before(failedAt.Add(ShareLifetime)) {
				most = 2
			}
			const rounding = 1e-6
			if sum.Requests > most*limits.Requests+rounding || sum.Concurrency > most*limits.Concurrency {
				t.Fatalf("routers hold %+v of %+v, %v after the owner failed", sum, limits, now.Sub(failedAt))
			}
		}
	})
}
