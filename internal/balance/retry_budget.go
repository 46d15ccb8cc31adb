package balance

import (
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// windowBuckets is the number of buckets into which a sliding window is divided.
const windowBuckets = 10

// RetryLimits limits the retries to one service, summed over all routers: in any sliding
// window there are at most Ratio times the requests plus Slack.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition, independent of the number of
	// requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// usableRatio is the fraction of Ratio that the routers use. The rest is a margin,
// because the windows of the routers and the window in which the platform checks the
// limit do not start at the same time.
const usableRatio = 0.85

// usableSlack is the fraction of Slack that the routers divide among themselves. The
// rest is a margin, because routers may disagree on the number of routers.
const usableSlack = 0.6

// RetryBudget counts this router's requests and retries by service and limits the
// retries to this router's part of RetryLimits. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// routers returns the number of routers among which Slack is divided.
	routers func() int
	now     func() time.Time

	allowed tally.Counter
	denied  tally.Counter

	mu       sync.Mutex
	services map[string]*retryWindow
}

// RetryDecision says whether one more send is allowed.
type RetryDecision struct {
	Allowed bool
	// Inputs describes what decided, for the log line of the request.
	Inputs string
}

// NewRetryBudget returns a budget without counted requests. A nil scope discards the
// metrics.
func NewRetryBudget(l RetryLimits, routers func() int, scope tally.Scope) *RetryBudget {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &RetryBudget{
		limits:   l,
		routers:  routers,
		now:      time.Now,
		allowed:  scope.Counter("retries_allowed"),
		denied:   scope.Counter("retries_denied"),
		services: make(map[string]*retryWindow),
	}
}

// RecordRequest counts a request at its first attempt.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).bucket().requests++
}

// AllowRetry decides whether another retry is within the limits, and counts it if so.
func (b *RetryBudget) AllowRetry(service string) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	first, retries := w.sums()
	routers := max(1, b.routers())
	limit := usableRatio*b.limits.Ratio*float64(first) + usableSlack*b.limits.Slack/float64(routers)
	d := RetryDecision{
		Allowed: float64(retries+1) <= limit,
		Inputs:  fmt.Sprintf("%d retries of at most %.1f in the window, with %d requests and %d routers", retries, limit, first, routers),
	}
	if !d.Allowed {
		b.denied.Inc(1)
		return d
	}
	b.allowed.Inc(1)
	w.bucket().retries++
	return d
}

// window returns the service's window, advanced to the present time.
func (b *RetryBudget) window(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	w.advance(b.now(), b.limits.Window/windowBuckets)
	return w
}

// retryWindow counts requests and retries in the buckets of a sliding window.
type retryWindow struct {
	// buckets is a ring with one bucket more than a window has, so that it covers a
	// full window even while the current bucket has just started.
	buckets     [windowBuckets + 1]retryCounts
	current     int
	bucketStart time.Time
}

type retryCounts struct {
	requests int
	retries  int
}

// bucket returns the current bucket.
func (w *retryWindow) bucket() *retryCounts { return &w.buckets[w.current] }

// advance starts the buckets that are due at now; each covers the given length of time.
func (w *retryWindow) advance(now time.Time, length time.Duration) {
	if w.bucketStart.IsZero() || now.Sub(w.bucketStart) > time.Duration(len(w.buckets))*length {
		*w = retryWindow{bucketStart: now}
		return
	}
	for now.Sub(w.bucketStart) >= length {
		w.bucketStart = w.bucketStart.Add(length)
		w.current = (w.current + 1) % len(w.buckets)
		w.buckets[w.current] = retryCounts{}
	}
}

// sums returns the requests and retries of all buckets.
func (w *retryWindow) sums() (first, retries int) {
	for _, p := range w.buckets {
		first += p.requests
		retries += p.retries
	}
	return first, retries
}
