package pool

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

const (
	// DefaultCapacity is assumed of targets that announce none.
	DefaultCapacity = 32
	// DefaultReserve is the share of each target's capacity, in thousandths,
	// that customers above their share leave to the others.
	DefaultReserve = 200
	// activeWindow is how long after its last request a customer counts when
	// shares are computed.
	activeWindow = 1 * time.Minute
	// minRetryAfter and maxRetryAfter bound what refused callers are told.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Placer chooses among the engines of a lane; Choice.Index is -1 if none has
// room.
type Placer interface {
	Choose(now time.Time, k placement.Key, engines []placement.Engine) placement.Choice
}

// Config holds the settings of a pool.
type Config struct {
	// Placer replaces the pool's own placement; it is nil outside of
	// measurements.
	Placer Placer
	// Factor is the c of the load bound.
	Factor float64
	// Spread is among how many of a chat's best engines by rendezvous the
	// least loaded one is taken if nobody is known to hold its prefix.
	Spread int
	// Takeover is the time over which a joining engine takes over chats.
	Takeover time.Duration
	// Reserve is in thousandths of a target's capacity.
	Reserve int
	// QueueLength bounds the waiting requests of one lane.
	QueueLength int
	// DirectorySize bounds the chats remembered.
	DirectorySize int
	// AbsentTargetTTL is how long the state of a target that vanished is kept.
	AbsentTargetTTL time.Duration
}

// Target is one target as the router knows it.
type Target struct {
	ID          string
	Incarnation uint64
	Models      []string
	Service     string
	Capacity    int
	// External counts requests in flight that other routers admitted.
	External int
	// Excess counts requests that may be in flight besides, by reports that
	// lag. They count against the load bound, but don't raise the mean.
	Excess int
	// Closed targets take no new work.
	Closed bool
}

// ID names a request: the router that brought it, that router's incarnation,
// and the request's number there.
type ID struct {
	Router      string
	Incarnation uint64
	Number      uint64
}

// Request asks for a place at a target.
type Request struct {
	ID       ID
	Customer string
	// Weight is the customer's share by contract.
	Weight uint32
	// Class is the priority class, zero the most urgent.
	Class int
	// Cost is the expected service in tokens.
	Cost float64
	// Chat is zero for requests without one.
	Chat placement.Key
	// Model or Service is set.
	Model   string
	Service string
	// Exclude names targets that failed this request before.
	Exclude []string
	// MaxWait bounds the wait in the queue.
	MaxWait time.Duration
	// Hint is where the asking router last placed the chat; it may be empty.
	Hint placement.Holder
}

// Kind is what became of a request.
type Kind int

// Kinds of results.
const (
	// Queued: the request waits; a later result follows.
	Queued Kind = iota + 1
	// Granted: the request holds a place until it is released.
	Granted
	// Refused: the request holds nothing.
	Refused
)

// Codes of refusals.
const (
	CodeNoTarget    = "no-target"
	CodeQueueFull   = "queue-full"
	CodeWaitTooLong = "wait-too-long"
)

// Result is the decision on one request.
type Result struct {
	ID   ID
	Kind Kind
	// Target, Incarnation and Why are set for grants.
	Target      string
	Incarnation uint64
	Why         placement.Reason
	// Load is the target's load with this request, Limit the bound over Targets
	// targets at that moment.
	Load    int
	Limit   int
	Targets int
	// PassedOver is the target that would have been preferred, but had no room, and
	// PassedLoad its load; empty if there is none.
	PassedOver     string
	PassedOverLoad int
	// Waited is the time in the queue.
	Waited time.Duration
	// Code and RetryAfter are set for refusals.
	Code       string
	RetryAfter time.Duration
}
