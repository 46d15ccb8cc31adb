package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// TestReplaySurgingTeam simulates one team that sends seven times its usual load among
// nine teams that send theirs. Most of its requests must count as a surge, and almost
// none of the others'.
func TestReplaySurgingTeam(t *testing.T) {
	for _, c := range []struct {
		times       int
		least, most float64
	}{{1, 0, 0.01}, {7, 0.6, 1}} {
		teams := NewSurgeDetector()
		rng := rand.New(rand.NewPCG(1, 1))
		var ends []func()
		surged, sent := make(map[string]int), make(map[string]int)
		for range 20000 {
			n := rng.IntN(9 + c.times)
			team := "surging"
			if n < 9 {
				team = fmt.Sprint("team-", n)
			}
			over, end := teams.Begin(team)
			sent[team]++
			if over {
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
			if team == "surging" && (share < c.least || share > c.most) {
				t.Errorf("at %d times the usual load, %.2f of the team's requests count as a surge, want %.2f to %.2f", c.times, share, c.least, c.most)
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
		if over, _ := teams.Begin("one"); over {
			t.Fatal("the only active team counts as surging")
		}
	}
}
