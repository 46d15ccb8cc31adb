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
	// useWindow is the time over which a customer's use is averaged.
	useWindow = 30 * time.Second
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
	// reserve is the part kept free, in thousandths of the capacity.
	reserve int
	queue   *admission.Queue
	shares  map[string]*share
	// weights is the sum over shares.
	weights float64

	// releases counts the places freed since windowStart; rate is that of
	// the window before, per second.
	releases    int
	windowStart time.Time
	rate        float64
}

// share is what one customer uses of a lane.
type share struct {
	weight   float64
	inFlight int
	seen     time.Time
	// average is that of inFlight over about useWindow, as of averaged.
	average  float64
	averaged time.Time
}

// add changes the requests in flight.
func (s *share) add(now time.Time, n int) {
	s.settle(now)
	s.inFlight += n
}

// settle brings the average up to now.
func (s *share) settle(now time.Time) {
	if !s.averaged.IsZero() {
		kept := math.Exp(-now.Sub(s.averaged).Seconds() / useWindow.Seconds())
		s.average = s.average*kept + float64(s.inFlight)*(1-kept)
	}
	s.averaged = now
}

func newLane(name string, cfg *Config) *lane {
	return &lane{
		name:    name,
		reserve: cfg.Reserve,
		queue:   admission.NewQueue(cfg.QueueLength),
		shares:  make(map[string]*share),
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

// see notes a customer's request and returns its share.
func (l *lane) see(now time.Time, r *Request) *share {
	s, ok := l.shares[r.Customer]
	if !ok {
		s = &share{}
		l.shares[r.Customer] = s
	}
	weight := float64(max(r.Weight, 1))
	l.weights += weight - s.weight
	s.weight = weight
	s.seen = now
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
	s.settle(now)
	fair := float64(l.capacity) * s.weight / l.weights
	most := min(burstFactor*fair, float64(l.capacity-l.reserved()))
	return s.average > fair || float64(s.inFlight+1) > most
}

// reserved is the number of places that are left to customers within their
// share.
func (l *lane) reserved() int { return (l.capacity*l.reserve + 999) / 1000 }

// free counts the places that the lane's targets have left.
func (l *lane) free() int {
	free := 0
	for _, t := range l.targets {
		free += max(0, t.Capacity-t.inFlight())
	}
	return free
}

// forgetIdle drops customers that have been idle for long.
func (l *lane) forgetIdle(now time.Time) {
	for name, s := range l.shares {
		if s.inFlight == 0 && l.queue.Waiting(name) == 0 && now.Sub(s.seen) > activeFor {
			l.weights -= s.weight
			delete(l.shares, name)
		}
	}
}

func (l *lane) countRelease(now time.Time) {
	l.rollRate(now)
	l.releases++
}

func (l *lane) rollRate(now time.Time) {
	if l.windowStart.IsZero() {
		l.windowStart = now
	}
	elapsed := now.Sub(l.windowStart)
	if elapsed < rateWindow {
		return
	}
	l.rate = 0
	if l.releases >= minRateSamples {
		l.rate = float64(l.releases) / elapsed.Seconds()
	}
	l.releases = 0
	l.windowStart = now
}

// expectedWait estimates how long a customer's next request of a class would
// wait: what goes before it served at the customer's share of the lane's rate;
// ok is false while the rate is unknown.
func (l *lane) expectedWait(customer string, class int) (wait time.Duration, ok bool) {
	s, known := l.shares[customer]
	if !known || l.rate == 0 {
		return 0, false
	}
	competing := 0.0
	for name, other := range l.shares {
		if name == customer || l.queue.Waiting(name) > 0 {
			competing += other.weight
		}
	}
	rate := l.rate * s.weight / competing
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
