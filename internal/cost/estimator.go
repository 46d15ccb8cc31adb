package cost

import (
	"maps"
	"math"
	"time"
)

const (
	// maxClasses bounds the classes that are kept, since paths come from clients. Requests of
	// further classes are estimated by route.
	maxClasses = 1024
	// runWeight is the weight of the latest run time in the mean of its class.
	runWeight = 0.05
	// minClassObservations is the number of observations from which on a class is used.
	minClassObservations = 8
	// minDeviationShare is the part of a mean below which its deviation does not bound
	// observations any further.
	minDeviationShare = 0.1
	// hintDeviations is how far a hint may take the estimate from the mean of the class, in
	// mean deviations. A team's false hints then change the estimate by a bounded amount.
	hintDeviations = 1.5
	// minPace and maxPace bound the pace of a target, whatever it reports.
	minPace = 0.5
	maxPace = 4.0
)

// Estimator learns the work of the requests of one service. The zero value has learned
// nothing.
type Estimator struct {
	first firstEventModel
	// tokenRun is the run time for each hinted token, in ms.
	tokenRun mean
	classes  map[class]*mean
}

// mean is an exponentially weighted moving average with the mean deviation, both in ms.
type mean struct {
	value     float64
	deviation float64
	count     int
}

// observe adds an observation in ms. Once the mean is used, one observation changes it by a bounded
// amount.
func (m *mean) observe(v float64) {
	if m.count >= minClassObservations {
		reach := maxDeviations * max(m.deviation, minDeviationShare*m.value)
		v = min(max(v, m.value-reach), m.value+reach)
	}
	m.count++
	weight := max(1/float64(m.count), runWeight)
	m.deviation += weight * (math.Abs(v-m.value) - m.deviation)
	m.value += weight * (v - m.value)
	if m.count == 1 {
		m.deviation = 0
	}
}

// Observe learns from a request that a target has served.
func (e *Estimator) Observe(r Request, o Observation) {
	if o.FirstEvent < 0 || o.Run < 0 || o.FirstEvent > maxObserved || o.Run > maxObserved {
		return
	}
	pace := clampPace(o.Pace)
	e.first.observe(o.InFlight, r.tokensToRead(o.Uncached), inMilliseconds(o.FirstEvent)/pace)
	run := inMilliseconds(o.Run) / pace
	if r.Path != "" {
		run += inMilliseconds(o.FirstEvent) / pace
	}
	for _, c := range r.classes() {
		if m := e.class(c); m != nil {
			m.observe(run)
		}
	}
	if r.Hint > 0 {
		e.tokenRun.observe(run / float64(r.Hint))
	}
}

// tokensToRead is the number of tokens that a target reads for the request.
func (r Request) tokensToRead(uncached bool) int {
	if uncached {
		return r.PromptTokens
	}
	return r.ownTokens()
}

// class returns the mean of a class, which it adds if there is room, or nil. Classes with few
// observations make room for others.
func (e *Estimator) class(c class) *mean {
	m := e.classes[c]
	if m == nil && len(e.classes) >= maxClasses {
		maps.DeleteFunc(e.classes, func(_ class, m *mean) bool { return m.count < minClassObservations })
	}
	if m == nil && len(e.classes) < maxClasses {
		if e.classes == nil {
			e.classes = make(map[class]*mean)
		}
		m = &mean{}
		e.classes[c] = m
	}
	return m
}

// Work estimates the work of a request.
func (e *Estimator) Work(r Request) Work {
	if !e.first.known() {
		return Work{}
	}
	w := Work{Known: true, Read: e.first.read(r.ownTokens()), Reread: e.first.read(min(r.SharedTokens, r.PromptTokens))}
	run, spread := e.run(r)
	w.Run, w.Spread = milliseconds(run), milliseconds(spread)
	return w
}

// run returns the expected run time in ms and its mean deviation.
func (e *Estimator) run(r Request) (value, deviation float64) {
	for _, c := range r.classes() {
		m := e.classes[c]
		if m == nil || m.count < minClassObservations {
			continue
		}
		value, deviation = m.value, m.deviation
		if r.Hint > 0 && e.tokenRun.count >= minClassObservations {
			hinted := float64(r.Hint) * e.tokenRun.value
			value = min(max(hinted, value-hintDeviations*deviation), value+hintDeviations*deviation)
		}
		return max(0, value), deviation
	}
	return 0, 0
}

// Wait estimates the time, at usual pace, until a target with the given number of requests in
// flight begins to read another one. It is zero while too few requests were observed.
func (e *Estimator) Wait(inFlight int) time.Duration {
	if !e.first.known() {
		return 0
	}
	return e.first.wait(inFlight)
}

// clampPace bounds a pace; zero stands for an unknown one.
func clampPace(p float64) float64 {
	if p == 0 || math.IsNaN(p) {
		return 1
	}
	return min(max(p, minPace), maxPace)
}
