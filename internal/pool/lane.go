package pool

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fairqueue"
)

const (
	// rateWindow is the period over which a lane's release rate is measured.
	rateWindow = 5 * time.Second
	// minRateSamples is the number of releases in a window below which the
	// release rate counts as unknown.
	minRateSamples = 10
	// usageWindow is the time constant of the exponentially weighted moving
	// average (EWMA) of a customer's requests in flight.
	usageWindow = 30 * time.Second
	// burstFactor is the multiple of its share that a customer may have in
	// flight until the average of its usage exceeds the share.
	burstFactor = 2
)

// lane holds the targets that can serve one model or service, and the queue of
// the requests that wait for a slot at one of them.
type lane struct {
	name     string
	targets  []*target
	capacity int
	// reservePerMille is the part of the capacity, in thousandths, that is
	// reserved for customers within their share.
	reservePerMille int
	queue           *fairqueue.Queue
	shares          map[string]*share
	// totalWeight is the sum of the weights of all shares.
	totalWeight float64

	// releases counts the slots released since windowStart. releaseRate is the
	// rate of the previous window, per second; zero if unknown.
	releases    int
	windowStart time.Time
	releaseRate float64
}

// share tracks one customer's usage of a lane.
type share struct {
	weight      float64
	inFlight    int
	lastRequest time.Time
	// average is the EWMA of inFlight with time constant usageWindow, as of
	// averagedAt.
	average    float64
	averagedAt time.Time
}

// addInFlight updates the average and then adds n, which is negative for
// releases, to the requests in flight.
func (s *share) addInFlight(now time.Time, n int) {
	s.updateAverage(now)
	s.inFlight += n
}

// updateAverage advances the average to now.
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
		queue:           fairqueue.NewQueue(cfg.QueueLength),
		shares:          make(map[string]*share),
	}
}

func modelLane(model string) string { return "model/" + model }

func serviceLane(service string) string { return "service/" + service }

// LaneName returns the name of the lane of a service, or of a model if service is
// empty.
func LaneName(model, service string) string {
	if service != "" {
		return serviceLane(service)
	}
	return modelLane(model)
}

// Lanes returns the names of the lanes to which a target with the given service
// belongs, or with the given models if service is empty.
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

// recordRequest records the time and weight of a customer's request and returns
// the customer's share.
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

// aboveShare reports whether a customer is above its share: the part of the
// lane's capacity that corresponds to its weight. A customer is above its share
// if its average usage exceeds the share, or if one more request would exceed the
// lower of two limits: burstFactor times the share, and the capacity without the
// reserve. The limit on requests in flight is higher than the share because
// random arrivals alone take a small customer briefly above its share. A customer
// that is alone in a lane or unknown there is never above its share.
func (l *lane) aboveShare(now time.Time, customer string) bool {
	s, ok := l.shares[customer]
	if !ok || len(l.shares) < 2 {
		return false
	}
	s.updateAverage(now)
	fair := float64(l.capacity) * s.weight / l.totalWeight
	maxInFlight := min(burstFactor*fair, float64(l.capacity-l.reservedSlots()))
	return s.average > fair || float64(s.inFlight+1) > maxInFlight
}

// reservedSlots returns the number of slots that are reserved for customers
// within their share.
func (l *lane) reservedSlots() int { return (l.capacity*l.reservePerMille + 999) / 1000 }

// freeSlots returns the number of free slots at the lane's targets.
func (l *lane) freeSlots() int {
	free := 0
	for _, t := range l.targets {
		free += max(0, t.Capacity-t.inFlight())
	}
	return free
}

// evictIdleShares removes the shares of customers that have no requests in flight
// or waiting and sent no request within activeWindow.
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

// updateRate computes the release rate and starts a new window, if the current
// window is over.
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

// expectedWait estimates how long the next request of a customer in a class would
// wait. The estimate divides the number of the customer's waiting requests of the
// same or a more urgent class, plus one, by the customer's part of the release
// rate. The rate is divided by weight between this customer and all customers with
// waiting requests. The estimate is at most ten times maxRetryAfter. ok is false
// while the rate is unknown.
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

// retryAfter returns the Retry-After time for a refused request: the expected
// wait, limited to the range from minRetryAfter to maxRetryAfter. It returns
// minRetryAfter while the expected wait is unknown.
func (l *lane) retryAfter(customer string, class int) time.Duration {
	wait, ok := l.expectedWait(customer, class)
	if !ok {
		return minRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// idle reports whether the lane has no targets, no waiting requests and no
// requests in flight.
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

// setTargets replaces the targets of the lane, sorted by ID, and updates the
// capacity.
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
