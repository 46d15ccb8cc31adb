package filter

import "time"

// Outcome says whether a request was run at a target.
type Outcome string

// Outcomes of a request, as callers see them.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRun     Outcome = "run"
)

// Record is what one finished request leaves for explain and the burn report.
type Record struct {
	RequestID string
	Customer  string
	Class     Class
	Chat      string
	// Model or Service that the request asked for.
	Model   string
	Service string
	// Goal is the latency objective of the request's route; zero means that of
	// the customer's contract.
	Goal  time.Duration
	Start time.Time
	// FirstToken is the time from receipt to the first byte of the answer to
	// the caller; zero if there was none. Total is the time to its end.
	FirstToken time.Duration
	Total      time.Duration
	Status     int
	Outcome    Outcome
	// Refused tells that wigeonwood itself refused the request; Whole that
	// the caller was sent the whole answer.
	Refused  bool
	Complete bool
	// Target that answered last; empty if none was tried.
	Target   string
	Tries    int
	Revision uint64
	Reasons  []Reason
}

// Observer takes finished requests. Observe must not block.
type Observer interface {
	Observe(*Record)
}
