package quarantine

import "time"

const (
	// recencyWindow is the length of each of the two generations of answered parts.
	recencyWindow = time.Minute
	// maxRecent bounds the parts of one generation.
	maxRecent = 8192
)

// recency remembers when parts were last answered at this router, for one to two windows.
// A full generation takes no further parts; those count as never answered here.
type recency struct {
	began             time.Time
	current, previous map[string]time.Time
}

func newRecency() *recency {
	return &recency{current: make(map[string]time.Time), previous: make(map[string]time.Time)}
}

// put records that a part was answered.
func (l *recency) put(now time.Time, key string) {
	if now.Sub(l.began) >= recencyWindow {
		l.began = now
		l.previous, l.current = l.current, make(map[string]time.Time)
	}
	if _, known := l.current[key]; known || len(l.current) < maxRecent {
		l.current[key] = now
	}
}

// get returns when a part was last answered, zero if that is not known.
func (l *recency) get(key string) time.Time {
	if at, ok := l.current[key]; ok {
		return at
	}
	return l.previous[key]
}
