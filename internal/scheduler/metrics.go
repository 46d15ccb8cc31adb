package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

// metrics reports cache reuse, skew, queue lengths and refusals.
type metrics struct {
	scope           tally.Scope
	placedAtHolder  tally.Counter
	placedElsewhere tally.Counter
	cacheHits       tally.Counter
	cacheMisses     tally.Counter
	failedRequests  tally.Counter
	queueWait       tally.Timer
	directoryChats  tally.Gauge
	grants          tally.Gauge
	claims          tally.Counter
	// Admissions by their path: decided by this router, decided by another
	// owner, and forwarded for another router.
	localAdmissions  tally.Counter
	remoteAdmissions tally.Counter
	forwarded        tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	s := scope.SubScope("scheduler")
	return &metrics{
		scope:           s,
		placedAtHolder:  s.Tagged(map[string]string{"placed": "held"}).Counter("placements"),
		placedElsewhere: s.Tagged(map[string]string{"placed": "other"}).Counter("placements"),
		cacheHits:       s.Tagged(map[string]string{"prefix": "hit"}).Counter("cache_lookups"),
		cacheMisses:     s.Tagged(map[string]string{"prefix": "miss"}).Counter("cache_lookups"),
		failedRequests:  s.Counter("failed_requests"),
		queueWait:       s.Timer("queue_wait"),
		directoryChats:  s.Gauge("directory_chats"),
		grants:          s.Gauge("grants"),
		claims:          s.Counter("home_claims"),

		localAdmissions:  s.Tagged(map[string]string{"by": "self"}).Counter("admissions"),
		remoteAdmissions: s.Tagged(map[string]string{"by": "home"}).Counter("admissions"),
		forwarded:        s.Tagged(map[string]string{"by": "relay"}).Counter("admissions"),
	}
}

func (m *metrics) granted(why placement.Reason, waited time.Duration) {
	if why == placement.ReasonCached {
		m.placedAtHolder.Inc(1)
	} else {
		m.placedElsewhere.Inc(1)
	}
	m.queueWait.Record(waited)
}

func (m *metrics) released(u filter.Usage) {
	switch {
	case u.Failed:
		m.failedRequests.Inc(1)
	case u.CacheHit:
		m.cacheHits.Inc(1)
	default:
		m.cacheMisses.Inc(1)
	}
}

func (m *metrics) refused(code string) {
	m.scope.Tagged(map[string]string{"code": code}).Counter("refusals").Inc(1)
}

func (m *metrics) report(s pool.Stats) {
	m.directoryChats.Update(float64(s.Chats))
	m.grants.Update(float64(s.Grants))
	for lane, loads := range s.Loads {
		scope := m.scope.Tagged(map[string]string{"lane": lane})
		scope.Gauge("skew").Update(pool.Skew(loads))
		scope.Gauge("waiting").Update(float64(s.Waiting[lane]))
	}
}
