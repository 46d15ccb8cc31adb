package filter

import "sync"

// Defaults of RetryBudget: retries are at most RetryShare of the requests, plus a burst
// of RetryBurst for times of few requests.
const (
	RetryShare = 0.1
	RetryBurst = 20
)

// RetryBudget is a token bucket for the retries of one router. The bucket earns a
// share of a token with each request and spends one token on each retry. This bounds
// the retries to a share of the requests, plus a burst. Schedule uses it. Dispatch, in
// the chain of RoutedSpec, has a RetryLimiter instead, which is a balance.RetryBudget in
// a running instance.
type RetryBudget struct {
	mu     sync.Mutex
	share  float64
	burst  float64
	tokens float64
}

// NewRetryBudget returns a full budget that earns share tokens per request and holds at
// most burst.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{share: share, burst: burst, tokens: burst}
}

// RecordRequest adds the share of a token that one request earns. It is called once for
// each request, before the first try.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.burst)
}

// AllowRetry reports whether a token is left for one retry, and spends it if so.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
