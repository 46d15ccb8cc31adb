package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestReplaySurgingTeam simulates one team that sends seven times its usual load and nine
// teams that send their usual load. Most requests of the surging team must count as a
// surge, and almost none of the others'. At its usual load, the team must not surge.
func TestReplaySurgingTeam(t *testing.T) {
	for _, c := range []struct {
		loadFactor         int
		minShare, maxShare float64
	}{{1, 0, 0.01}, {7, 0.6, 1}} {
		teams := NewSurgeDetector()
		rng := rand.New(rand.NewPCG(1, 1))
		var ends []func()
		surged, sent := make(map[string]int), make(map[string]int)
		for range 20000 {
			n := rng.IntN(9 + c.loadFactor)
			team := "surging"
			if n < 9 {
				team = fmt.Sprint("team-", n)
			}
			surges, end := teams.Begin(team)
			sent[team]++
			if surges {
				surged[team]++
			}
			ends = append(ends, end)
			if len(ends) > 40 {
				i := rng.IntN(len(ends))
				ends[i]()
				ends = append(ends[:i], ends[i+1:]...)
			}
		}
		for team, n := range sent {
			share := float64(surged[team]) / float64(n)
			if team == "surging" && (share < c.minShare || share > c.maxShare) {
				t.Errorf("at %d times the usual load, %.2f of the team's requests count as a surge, want %.2f to %.2f", c.loadFactor, share, c.minShare, c.maxShare)
			}
			if team != "surging" && share > 0.01 {
				t.Errorf("%.2f of the requests of %s count as a surge", share, team)
			}
		}
	}
}

func TestLoneTeamNeverSurges(t *testing.T) {
	teams := NewSurgeDetector()
	for range 100 {
		if surges, _ := teams.Begin("one"); surges {
			t.Fatal("the only active team counts as surging")
		}
	}
}
