package cost

import (
	"math"
	"time"
)

const (
	// firstEventMemory is the weight that an observation keeps with each further one. The
	// model covers about the last 500 observations, a minute at a router.
	firstEventMemory = 0.998
	// ridge is the weight of the assumption that a coefficient is zero. It determines the
	// coefficient of a feature in which the observations don't differ.
	ridge = 0.5
	// minObservations is the number of observations from which on a model is used.
	minObservations = 30
	// maxDeviations bounds the effect of one observation, in mean deviations: a stalled
	// connection says nothing about the work.
	maxDeviations = 4
	// minDeviationMs is the deviation below which observations are not bounded any further.
	minDeviationMs = 1
	// maxObserved is the time above which an observation is ignored.
	maxObserved = time.Minute
)

// Units of the features, chosen so that all features are of the order of one.
const (
	tokensUnit   = 1000.0
	requestsUnit = 10.0
)

// firstEventModel is a linear model of the time to the first event in ms: a constant, a part
// for each request in flight, and a part for each token read. It is fitted by least squares
// with exponentially decreasing weights.
type firstEventModel struct {
	moments   [3][3]float64
	products  [3]float64
	coeffs    [3]float64
	deviation float64
	count     int
}

func firstEventFeatures(inFlight, tokens int) [3]float64 {
	return [3]float64{1, float64(inFlight) / requestsUnit, float64(tokens) / tokensUnit}
}

// observe fits the model to a further time to the first event, in ms.
func (m *firstEventModel) observe(inFlight, tokens int, ms float64) {
	x := firstEventFeatures(inFlight, tokens)
	expected := dot(m.coeffs, x)
	if m.count >= minObservations {
		reach := maxDeviations * max(m.deviation, minDeviationMs)
		ms = min(max(ms, expected-reach), expected+reach)
	}
	for i := range x {
		for j := range x {
			m.moments[i][j] = firstEventMemory*m.moments[i][j] + x[i]*x[j]
		}
		m.products[i] = firstEventMemory*m.products[i] + x[i]*ms
	}
	m.count++
	m.coeffs = solve(m.moments, m.products)
	weight := max(1/float64(m.count), 1-firstEventMemory)
	m.deviation += weight * (math.Abs(ms-dot(m.coeffs, x)) - m.deviation)
}

func (m *firstEventModel) known() bool { return m.count >= minObservations }

// wait returns the expected time until a target with the given number of requests in flight
// begins to read another one.
func (m *firstEventModel) wait(inFlight int) time.Duration {
	return milliseconds(dot(m.coeffs, firstEventFeatures(inFlight, 0)))
}

// read returns the expected time to read the given number of tokens.
func (m *firstEventModel) read(tokens int) time.Duration {
	return milliseconds(m.coeffs[2] * float64(tokens) / tokensUnit)
}

func dot(a, b [3]float64) float64 { return a[0]*b[0] + a[1]*b[1] + a[2]*b[2] }

// solve returns the solution of a ridge regression by coordinate descent, without negative
// coefficients: more requests and more tokens never take less time.
func solve(moments [3][3]float64, products [3]float64) [3]float64 {
	const rounds = 60
	var c [3]float64
	for range rounds {
		for i := range c {
			rest := products[i] - dot(moments[i], c) + moments[i][i]*c[i]
			c[i] = max(0, rest/(moments[i][i]+ridge))
		}
	}
	return c
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func inMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
