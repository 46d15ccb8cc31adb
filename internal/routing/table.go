// Package routing holds the routing table, which defines the routes, services
// and teams that a fleet serves. It checks tables, finds the route of a request
// by host and path prefix, finds the team of a bearer key and selects one of a
// route's services by weight.
//
// The package performs no I/O and reads no clock. It does not select targets.
package routing

import "time"

// Kind is the kind of the requests of a route. It defines, together with
// Route.Resumable, whether they may run more than once.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are answered with a stream of events. They may run more than
	// once only if the route is resumable.
	Stream
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "non-idempotent"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// WeightedService is the name of a service and its weight among the services of a
// route.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how the requests for one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the requests. It begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Goal is the latency objective: the time to the end of the response, or to
	// the first event of a stream.
	Goal time.Duration
	// GapGoal is the latency objective for the events of a stream: the longest
	// time between two of them.
	GapGoal time.Duration
	// Priority is zero for the highest priority.
	Priority int
	// Services are the services to which the requests are distributed by weight.
	Services []WeightedService
	// MaxTargets is the maximum number of targets on which one request may run.
	MaxTargets int
	// Public is set if requests of the route need no key.
	Public bool
	// Sticky is set if requests carry a prompt and targets cache parts of prompts
	// in memory. A target that has served the prompt before is then preferable.
	Sticky bool
	// Resumable is set if a stream may be continued at another target.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service holds the properties that are common to all targets of a service.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the maximum number of connections that one target accepts from
	// all clients together.
	MaxConns int
	// ColdStart is the time for which a target counts as cold after the evacuation of its
	// data centre has ended, unless a heartbeat says otherwise.
	// ColdPerSecond is the number of requests per second that a cold target tolerates from
	// all routers together; zero if cold targets get as many requests as others.
	ColdStart     time.Duration
	ColdPerSecond float64
	// Engine is set for services whose targets run a language model.
	Engine *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that one model server runs concurrently.
	Slots int
	// CacheTokens is the size of the memory for prompts and responses, in tokens.
	CacheTokens int
}

// Limits holds the limits for the requests and connections of callers. A zero
// field means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that is identified by its bearer keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route; nil means that the team has no
	// priority of its own.
	Priority *int
}

// Table is a complete routing configuration.
type Table struct {
	// Number is the version of the table. A process replaces its table only by one
	// with a higher number.
	Number   uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	// RequiresKey is set if requests need a bearer key unless their route is public, also if
	// no team is left. A table with teams always requires one.
	RequiresKey bool
	Teams       []*Team
}
