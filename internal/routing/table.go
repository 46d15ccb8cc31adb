// Package routing holds the routing table, which defines the routes, services
// and teams that a fleet serves. It checks tables, finds the route of a request
// by host and path prefix, finds the team of a key and selects one of a route's
// services by weight.
//
// The package performs no I/O and reads no clock. It does not select targets.
package routing

import "time"

// Kind defines whether the requests of a route may be repeated.
type Kind int

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are answered by a sequence of events.
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

// WeightedService is a service with the weight of its part of a route's
// requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route defines how the requests of one host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix is the common prefix of the paths of the route. It begins and ends
	// with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Goal is the latency objective: the time to the end of the response, or to
	// the first event of a stream.
	Goal time.Duration
	// GapGoal is the longest time between two events of a stream that meets its
	// latency objective.
	GapGoal time.Duration
	// Priority is the priority of the route; zero is the highest.
	Priority int
	// Services are the services that the requests of the route are distributed to.
	Services []WeightedService
	// MaxTargets is the maximum number of targets on which one request may run.
	MaxTargets int
	// Public is set if requests of the route need no key.
	Public bool
	// Sticky is set if requests carry a prompt whose parts targets cache in
	// memory, so that a target that has served the prompt before is preferable.
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

// Limits bounds what callers may send. A zero field means no limit.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is an owner of keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route; nil means that the team has no
	// priority of its own.
	Priority *int
}

// Table is a complete routing configuration.
type Table struct {
	// Number orders the tables; the one with the highest number is the active one.
	Number   uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	Teams    []*Team
}
