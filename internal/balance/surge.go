package balance

import "sync"

const (
	// surgeFactor and surgeSlack define the surge threshold of a team's requests in
	// flight at a router: a multiple of the mean of the other active teams plus a
	// constant for small numbers.
	surgeFactor = 3
	surgeSlack  = 4
)

// SurgeDetector counts the requests in flight at this router by team and detects a team
// whose load surges. It protects the other teams, which send their usual load, against
// one team that sends a multiple of its own. It is safe for concurrent use.
type SurgeDetector struct {
	mu       sync.Mutex
	inFlight map[string]int
	total    int
}

// NewSurgeDetector returns a detector that has counted no requests.
func NewSurgeDetector() *SurgeDetector { return &SurgeDetector{inFlight: make(map[string]int)} }

// Begin counts one request of a team and reports whether this request takes the team
// over the surge threshold. The caller must call end exactly once, when the request has
// ended.
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

// surging reports whether a team with inFlight of the total requests exceeds the surge
// threshold, given the number of active teams. The only active team never does.
func surging(inFlight, total, teams int) bool {
	if teams < 2 {
		return false
	}
	others := float64(total-inFlight) / float64(teams-1)
	return float64(inFlight) > surgeFactor*others+surgeSlack
}
