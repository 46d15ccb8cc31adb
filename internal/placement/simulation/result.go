package simulation

import (
	"slices"
	"time"
)

// Result holds the measurements of one run after its warm-up.
type Result struct {
	// Returning counts the started requests of returning chats.
	Returning int
	// Hits counts the requests of Returning whose prefix was cached at their engine.
	Hits int
	// Admissions counts the admitted requests.
	Admissions int
	// OverBound counts the admissions that took an engine over the load bound,
	// computed with the loads of all engines at that time.
	OverBound int
	// MaxOverBound is the largest number of requests by which an engine exceeded the
	// bound.
	MaxOverBound int
	// SkewMax and SkewP99 are the maximum and the 99th percentile of the skew over time.
	// The skew is the busiest engine's load relative to the mean.
	SkewMax, SkewP99 float64
	// Hops is the mean number of hops between routers per request.
	Hops float64
	// ControlBytes and RequestBytes are the traffic between routers in bytes per router
	// and second: ControlBytes for reports, cache events and changes of the owner,
	// RequestBytes for the calls that admit single requests.
	ControlBytes, RequestBytes float64
	// BusiestBytes is the total traffic of the busiest router in bytes per second.
	BusiestBytes float64
	// WaitP99 is the 99th percentile of the waiting time in the surge period, over the
	// requests of the customers that do not surge.
	WaitP99 time.Duration
	// FirstTokenP99 is like WaitP99, but includes the time to compute a prefix that was
	// not cached.
	FirstTokenP99 time.Duration
	// Refused counts the rejected requests.
	Refused int
}

// Reuse is the prefix cache hit rate of the requests of returning chats.
func (r Result) Reuse() float64 {
	return float64(r.Hits) / float64(max(r.Returning, 1))
}

// recordStart adds a request that starts to run at its engine to the results.
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

// sampleSkew records the current skew, unless the engines have fewer than one request in
// flight on average.
func (r *run) sampleSkew() {
	n, total, busiest := r.fleetLoad()
	if r.now < warmUp || total < n {
		return
	}
	r.skews = append(r.skews, float64(busiest)*float64(n)/float64(total))
}

// computeResults returns the results at the end of the trace.
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
