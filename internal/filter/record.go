package filter

import "time"

// Outcome tells whether a request ran at a target.
type Outcome string

// Outcomes of a request, as callers receive them.
const (
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRun     Outcome = "run"
)

// Record describes one finished request for the explain command and the burn report.
type Record struct {
	RequestID string
	Customer  string
	Class     Class
	Chat      string
	// Model or Service is what the request asked for.
	Model   string
	Service string
	// Goal is the latency objective of the request's route; zero means that of the
	// customer's contract.
	Goal  time.Duration
	Start time.Time
	// FirstToken is the time from receipt of the request to the first byte of the answer
	// to the caller; if there was none, it is zero or, in records of package gateway,
	// Total. It is compared with the objective for the first token. Total is the time to
	// the end of the answer.
	FirstToken time.Duration
	Total      time.Duration
	Status     int
	Outcome    Outcome
	// Refused is set if wigeonwood itself refused the request; Complete is set if the
	// caller was sent the complete answer.
	Refused  bool
	Complete bool
	// Target is the last one that was tried; empty if none was.
	Target   string
	Tries    int
	Revision uint64
	Reasons  []Reason
}

// Observer receives the records of finished requests. Observe must not block.
type Observer interface {
	Observe(*Record)
}
