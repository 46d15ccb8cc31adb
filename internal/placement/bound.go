package placement

// DefaultBoundFactor is the default of Chooser.Factor.
const DefaultBoundFactor = 1.25

// LoadLimit returns the load bound: the maximum number of requests that one of n engines
// may have in flight when total requests, including the new one, are in flight on all of
// them. It is factor times the mean, plus one for small numbers. The least loaded engine
// is always below the bound, so the bound alone never causes a rejection.
func LoadLimit(factor float64, total, n int) int {
	if n <= 0 {
		return 0
	}
	return int(factor*float64(total)/float64(n)) + 1
}

// WithinLoadLimit reports whether an engine with load requests in flight does not exceed
// the load bound when total requests are in flight on n engines.
func WithinLoadLimit(factor float64, load, total, n int) bool {
	return load <= LoadLimit(factor, total, n)
}
