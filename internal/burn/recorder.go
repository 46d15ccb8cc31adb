// Package burn reports how fast each contract's service-level objectives use
// up their error budgets. Each router counts its own requests; a report merges
// the counts of all routers.
package burn

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Windows over which burn is reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
	// maxCustomers bounds the customers counted; further ones share one entry.
	maxCustomers = 4096
	// OtherCustomers is the entry that customers over the bound share.
	OtherCustomers = "(others)"
	// maxCulprits bounds the pairs of step and target for each customer.
	maxCulprits = 64
	// histogramPeriod is how long a histogram takes samples before it rotates.
	histogramPeriod = 30 * time.Minute

	histogramMinMicros         = 100
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 2
)

// bucket counts the requests of one customer in one slot of time.
type bucket struct {
	number         int64
	total          uint32
	refused        uint32
	answered       uint32
	firstTokens    uint32
	firstTokensMet uint32
}

type culprit struct {
	step   string
	target string
}

// customer holds the counts of one customer.
type customer struct {
	buckets          [bucketCount]bucket
	current          *hdrhistogram.Histogram
	previous         *hdrhistogram.Histogram
	rotatedAt        time.Time
	culprits         map[culprit]uint64
	previousCulprits map[culprit]uint64
}

// Recorder counts the finished requests of one router. It implements
// filter.Observer.
type Recorder struct {
	router    string
	objective func(customer string) *pb.Objectives
	start     time.Time

	mu        sync.Mutex
	customers map[string]*customer
}

// NewRecorder makes a recorder; objective returns a customer's objectives, or
// nil for a customer without a contract.
func NewRecorder(router string, objective func(customer string) *pb.Objectives) *Recorder {
	return &Recorder{
		router:    router,
		objective: objective,
		start:     time.Now(),
		customers: make(map[string]*customer),
	}
}

// Observe counts one finished request. Requests that the caller got wrong are
// no service-level matter and are left out.
func (r *Recorder) Observe(rec *filter.Record) {
	if rec.Customer == "" || isCallerError(rec) {
		return
	}
	objectives := r.objective(rec.Customer)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customer(rec.Customer)
	s := c.bucket(r.bucketNumber())
	s.total++
	good := true
	switch {
	case rec.Refused:
		s.refused++
		good = false
	case rec.Complete && rec.Status < http.StatusInternalServerError:
		s.answered++
	default:
		good = false
	}
	if (rec.Model != "" || rec.Goal > 0) && rec.FirstToken > 0 && !rec.Refused {
		good = c.recordFirstToken(s, rec.FirstToken, latencyObjective(rec, objectives)) && good
	}
	if !good {
		c.recordCulprit(rec)
	}
}

// latencyObjective returns the longest time to the first token that meets the
// objective; zero if there is none.
func latencyObjective(rec *filter.Record, o *pb.Objectives) time.Duration {
	if rec.Goal > 0 {
		return rec.Goal
	}
	return time.Duration(o.GetFirstTokenMs()) * time.Millisecond
}

// isCallerError tells a refusal that coming back unchanged would not mend.
func isCallerError(rec *filter.Record) bool {
	return rec.Refused && rec.Status >= 400 && rec.Status < 500 && rec.Status != http.StatusTooManyRequests
}

func (r *Recorder) bucketNumber() int64 {
	return int64(time.Since(r.start) / bucketDuration)
}

func (r *Recorder) customer(name string) *customer {
	c, ok := r.customers[name]
	if ok {
		return c
	}
	if len(r.customers) >= maxCustomers {
		name = OtherCustomers
		if c, ok := r.customers[name]; ok {
			return c
		}
	}
	c = &customer{rotatedAt: time.Now(), current: newHistogram(), culprits: make(map[culprit]uint64)}
	r.customers[name] = c
	return c
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)
}

// bucket returns the slot of a number, emptied if it held an older one.
func (c *customer) bucket(number int64) *bucket {
	s := &c.buckets[number%int64(bucketCount)]
	if s.number != number {
		*s = bucket{number: number}
	}
	return s
}

// recordFirstToken counts a first token and tells whether it met the objective.
func (c *customer) recordFirstToken(s *bucket, took, goal time.Duration) bool {
	c.rotate()
	_ = c.current.RecordValue(min(max(took.Microseconds(), histogramMinMicros), histogramMaxMicros))
	s.firstTokens++
	met := goal == 0 || took <= goal
	if met {
		s.firstTokensMet++
	}
	return met
}

// rotate starts a new generation of histogram and culprits.
func (c *customer) rotate() {
	if time.Since(c.rotatedAt) < histogramPeriod {
		return
	}
	c.previous, c.current = c.current, newHistogram()
	c.previousCulprits, c.culprits = c.culprits, make(map[culprit]uint64)
	c.rotatedAt = time.Now()
}

func (c *customer) recordCulprit(rec *filter.Record) {
	c.rotate()
	key := culprit{target: rec.Target}
	if n := len(rec.Reasons); n > 0 {
		key.step = rec.Reasons[n-1].Step
	}
	if _, ok := c.culprits[key]; !ok && len(c.culprits) >= maxCulprits {
		key = culprit{step: key.step}
	}
	if _, ok := c.culprits[key]; ok || len(c.culprits) < maxCulprits {
		c.culprits[key]++
	}
}
