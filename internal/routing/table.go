// Package routing holds the routing table: which routes, services and teams a
// fleet serves. It finds the route of a request and the team of a key. It has
// no I/O and no clock.
package routing

import "time"

// Kind tells how a route's requests may be repeated.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota + 1
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String returns the kind's name in logs.
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

// WeightedService is one service's part of a route's requests.
type WeightedService struct {
	Service string
	Weight  int
}

// Route is one route of the table.
type Route struct {
	Name string
	Host string
	// Prefix begins the paths of the route and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Goal is the latency objective: of the whole answer, or of a stream's
	// first event.
	Goal time.Duration
	// GapGoal is the longest pause between two events of a stream that is on
	// time.
	GapGoal time.Duration
	// Priority is the route's rank, zero first.
	Priority int
	// Services are the services that the route's requests go to.
	Services []WeightedService
	// MaxTargets is the most targets that one request may run at.
	MaxTargets int
	// Public routes need no key.
	Public bool
	// Sticky requests carry a prompt whose parts targets keep in memory.
	Sticky bool
	// Resumable streams may be continued at another target.
	Resumable bool
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is what the targets of one service have in common.
type Service struct {
	Name       string
	HealthPath string
	// MaxConns is the most connections that one target accepts from all callers.
	MaxConns int
	// Engine is set for services whose targets run a language model.
	Engine *Engine
}

// Engine describes the model servers of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the memory for prompts and answers, in tokens.
	CacheTokens int
}

// Limits bound what callers may send. Zero fields bound nothing.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is one holder of keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's; nil if the team has none of its own.
	Priority *int
}

// Table is one whole routing configuration.
type Table struct {
	// Number orders tables; the highest one is in force.
	Number   uint64
	Routes   []*Route
	Services []*Service
	Limits   Limits
	Teams    []*Team
}
