package balance

import (
	"sync"
	"time"
)

// windowBuckets is the number of intervals into which a window is divided.
const windowBuckets = 10

// RetryLimits bounds the retries to one service in any sliding window, summed over all
// routers: at most Ratio times the requests plus Slack.
type RetryLimits struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed in addition, independent of the number of
	// requests.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
}

// usableRatio is the fraction of Ratio that is used, because the routers' windows and
// the window in which the limit is checked do not start together.
const usableRatio = 0.85

// usableSlack is the fraction of Slack that the routers divide among themselves. The
// rest covers routers that disagree on the number of routers.
const usableSlack = 0.6

// RetryBudget counts this router's requests and retries by service and keeps the
// retries within this router's part of the limits. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// routers returns the number of routers among which Slack is divided.
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

// NewRetryBudget returns a budget without counted requests.
func NewRetryBudget(l RetryLimits, routers func() int) *RetryBudget {
	return &RetryBudget{limits: l, routers: routers, now: time.Now, services: make(map[string]*retryWindow)}
}

// RecordRequest counts the first attempt of a request.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.window(service).bucket().requests++
}

// AllowRetry reports whether another retry is within the limits, and counts it if so.
func (b *RetryBudget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	first, retries := w.sums()
	slack := usableSlack * b.limits.Slack / float64(max(1, b.routers()))
	if float64(retries+1) > usableRatio*b.limits.Ratio*float64(first)+slack {
		return false
	}
	w.bucket().retries++
	return true
}

func (b *RetryBudget) window(service string) *retryWindow {
	w := b.services[service]
	if w == nil {
		w = &retryWindow{}
		b.services[service] = w
	}
	w.advance(b.now(), b.limits.Window/windowBuckets)
	return w
}

// retryWindow counts attempts in the intervals of a sliding window.
type retryWindow struct {
	// buckets has one interval more than the window, so that a full window is always
	// covered.
	buckets     [windowBuckets + 1]retryCounts
	current     int
	bucketStart time.Time
}

type retryCounts struct {
	requests int
	retries  int
}

func (w *retryWindow) bucket() *retryCounts { return &w.buckets[w.current] }

// advance starts the intervals that are due at now.
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

func (w *retryWindow) sums() (first, retries int) {
	for _, p := range w.buckets {
		first += p.requests
		retries += p.retries
	}
	return first, retries
}
