package balance

import (
	"sync"
	"time"
)

// slots is the number of parts that a window is counted in.
const slots = 10

// SendLimits bound the repeated sends to one service in any window, summed over
// all routers.
type SendLimits struct {
	// Ratio is the repeated sends allowed for each request.
	Ratio float64
	// Slack is the number of repeated sends allowed besides.
	Slack float64
	// Window is the length of time over which both are counted.
	Window time.Duration
}

// ratioShare is the part of the ratio that is used: the routers' windows and the
// one in which the limit is counted don't begin together.
const ratioShare = 0.85

// slackShare is the part of the slack that routers divide up among themselves;
// the rest covers routers that disagree on how many they are.
const slackShare = 0.6

// Sends counts this router's sends by service and holds the repeated ones
// within its part of the limits. It is safe for concurrent use.
type Sends struct {
	limits SendLimits
	// routers returns the number of routers that share the slack.
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	services map[string]*sendWindow
}

// NewSends makes a counter.
func NewSends(l SendLimits, routers func() int) *Sends {
	return &Sends{limits: l, routers: routers, now: time.Now, services: make(map[string]*sendWindow)}
}

// First counts the first send of a request.
func (s *Sends) First(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).part().first++
}

// Again tells whether one more repeated send is within the limits, and counts
// it if so.
func (s *Sends) Again(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.window(service)
	first, again := w.sums()
	slack := slackShare * s.limits.Slack / float64(max(1, s.routers()))
	if float64(again+1) > ratioShare*s.limits.Ratio*float64(first)+slack {
		return false
	}
	w.part().again++
	return true
}

func (s *Sends) window(service string) *sendWindow {
	w := s.services[service]
	if w == nil {
		w = &sendWindow{}
		s.services[service] = w
	}
	w.advance(s.now(), s.limits.Window/slots)
	return w
}

// sendWindow counts sends in equally long parts of a sliding window.
type sendWindow struct {
	// parts holds one more than the window, so that a whole window is always
	// covered.
	parts [slots + 1]sendCounts
	at    int
	began time.Time
}

type sendCounts struct {
	first int
	again int
}

func (w *sendWindow) part() *sendCounts { return &w.parts[w.at] }

// advance begins the parts that are due at now.
func (w *sendWindow) advance(now time.Time, length time.Duration) {
	if w.began.IsZero() || now.Sub(w.began) > time.Duration(len(w.parts))*length {
		*w = sendWindow{began: now}
		return
	}
	for now.Sub(w.began) >= length {
		w.began = w.began.Add(length)
		w.at = (w.at + 1) % len(w.parts)
		w.parts[w.at] = sendCounts{}
	}
}

func (w *sendWindow) sums() (first, again int) {
	for _, p := range w.parts {
		first += p.first
		again += p.again
	}
	return first, again
}
