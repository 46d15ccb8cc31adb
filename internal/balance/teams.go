package balance

import "sync"

const (
	// surgeFactor times the mean of the other active teams, plus surgeSlack for small
	// numbers, is the number of requests that a team may have in flight at a router
	// before it counts as surging.
	surgeFactor = 3
	surgeSlack  = 4
)

// SurgeDetector counts the requests in flight at this router by team and detects a team that
// surges. It protects the other teams against one team that sends a multiple of its
// usual load. It is safe for concurrent use.
type SurgeDetector struct {
	mu       sync.Mutex
	inFlight map[string]int
	total    int
}

// NewSurgeDetector returns a counter without requests.
func NewSurgeDetector() *SurgeDetector { return &SurgeDetector{inFlight: make(map[string]int)} }

// Begin counts one request of a team and reports whether the team surges with this
// request. The caller must call end exactly once.
func (t *SurgeDetector) Begin(team string) (surges bool, end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight[team]++
	t.total++
	return surging(t.inFlight[team], t.total, len(t.inFlight)), func() { t.end(team) }
}

func (t *SurgeDetector) end(team string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total--
	t.inFlight[team]--
	if t.inFlight[team] == 0 {
		delete(t.inFlight, team)
	}
}

// surging compares a team's requests with the mean of the other active teams. A team
// never surges while it is the only active one.
func surging(inFlight, total, teams int) bool {
	if teams < 2 {
		return false
	}
	others := float64(total-inFlight) / float64(teams-1)
	return float64(inFlight) > surgeFactor*others+surgeSlack
}
