// Package burn reports the burn rates of the error budgets of each contract's
// service-level objectives. Each router counts the requests that it finished in
// time buckets and keeps a histogram of the time to the first token. An
// Aggregator fetches the counts of all routers and merges them into one report.
//
// Counts are kept in memory only, and a lost router's counts are missing from
// the report. The package sends no alerts.
package burn

import (
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Windows are the lengths of the windows over which burn is reported, shortest
// first.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour}

const (
	bucketDuration = 30 * time.Second
	bucketCount    = int(6 * time.Hour / bucketDuration)
	// maxCustomers is the maximum number of customers counted separately. Further
	// customers share one entry.
	maxCustomers = 4096
	// OtherCustomers is the name of the entry that customers beyond maxCustomers
	// share.
	OtherCustomers = "(others)"
	// maxCulprits is the maximum number of pairs of step and target for each
	// customer.
	maxCulprits = 64
	// histogramPeriod is how long a histogram records samples before it is
	// rotated.
	histogramPeriod = 30 * time.Minute

	histogramMinMicros         = 100
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 2
)

// bucket counts the requests of one customer in one interval of bucketDuration.
type bucket struct {
	number         int64
	total          uint32
	refused        uint32
	answered       uint32
	firstTokens    uint32
	firstTokensMet uint32
}

// culprit is a step of the filter chain and a target to which bad requests are
// attributed.
type culprit struct {
	step   string
	target string
}

// customer holds the counts of one customer. The buckets are a ring. The
// histogram and the culprits have a current and a previous generation.
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
	router     string
	objectives func(customer string) *pb.Objectives
	start      time.Time

	mu        sync.Mutex
	customers map[string]*customer
}

// NewRecorder returns a recorder without counts. The function objective returns
// the objectives of a customer, or nil for a customer without a contract.
func NewRecorder(router string, objective func(customer string) *pb.Objectives) *Recorder {
	return &Recorder{
		router:     router,
		objectives: objective,
		start:      time.Now(),
		customers:  make(map[string]*customer),
	}
}

// Observe counts one finished request. It ignores requests that failed because
// of an error of the caller, since they say nothing about the service level.
func (r *Recorder) Observe(rec *filter.Record) {
	if rec.Customer == "" || isCallerError(rec) {
		return
	}
	objectives := r.objectives(rec.Customer)
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.customer(rec.Customer)
	b := c.bucket(r.bucketNumber())
	b.total++
	good := true
	switch {
	case rec.Refused:
		b.refused++
		good = false
	case rec.Complete && rec.Status < http.StatusInternalServerError:
		b.answered++
	default:
		good = false
	}
	if (rec.Model != "" || rec.Goal > 0) && rec.FirstToken > 0 && !rec.Refused {
		good = c.recordFirstToken(b, rec.FirstToken, latencyObjective(rec, objectives)) && good
	}
	if !good {
		c.recordCulprit(rec)
	}
}

// latencyObjective returns the longest time to the first token that meets the
// objective: that of the route if it has one, otherwise that of the contract.
// Zero means no objective.
func latencyObjective(rec *filter.Record, o *pb.Objectives) time.Duration {
	if rec.Goal > 0 {
		return rec.Goal
	}
	return time.Duration(o.GetFirstTokenMs()) * time.Millisecond
}

// isCallerError reports whether the request was refused with a status that a
// retry of the same request would get again.
func isCallerError(rec *filter.Record) bool {
	return rec.Refused && rec.Status >= 400 && rec.Status < 500 && rec.Status != http.StatusTooManyRequests
}

// bucketNumber returns the number of the current bucket, counted from the start
// of the recorder.
func (r *Recorder) bucketNumber() int64 {
	return int64(time.Since(r.start) / bucketDuration)
}

// customer returns the counts of the customer and creates them if necessary.
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

// bucket returns the bucket with this number. It resets the bucket first if it
// still holds the counts of an older number.
func (c *customer) bucket(number int64) *bucket {
	b := &c.buckets[number%int64(bucketCount)]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// recordFirstToken counts a first token and reports whether it met the
// objective.
func (c *customer) recordFirstToken(b *bucket, took, objective time.Duration) bool {
	c.rotate()
	_ = c.current.RecordValue(min(max(took.Microseconds(), histogramMinMicros), histogramMaxMicros))
	b.firstTokens++
	met := objective == 0 || took <= objective
	if met {
		b.firstTokensMet++
	}
	return met
}

// rotate starts a new generation of the histogram and the culprits after
// histogramPeriod.
func (c *customer) rotate() {
	if time.Since(c.rotatedAt) < histogramPeriod {
		return
	}
	c.previous, c.current = c.current, newHistogram()
	c.previousCulprits, c.culprits = c.culprits, make(map[culprit]uint64)
	c.rotatedAt = time.Now()
}

// recordCulprit attributes a bad request to the last step in its reasons and to
// its target. Once maxCulprits pairs are known, new pairs count under their step
// without a target, and are dropped if there is no such entry.
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
