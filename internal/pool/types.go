package pool

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/placement"
)

const (
	// DefaultCapacity is the capacity of targets that announce none.
	DefaultCapacity = 32
	// DefaultReserve is the part of each target's capacity, in thousandths,
	// that is reserved for customers within their share.
	DefaultReserve = 200
	// activeWindow is how long after its last request an idle customer still
	// counts in the computation of shares.
	activeWindow = 1 * time.Minute
	// minRetryAfter and maxRetryAfter bound the Retry-After time of refusals.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Placer selects one of the engines of a lane. Choice.Index is -1 if none has a
// free slot.
type Placer interface {
	Choose(now time.Time, k placement.Key, engines []placement.Engine) placement.Choice
}

// Config holds the settings of a pool.
type Config struct {
	// Placer replaces the pool's default placement.Chooser.
	// It is nil except in simulations.
	Placer Placer
	// Factor is the factor c of the load bound: no target has more than c times
	// the mean number of requests in flight, plus one.
	Factor float64
	// Spread is the number of engines with the highest rendezvous scores for a
	// chat from which the least loaded one is selected if no engine with room
	// is known to hold the chat's prefix.
	Spread int
	// Takeover is the slow-start period over which a joining engine takes over
	// its part of the chats.
	Takeover time.Duration
	// Reserve is the part of each target's capacity, in thousandths, that is
	// reserved for customers within their share.
	Reserve int
	// QueueLength bounds the waiting requests of one lane.
	QueueLength int
	// DirectorySize bounds the chats in the directory of prefix holders.
	DirectorySize int
	// AbsentTargetTTL is how long the state of a target that disappeared is kept.
	AbsentTargetTTL time.Duration
}

// Target is one target as the owner router knows it.
type Target struct {
	ID          string
	Incarnation uint64
	Models      []string
	Service     string
	Capacity    int
	// External counts requests in flight that other routers admitted.
	External int
	// Excess counts additional requests in flight that the target's load
	// reports, which lag, show. They count against the load bound but do not
	// raise the mean.
	Excess int
	// Closed is set if the target takes no new work.
	Closed bool
}

// ID identifies a request: the router that received it from the caller, that
// router's incarnation, and the request's number at that router.
type ID struct {
	Router      string
	Incarnation uint64
	Number      uint64
}

// Request is a request for a slot at a target.
type Request struct {
	ID       ID
	Customer string
	// Weight is the customer's weight by contract.
	Weight uint32
	// Class is the priority class. Zero is the most urgent.
	Class int
	// Cost is the expected service in tokens.
	Cost float64
	// Chat is zero for requests without one.
	Chat placement.Key
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Exclude lists targets that already failed this request.
	Exclude []string
	// MaxWait bounds the wait in the queue.
	MaxWait time.Duration
	// Hint is the engine that the requesting router last used for the chat; it
	// may be empty.
	Hint placement.Holder
}

// Kind is the kind of a result.
type Kind int

// Kinds of results.
const (
	// Queued means that the request waits and a later result follows.
	Queued Kind = iota + 1
	// Granted means that the request holds a slot until it is released.
	Granted
	// Refused means that the request holds no slot and does not wait.
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
	Reason      placement.Reason
	// Load is the number of requests in flight at the target, this request
	// included. Limit is the load bound over Targets targets at the decision.
	Load    int
	Limit   int
	Targets int
	// PassedOver is the preferred target if it had no free slot, and
	// PassedOverLoad is its load. PassedOver is empty if the preferred target was
	// selected.
	PassedOver     string
	PassedOverLoad int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Code and RetryAfter are set for refusals.
	Code       string
	RetryAfter time.Duration
}
