package placement

// DefaultBoundFactor is the default of the load bound's factor c.
const DefaultBoundFactor = 1.25

// LoadLimit is the most requests that one of n engines may have in flight when
// total are in flight on all of them, the new one included: factor times the
// mean, plus one for small numbers. The least loaded engine is always below
// the limit, so that a bound never refuses a request by itself.
func LoadLimit(factor float64, total, n int) int {
	if n <= 0 {
		return 0
	}
	return int(factor*float64(total)/float64(n)) + 1
}

// WithinLoadLimit tells whether an engine with load requests in flight is within the
// bound while total are in flight on n engines.
func WithinLoadLimit(factor float64, load, total, n int) bool {
	return load <= LoadLimit(factor, total, n)
}
