package filter

import "sync"

// Defaults of the retry budget: retries are at most RetryShare of requests, plus a
// burst of RetryBurst for times of few requests.
const (
	RetryShare = 0.1
	RetryBurst = 20
)

// RetryBudget is a retry budget: a token bucket that earns a share of a token with each
// request and spends one token on each retry. It bounds retries to a share of the
// requests, plus a burst.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget that earns share tokens per request and holds at most
// burst.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, tokens: burst}
}

// RecordRequest counts the first try of a request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// AllowRetry takes one retry from the budget and reports whether one was available.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
