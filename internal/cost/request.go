package cost

import "time"

// Request describes a request by what is known before it is sent.
type Request struct {
	// Route, Team and Path determine which requests are expected to be alike. Path is set only
	// for requests without a prompt.
	Route string
	Team  string
	Path  string
	// PromptTokens is the length of the prompt in tokens. The first SharedTokens of them belong
	// to parts that other requests share.
	PromptTokens int
	SharedTokens int
	// Hint is the client's estimate of the output tokens; zero if there is none.
	Hint int
}

// ownTokens returns the number of prompt tokens that are not shared with other requests.
func (r Request) ownTokens() int { return max(0, r.PromptTokens-r.SharedTokens) }

// class identifies requests that are expected to have similar run times.
type class struct{ route, team, path string }

// classes lists the classes of a request, the most specific first.
func (r Request) classes() []class {
	return []class{{r.Route, r.Team, r.Path}, {r.Route, "", r.Path}, {r.Route, "", ""}}
}

// Observation holds the times of a request that a target has served.
type Observation struct {
	// FirstEvent is the time from sending the request to the first event of the response,
	// Run the time from there to the end of the response.
	FirstEvent time.Duration
	Run        time.Duration
	// InFlight is the number of other requests at the target when this one was sent.
	InFlight int
	// Pace is the pace of the target at that time; 1 is usual.
	Pace float64
	// Uncached is set if the shared parts of the prompt were not expected to be cached at
	// the target.
	Uncached bool
}

// Work is the estimated work of a request, as time at a target of usual speed.
type Work struct {
	// Known is set if enough requests were observed. The other fields are zero otherwise.
	Known bool
	// Read and Reread are the times to read the parts of the prompt that only this request
	// has, and those that it shares.
	Read   time.Duration
	Reread time.Duration
	// Run is the time from the first event to the end, or from the beginning for a request
	// without a prompt, and Spread its mean deviation.
	Run    time.Duration
	Spread time.Duration
}

// Total returns the time that the request occupies a target that has its shared parts cached.
func (w Work) Total() time.Duration { return w.Read + w.Run }
