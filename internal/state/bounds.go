package state

import "time"

// Bounds limits the tables. All replicas of a group must use the same bounds,
// since they decide what Apply answers.
type Bounds struct {
	// MaxObjects is the most configuration objects, deleted contracts included.
	MaxObjects int
	// MaxHistory is the most accepted changes kept.
	MaxHistory int
	// MaxHistoryBytes is the most encoded bytes of accepted changes kept.
	MaxHistoryBytes int
	// MaxOperations is the most answers to operation ids kept.
	MaxOperations int
	// OperationTTL is how long, by elapsed log time, an answer is kept.
	OperationTTL time.Duration
	// MaxLedgerEntries is the most ledger entries, releases included.
	MaxLedgerEntries int
	// KeyTTL is how long, by elapsed log time, a claimed key is remembered.
	KeyTTL time.Duration
	// OpenClaimTimeout is how long, by elapsed log time, a claim may stay without outcome
	// before it counts as unknown.
	OpenClaimTimeout time.Duration
	// ReleaseTTL is how long, by elapsed log time, a release is remembered, so that
	// a late copy of its claim isn't granted.
	ReleaseTTL time.Duration
	// MaxAnswerBytes is the largest answer stored whole.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes is the most bytes of all stored answers; beyond it, bodies
	// are dropped.
	MaxTotalAnswerBytes int
}

// Bounds on single fields and entries.
const (
	// maxElapsedPerEntry is the most by which one log entry ages what is kept.
	maxElapsedPerEntry = 10 * time.Minute
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
		MaxObjects:          65_536,
		MaxHistory:          65_536,
		MaxHistoryBytes:     32 << 20,
		MaxOperations:       131_072,
		OperationTTL:        48 * time.Hour,
		MaxLedgerEntries:    1 << 20,
		KeyTTL:              24 * time.Hour,
		OpenClaimTimeout:    15 * time.Minute,
		ReleaseTTL:          5 * time.Minute,
		MaxAnswerBytes:      40 << 10,
		MaxTotalAnswerBytes: 64 << 20,
	}
}
