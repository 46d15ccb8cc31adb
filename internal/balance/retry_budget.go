package balance

import (
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// RetryLimits limits the retries to one service, summed over all routers: in any window
// there are at most Ratio times the requests plus Slack.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition, independent of the number of
	// requests. It must be at least reservePerRouter times the number of routers.
	Slack float64
	// Window is the length of the window.
	Window time.Duration
}

const (
	// reservePerRouter is the number of retries, beyond those for its recent requests,
	// that a router may have saved. It lets a router with few requests save a whole retry.
	reservePerRouter = 1
	// savedShare is the part of Ratio that a router may save for later: its bucket holds at
	// most this part of what the requests of the last window allow. The routers earn the
	// rest of Ratio with each request.
	savedShare = 0.15
)

// RetryBudget limits the retries of this router so that the routers together stay within
// RetryLimits, although they do not communicate. Each service has a token bucket, which
// starts empty. In any window all routers together spend at most what they had saved at its
// beginning, and what they earn in it:
//
//   - saved: savedShare of Ratio times the requests of the window before, plus
//     reservePerRouter for each router, which the slack covers;
//   - earned: the rest of Ratio times the requests of the window.
//
// It does not matter which router serves a request, how many routers there are, or whether
// they reach each other. A router that restarts has nothing saved. It is safe for concurrent
// use.
type RetryBudget struct {
	limits RetryLimits
	now    func() time.Time

	allowed tally.Counter
	denied  tally.Counter

	mu       sync.Mutex
	services map[string]*retryBucket
}

// RetryDecision says whether one more send is allowed.
type RetryDecision struct {
	Allowed bool
	// Inputs describes what decided, for the log line of the request.
	Inputs string
}

// NewRetryBudget returns a budget without counted requests. A nil scope discards the
// metrics.
func NewRetryBudget(l RetryLimits, scope tally.Scope) *RetryBudget {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &RetryBudget{
		limits:   l,
		now:      time.Now,
		allowed:  scope.Counter("retries_allowed"),
		denied:   scope.Counter("retries_denied"),
		services: make(map[string]*retryBucket),
	}
}

// RecordRequest counts a request at its first attempt.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.requests.add(1)
	k.tokens += (1 - savedShare) * b.limits.Ratio
}

// AllowRetry decides whether another retry is within the limits, and counts it if so.
func (b *RetryBudget) AllowRetry(service string) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	d := RetryDecision{
		Allowed: k.tokens >= 1,
		Inputs:  fmt.Sprintf("%.1f of at most %.1f retries saved, after %d requests in the window", k.tokens, k.depth(b.limits), k.requests.sum()),
	}
	if !d.Allowed {
		b.denied.Inc(1)
		return d
	}
	b.allowed.Inc(1)
	k.tokens--
	return d
}

// ReturnRetry gives back a retry that AllowRetry has allowed and that was not sent.
func (b *RetryBudget) ReturnRetry(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucket(service)
	k.tokens = min(k.tokens+1, k.depth(b.limits))
}

// bucket returns the service's bucket at the present time.
func (b *RetryBudget) bucket(service string) *retryBucket {
	k := b.services[service]
	if k == nil {
		k = &retryBucket{}
		b.services[service] = k
	}
	k.requests.advance(b.now(), b.limits.Window/windowBuckets)
	k.tokens = min(k.tokens, k.depth(b.limits))
	return k
}

// retryBucket is the token bucket for the retries to one service.
type retryBucket struct {
	tokens float64
	// requests counts this router's requests to the service.
	requests windowCount
}

// depth returns the largest number of tokens that may be saved.
func (k *retryBucket) depth(l RetryLimits) float64 {
	return reservePerRouter + savedShare*l.Ratio*float64(k.requests.sum())
}

// windowBuckets is the number of buckets into which a sliding window is divided.
const windowBuckets = 10

// windowCount counts events in a sliding window. The current bucket is not full, so the
// count covers the window less at most the length of one bucket.
type windowCount struct {
	buckets     [windowBuckets]int
	current     int
	bucketStart time.Time
}

// add counts n events now.
func (w *windowCount) add(n int) { w.buckets[w.current] += n }

// advance starts the buckets that are due at now; each covers the given length of time.
func (w *windowCount) advance(now time.Time, length time.Duration) {
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > windowBuckets*length {
		*w = windowCount{bucketStart: now}
		return
	}
	for now.Sub(w.bucketStart) >= length {
		w.bucketStart = w.bucketStart.Add(length)
		w.current = (w.current + 1) % windowBuckets
		w.buckets[w.current] = 0
	}
}

// sum returns the number of events in the window.
func (w *windowCount) sum() (n int) {
	for _, c := range w.buckets {
		n += c
	}
	return n
}
