package balance

import "sync"

const (
	// surgeFactor times the mean of the active teams, plus surgeSlack for small
	// numbers, is what a team may have in flight at a router before it counts as
	// surging.
	surgeFactor = 3
	surgeSlack  = 4
)

// Teams counts the requests in flight here by team, to tell a team that surges
// from the others. It answers one team that sends many times its usual while the
// others send theirs. It is safe for concurrent use.
type Teams struct {
	mu       sync.Mutex
	inFlight map[string]int
	total    int
}

// NewTeams makes a counter without requests.
func NewTeams() *Teams { return &Teams{inFlight: make(map[string]int)} }

// Begin counts one request of a team and tells whether the team surges with it.
// end must be called once.
func (t *Teams) Begin(team string) (surges bool, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[team]++
	t.total++
	return surging(t.inFlight[team], t.total, len(t.inFlight)), func() { t.end(team) }
}

func (t *Teams) end(team string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	t.inFlight[team]--
	if t.inFlight[team] == 0 {
		delete(t.inFlight, team)
	}
}

// surging compares a team's requests with the mean of the other active teams. A
// team that is alone never surges.
func surging(own, total, teams int) bool {
	if teams < 2 {
		return false
	}
	others := float64(total-own) / float64(teams-1)
	return float64(own) > surgeFactor*others+surgeSlack
}
