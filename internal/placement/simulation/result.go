package simulation

import (
	"slices"
	"time"
)

// Result holds the measurements of one run after its warm-up.
type Result struct {
	// Returning counts the requests of returning chats, Hits those that found their
	// prefix cached.
	Returning int
	Hits      int
	// Admissions counts the admitted requests, OverBound those that exceeded the load
	// bound by the true loads.
	Admissions int
	OverBound  int
	// MaxOverBound is the largest number of requests by which an engine exceeded the
	// bound.
	MaxOverBound int
	// SkewMax and SkewP99 are the maximum and the 99th percentile over time of the
	// busiest engine's load relative to the mean.
	SkewMax, SkewP99 float64
	// Hops is the mean number of hops between routers per request.
	Hops float64
	// ControlBytes and RequestBytes are the bytes between routers per router and
	// second: the traffic independent of requests, and that of the calls for single
	// requests.
	ControlBytes, RequestBytes float64
	// BusiestBytes is the total traffic of the busiest router in bytes per second.
	BusiestBytes float64
	// WaitP99 is the 99th percentile of the waiting time of the customers that do not
	// surge, during the surge period.
	WaitP99 time.Duration
	// FirstTokenP99 is like WaitP99, including the time to compute a prefix that was
	// not cached.
	FirstTokenP99 time.Duration
	// Refused counts the rejected requests.
	Refused int
}

// Reuse is the fraction of the returning requests that found their prefix cached.
func (r Result) Reuse() float64 {
	return float64(r.Hits) / float64(max(r.Returning, 1))
}

// recordStart adds a request that starts to run to the results.
func (r *run) recordStart(q *request) {
	if q.arrival < warmUp {
		return
	}
	if q.returning {
		r.results.Returning++
		if q.hit {
			r.results.Hits++
		}
	}
	if q.customerName != surgeCustomer && q.arrival >= surgeStart && q.arrival < surgeEnd {
		wait := r.now - q.arrival
		r.waits = append(r.waits, wait)
		if !q.hit {
			wait += q.prefill
		}
		r.firstTokens = append(r.firstTokens, wait)
	}
}

func (r *run) sampleSkew() {
	n, total, busiest := r.fleetLoad()
	if r.now < warmUp || total < n {
		return
	}
	r.skews = append(r.skews, float64(busiest)*float64(n)/float64(total))
}

func (r *run) computeResults() Result {
	for i := range r.trace {
		if q := &r.trace[i]; q.refused && q.arrival >= warmUp {
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
