package state

import "time"

// Bounds limits the size of the tables and the age of their entries. All
// replicas of a group must use the same bounds, since the results of Apply
// depend on them. Durations are in elapsed log time.
type Bounds struct {
	// MaxObjects bounds the configuration objects, including the tombstones of
	// deleted contracts.
	MaxObjects int
	// MaxHistory is the number of accepted changes that are kept.
	MaxHistory int
	// MaxHistoryBytes bounds the encoded size of the kept changes.
	MaxHistoryBytes int
	// MaxOperations is the number of operation ids whose results are kept.
	MaxOperations int
	// OperationTTL is how long the result of an operation id is kept.
	OperationTTL time.Duration
	// MaxLedgerEntries bounds claims and releases together.
	MaxLedgerEntries int
	// KeyTTL is how long a claimed key is kept, counted from the claim.
	KeyTTL time.Duration
	// OpenClaimTimeout is how long a claim may stay without an outcome before
	// its outcome counts as unknown.
	OpenClaimTimeout time.Duration
	// ReleaseTTL is how long a release is kept, so that a late copy of the
	// released claim is not granted.
	ReleaseTTL time.Duration
	// MaxAnswerBytes is the largest answer that is stored with its body.
	MaxAnswerBytes int
	// MaxTotalAnswerBytes bounds the size of all stored answers. Once it is
	// reached, answers are stored without their bodies.
	MaxTotalAnswerBytes int
}

// Bounds on single fields and entries.
const (
	// maxElapsedPerEntry bounds by how much one log entry advances the elapsed
	// log time, so that a jump of a leader's clock doesn't expire entries early.
	maxElapsedPerEntry = 10 * time.Minute
	// MaxNameBytes bounds the names of customers, targets, operators and
	// routers, and operation and request ids.
	MaxNameBytes = 128
	// MaxObjectBytes bounds one encoded configuration object.
	MaxObjectBytes = 16 << 10
	// MaxKeysPerContract bounds the bearer keys of one customer.
	MaxKeysPerContract = 32
	// MaxIdempotencyKeyBytes bounds a caller's idempotency key.
	MaxIdempotencyKeyBytes = 512
	// DigestBytes is the length of a request digest, a SHA-256 sum.
	DigestBytes = 32
)

// DefaultBounds returns the bounds used in production.
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
