package balance

import (
	"sync"
	"time"
)

// windowParts is the number of parts that a window is counted in.
const windowParts = 10

// RetryLimits bound the repeated sends to one service in any window, summed over
// all routers.
type RetryLimits struct {
	// Ratio is the repeated sends allowed for each request.
	Ratio float64
	// Slack is the number of repeated sends allowed besides.
	Slack float64
	// Window is the length of time over which both are counted.
	Window time.Duration
}

// usableRatio is the part of the ratio that is used: the routers' windows and the
// one in which the limit is counted don't begin together.
const usableRatio = 0.85

// usableSlack is the part of the slack that routers divide up among themselves;
// the rest covers routers that disagree on how many they are.
const usableSlack = 0.6

// RetryBudget counts this router's sends by service and holds the repeated ones
// within its part of the limits. It is safe for concurrent use.
type RetryBudget struct {
	limits RetryLimits
	// routers returns the number of routers that share the slack.
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*retryWindow
}

// NewRetryBudget makes a counter.
func NewRetryBudget(l RetryLimits, routers func() int) *RetryBudget {
	return &RetryBudget{limits: l, routers: routers, now: time.Now, services: make(map[string]*retryWindow)}
}

// RecordFirst counts the first send of a request.
func (s *RetryBudget) RecordFirst(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).part().first++
}

// AllowRetry tells whether one more repeated send is within the limits, and counts
// it if so.
func (s *RetryBudget) AllowRetry(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	first, again := w.sums()
	slack := usableSlack * s.limits.Slack / float64(max(1, s.routers()))
	if float64(again+1) > usableRatio*s.limits.Ratio*float64(first)+slack {
		return false
	}
	w.part().retries++
	return true
}

func (s *RetryBudget) window(service string) *retryWindow {
	w := s.services[service]
	if w == nil {
		w = &retryWindow{}
		s.services[service] = w
	}
	w.advance(s.now(), s.limits.Window/windowParts)
	return w
}

// retryWindow counts sends in equally long parts of a sliding window.
type retryWindow struct {
	// parts holds one more than the window, so that a whole window is always
	// covered.
	parts     [windowParts + 1]retryCounts
	current   int
	partStart time.Time
}

type retryCounts struct {
	first   int
	retries int
}

func (w *retryWindow) part() *retryCounts { return &w.parts[w.current] }

// advance begins the parts that are due at now.
func (w *retryWindow) advance(now time.Time, length time.Duration) {
	if w.partStart.IsZero() || now.Sub(w.partStart) > time.Duration(len(w.parts))*length {
		*w = retryWindow{partStart: now}
		return
	}
	for now.Sub(w.partStart) >= length {
		w.partStart = w.partStart.Add(length)
		w.current = (w.current + 1) % len(w.parts)
		w.parts[w.current] = retryCounts{}
	}
}

func (w *retryWindow) sums() (first, again int) {
	for _, p := range w.parts {
		first += p.first
		again += p.retries
	}
	return first, again
}
