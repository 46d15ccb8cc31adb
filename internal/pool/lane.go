package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/admission"
)

const (
	// rateWindow is the time over which a lane's rate of releases is taken.
	rateWindow = 5 * time.Second
	// minRateSamples is the number of releases below which the rate is
	// unknown.
	minRateSamples = 10
	// usageWindow is the time over which a customer's use is averaged.
	usageWindow = 30 * time.Second
	// burstFactor is how far above its share a customer may be for a short
	// time.
	burstFactor = 2
)

// lane holds the targets that can serve one model or service, and the queue
// of the requests that wait for them.
type lane struct {
	name     string
	targets  []*target
	capacity int
	// reservePerMille is the part kept free, in thousandths of the capacity.
	reservePerMille int
	queue           *admission.Queue
	shares          map[string]*share
	// totalWeight is the sum over shares.
	totalWeight float64

	// releases counts the places freed since windowStart; rate is that of
	// the window before, per second.
	releases    int
	windowStart time.Time
	releaseRate float64
}

// share is what one customer uses of a lane.
type share struct {
	weight      float64
	inFlight    int
	lastRequest time.Time
	// average is that of inFlight over about useWindow, as of averaged.
	average    float64
	averagedAt time.Time
}

// addInFlight changes the requests in flight.
func (s *share) addInFlight(now time.Time, n int) {
	s.updateAverage(now)
	s.inFlight += n
}

// updateAverage brings the average up to now.
func (s *share) updateAverage(now time.Time) {
	if !s.averagedAt.IsZero() {
		kept := math.Exp(-now.Sub(s.averagedAt).Seconds() / usageWindow.Seconds())
		s.average = s.average*kept + float64(s.inFlight)*(1-kept)
	}
	s.averagedAt = now
}

func newLane(name string, cfg *Config) *lane {
	return &lane{
		name:            name,
		reservePerMille: cfg.Reserve,
		queue:           admission.NewQueue(cfg.QueueLength),
		shares:          make(map[string]*share),
	}
}

func modelLane(model string) string { return "model/" + model }

func serviceLane(service string) string { return "service/" + service }

// LaneName names the lane of requests for a model or service.
func LaneName(model, service string) string {
	if service != "" {
		return serviceLane(service)
	}
	return modelLane(model)
}

// Lanes names the lanes that a target with these models or service serves.
func Lanes(models []string, service string) []string {
	if service != "" {
		return []string{serviceLane(service)}
	}
	lanes := make([]string, 0, len(models))
	for _, m := range models {
		lanes = append(lanes, modelLane(m))
	}
	return lanes
}

// recordRequest notes a customer's request and returns its share.
func (l *lane) recordRequest(now time.Time, r *Request) *share {
	s, ok := l.shares[r.Customer]
	if !ok {
		s = &share{}
		l.shares[r.Customer] = s
	}
	weight := float64(max(r.Weight, 1))
	l.totalWeight += weight - s.weight
	s.weight = weight
	s.lastRequest = now
	return s
}

// aboveShare tells whether a customer uses more than its weighted share of the
// lane's capacity: on average, or with one more request now by far or so much
// that it reaches into the reserve. Chance alone takes a small customer past
// its share for moments. A customer that is alone is never above its share.
func (l *lane) aboveShare(now time.Time, customer string) bool {
	s, ok := l.shares[customer]
	if !ok || len(l.shares) < 2 {
		return false
	}
	s.updateAverage(now)
	fair := float64(l.capacity) * s.weight / l.totalWeight
	most := min(burstFactor*fair, float64(l.capacity-l.reservedSlots()))
	return s.average > fair || float64(s.inFlight+1) > most
}

// reservedSlots is the number of places that are left to customers within their
// share.
func (l *lane) reservedSlots() int { return (l.capacity*l.reservePerMille + 999) / 1000 }

// freeSlots counts the places that the lane's targets have left.
func (l *lane) freeSlots() int {
	free := 0
	for _, t := range l.targets {
		free += max(0, t.Capacity-t.inFlight())
	}
	return free
}

// evictIdleShares drops customers that have been idle for long.
func (l *lane) evictIdleShares(now time.Time) {
	for name, s := range l.shares {
		if s.inFlight == 0 && l.queue.Waiting(name) == 0 && now.Sub(s.lastRequest) > activeWindow {
			l.totalWeight -= s.weight
			delete(l.shares, name)
		}
	}
}

func (l *lane) countRelease(now time.Time) {
	l.updateRate(now)
	l.releases++
}

func (l *lane) updateRate(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < rateWindow {
		return
	}
	l.releaseRate = 0
	if l.releases >= minRateSamples {
		l.releaseRate = float64(l.releases) / elapsed.Seconds()
	}
	l.releases = 0
	l.windowStart = now
}

// expectedWait estimates how long a customer's next request of a class would
// wait: what goes before it served at the customer's share of the lane's rate;
// ok is false while the rate is unknown.
func (l *lane) expectedWait(customer string, class int) (wait time.Duration, ok bool) {
	s, known := l.shares[customer]
	if !known || l.releaseRate == 0 {
		return 0, false
	}
	competing := 0.0
	for name, other := range l.shares {
		if name == customer || l.queue.Waiting(name) > 0 {
			competing += other.weight
		}
	}
	rate := l.releaseRate * s.weight / competing
	seconds := float64(l.queue.Ahead(customer, class)+1) / rate
	return time.Duration(min(seconds, maxRetryAfter.Seconds()*10) * float64(time.Second)), true
}

// retryAfter is when a refused customer should come back.
func (l *lane) retryAfter(customer string, class int) time.Duration {
	wait, ok := l.expectedWait(customer, class)
	if !ok {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// idle tells whether nothing refers to the lane.
func (l *lane) idle() bool {
	if len(l.targets) > 0 || l.queue.Len() > 0 {
		return false
	}
	for _, s := range l.shares {
		if s.inFlight > 0 {
			return false
		}
	}
	return true
}

func (l *lane) setTargets(targets []*target) {
	slices.SortFunc(targets, func(a, b *target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	l.targets = targets
	l.capacity = 0
	for _, t := range targets {
		l.capacity += t.Capacity
	}
}
