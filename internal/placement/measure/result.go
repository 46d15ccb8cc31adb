package measure

import (
	"slices"
	"time"
)

// Result is what one run showed after its warm-up.
type Result struct {
	// Returning requests, and those that found their prefix held.
	Returning int
	Hits      int
	// Admissions, and those over the load bound by the true loads.
	Admissions int
	OverBound  int
	// MaxOverBound is the most requests that an engine got over the bound.
	MaxOverBound int
	// SkewMax and SkewP99 are the busiest engine over the mean, over time.
	SkewMax, SkewP99 float64
	// Hops between routers for a request, on average.
	Hops float64
	// Bytes between routers for each router and second: those that go on
	// without requests, and those of calls for single requests.
	ControlBytes, RequestBytes float64
	// BusiestBytes are all bytes of the busiest router for each second.
	BusiestBytes float64
	// WaitP99 is that of customers that don't surge, in the surge's period.
	WaitP99 time.Duration
	// FirstTokenP99 adds the time to compute a prefix that was not held.
	FirstTokenP99 time.Duration
	// Refused counts requests that were turned away.
	Refused int
}

// Reuse is the share of returning requests that found their prefix held.
func (r Result) Reuse() float64 {
	return float64(r.Hits) / float64(max(r.Returning, 1))
}

// recordStart notes a request that begins to run.
func (r *run) recordStart(q *request) {
	if q.at < warmUp {
		return
	}
	if q.returning {
		r.results.Returning++
		if q.hit {
			r.results.Hits++
		}
	}
	if q.customerName != surgeCustomer && q.at >= surgeStart && q.at < surgeEnd {
		wait := r.now - q.at
		r.waits = append(r.waits, wait)
		if !q.hit {
			wait += q.prefill
		}
		r.firstTokens = append(r.firstTokens, wait)
	}
}

func (r *run) sampleSkew() {
	n, total, busiest := r.load()
	if r.now < warmUp || total < n {
		return
	}
	r.skews = append(r.skews, float64(busiest)*float64(n)/float64(total))
}

func (r *run) finish() Result {
	for i := range r.trace {
		if q := &r.trace[i]; q.refused && q.at >= warmUp {
			r.results.Refused++
		}
	}
	slices.Sort(r.skews)
	slices.Sort(r.waits)
	slices.Sort(r.firstTokens)
	r.results.SkewMax = r.skews[len(r.skews)-1]
	r.results.SkewP99 = r.skews[len(r.skews)*99/100]
	r.results.WaitP99 = r.waits[len(r.waits)*99/100]
	r.results.FirstTokenP99 = r.firstTokens[len(r.firstTokens)*99/100]
	r.strategy.addTraffic(&r.results)
	return r.results
}
