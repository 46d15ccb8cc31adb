package state

import "time"

// Bounds limits the tables. All replicas of a group must use the same bounds,
// since they decide what Apply answers.
type Bounds struct {
	// Objects is the most configuration objects, deleted contracts included.
	Objects int
	// History is the most accepted changes kept.
	History int
	// HistoryBytes is the most encoded bytes of accepted changes kept.
	HistoryBytes int
	// Operations is the most answers to operation ids kept.
	Operations int
	// OperationLife is how long, by elapsed log time, an answer is kept.
	OperationLife time.Duration
	// LedgerEntries is the most ledger entries, releases included.
	LedgerEntries int
	// KeyLife is how long, by elapsed log time, a claimed key is remembered.
	KeyLife time.Duration
	// OpenLife is how long, by elapsed log time, a claim may stay without outcome
	// before it counts as unknown.
	OpenLife time.Duration
	// ReleaseLife is how long, by elapsed log time, a release is remembered, so that
	// a late copy of its claim isn't granted.
	ReleaseLife time.Duration
	// AnswerBytes is the largest answer stored whole.
	AnswerBytes int
	// AnswersBytes is the most bytes of all stored answers; beyond it, bodies
	// are dropped.
	AnswersBytes int
}

// Bounds on single fields and entries.
const (
	// maxStep is the most by which one log entry ages what is kept.
	maxStep = 10 * time.Minute
	// MaxNameBytes bounds customers, targets, operators and operation ids.
	MaxNameBytes = 128
	// MaxObjectBytes bounds one encoded configuration object.
	MaxObjectBytes = 16 << 10
	// MaxKeysPerContract bounds the bearer keys of one customer.
	MaxKeysPerContract = 32
	// MaxIdempotencyKeyBytes bounds a caller's key.
	MaxIdempotencyKeyBytes = 512
	// DigestBytes is the length of a request digest, a SHA-256 sum.
	DigestBytes = 32
)

// DefaultBounds returns the bounds that a fleet runs with.
func DefaultBounds() Bounds {
	return Bounds{
		Objects:       65_536,
		History:       65_536,
		HistoryBytes:  32 << 20,
		Operations:    131_072,
		OperationLife: 48 * time.Hour,
		LedgerEntries: 1 << 20,
		KeyLife:       24 * time.Hour,
		OpenLife:      15 * time.Minute,
		ReleaseLife:   5 * time.Minute,
		AnswerBytes:   40 << 10,
		AnswersBytes:  64 << 20,
	}
}
