package cost

import "time"

// Outstanding is the estimated work of the requests that this router has in flight at one
// target. The zero value has none.
type Outstanding struct {
	requests map[uint64]reading
	last     uint64
}

// reading is a request whose prompt takes read to be read at usual pace, from started on.
type reading struct {
	read    time.Duration
	started time.Time
}

// Add adds a request whose prompt takes read to be read at usual pace. remove removes it.
func (o *Outstanding) Add(now time.Time, read time.Duration) (remove func()) {
	if read <= 0 {
		return func() {}
	}
	if o.requests == nil {
		o.requests = make(map[uint64]reading)
	}
	o.last++
	id := o.last
	o.requests[id] = reading{read: read, started: now}
	return func() { delete(o.requests, id) }
}

// Reading returns the time, at usual pace, that the target still needs to read the prompts of
// these requests if it reads nothing else.
func (o *Outstanding) Reading(now time.Time, pace float64) time.Duration {
	var left time.Duration
	for _, r := range o.requests {
		done := time.Duration(float64(now.Sub(r.started)) / clampPace(pace))
		left += max(0, r.read-done)
	}
	return left
}
