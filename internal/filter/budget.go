package filter

import "sync"

// Retry budget: retries are at most this share of requests, with a burst for
// quiet times.
const (
	RetryShare = 0.1
	RetryBurst = 20
)

// Budget grants retries as a share of the requests seen.
type Budget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewBudget makes a full budget.
func NewBudget(share, burst float64) *Budget {
	return &Budget{share: share, burst: burst, tokens: burst}
}

// Request counts one first try.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// Retry takes one retry and tells whether there was one left.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
