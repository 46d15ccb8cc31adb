package limits

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// TestMain fixes the seed of the random runs unless one is given.
func TestMain(m *testing.M) {
	testseed.Fix(1, 0)
	goleak.VerifyTestMain(m)
}

// After the home is lost the routers together hold at most twice the contract,
// and at most the contract once the lost home's shares have expired.
func TestOvershootWhenTheHomeIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Amount{
			Requests:    rapid.Float64Range(1, 100).Draw(t, "requests"),
			Tokens:      unlimited,
			Concurrency: float64(rapid.IntRange(1, 40).Draw(t, "concurrency")),
		}
		routers := rapid.IntRange(2, 9).Draw(t, "routers")
		home := NewAllocator()
		now := time.Unix(0, 0)
		var lost time.Time
		shares := make(map[int]Amount)
		until := make(map[int]time.Time)
		for step := range 80 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			if step == 40 {
				home = NewAllocator()
				lost = now
			}
			router := rapid.IntRange(1, routers).Draw(t, "router")
			ask := Request{Customer: "c", Router: fmt.Sprint(router), Limits: limits, Routers: names(routers)}
			ask.Demand.Requests = rapid.Float64Range(0, 200).Draw(t, "demand")
			ask.Demand.Concurrency = float64(rapid.IntRange(0, 80).Draw(t, "slots"))
			if until[router].After(now) {
				ask.Held = shares[router]
			}
			shares[router] = home.Allocate(now, ask)
			until[router] = now.Add(ShareLifetime)
			var sum Amount
			for r, share := range shares {
				if until[r].After(now) {
					sum.Requests += share.Requests
					sum.Concurrency += share.Concurrency
				}
			}
			most := 1.0
			if !lost.IsZero() && now.Before(lost.Add(ShareLifetime)) {
				most = 2
			}
			const rounding = 1e-6
			if sum.Requests > most*limits.Requests+rounding || sum.Concurrency > most*limits.Concurrency {
				t.Fatalf("routers hold %+v of %+v, %v after the home was lost", sum, limits, now.Sub(lost))
			}
		}
	})
}
