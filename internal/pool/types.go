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
	// activeWindow is the time after its last request for which an idle customer
	// still counts when the capacity is divided into shares.
	activeWindow = 1 * time.Minute
	// minRetryAfter and maxRetryAfter bound the Retry-After time of refusals.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Placer selects one of the engines of a lane for the chat with key k. The index
// of the choice is -1 if no engine has a free slot.
type Placer interface {
	Choose(now time.Time, k placement.Key, engines []placement.Engine) placement.Choice
}

// Config holds the settings of a pool.
type Config struct {
	// Placer replaces the pool's default placement.Chooser. Placer is nil except
	// in simulations.
	Placer Placer
	// Factor is the factor c of the load bound: no target has more than c times
	// the mean number of requests in flight, plus one (rendezvous hashing with
	// bounded loads).
	Factor float64
	// Spread is the number of engines with the highest rendezvous scores for a
	// chat from which the least loaded one is selected, if no engine with a free
	// slot is known to have the chat's prefix cached (power of d choices).
	Spread int
	// SlowStart is the slow-start period of a joining engine. During this period
	// the engine's part of the chats grows from zero to its full part.
	SlowStart time.Duration
	// Reserve is the part of each target's capacity, in thousandths, that is
	// reserved for customers within their share.
	Reserve int
	// QueueLength bounds the waiting requests of one model or service.
	QueueLength int
	// DirectorySize bounds the chats in the directory of the engines that have a
	// chat's prefix cached.
	DirectorySize int
	// AbsentTargetTTL is how long the state of an absent target is kept.
	AbsentTargetTTL time.Duration
}

// Target is one target of the group as the owner knows it. Either Models or
// Service is set: a target with models is an engine.
type Target struct {
	ID          string
	Incarnation uint64
	Models      []string
	Service     string
	Capacity    int
	// External is the known number of requests in flight that other routers
	// admitted. It is zero if one owner admits all requests.
	External int
	// Excess is the number of requests in flight that the target reports in
	// addition to the granted slots, see type Excess. Since reports lag, Excess
	// counts against the load bound but does not raise the mean.
	Excess int
	// Closed is set if the target takes no new work.
	Closed bool
}

// ID identifies a request by the router that received the request from the
// caller, the incarnation of that router, and the number that the router assigned
// to the request.
type ID struct {
	Router      string
	Incarnation uint64
	Number      uint64
}

// Request is a request for a slot at a target.
type Request struct {
	ID       ID
	Customer string
	// Weight is the customer's weight from its contract. Zero counts as one.
	Weight uint32
	// Class is the priority class. Zero is the most urgent.
	Class int
	// Cost is the expected number of prompt and output tokens.
	Cost float64
	// Chat is the key of the chat, or zero if the request belongs to no chat.
	Chat placement.Key
	// Exactly one of Model and Service is set.
	Model   string
	Service string
	// Exclude lists targets that may not be selected, such as targets that
	// already failed this request.
	Exclude []string
	// MaxWait bounds the wait in the queue. A request whose expected wait is
	// longer is refused at once.
	MaxWait time.Duration
	// Hint is the engine to which the requesting router last assigned the chat.
	// Hint is empty if the router knows none.
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
	// CodeNoTarget means that no target that takes work can serve the request.
	CodeNoTarget = "no-target"
	// CodeQueueFull means that the queue was full and the request was shed.
	CodeQueueFull = "queue-full"
	// CodeWaitTooLong means that the expected or the actual wait in the queue
	// exceeds the wait limit of the request.
	CodeWaitTooLong = "wait-too-long"
)

// Result is the decision on one request.
type Result struct {
	ID   ID
	Kind Kind
	// The fields from Target to Waited describe a grant. The grant of a repeated
	// request has only Target and Incarnation. Reason is why the target was
	// selected.
	Target      string
	Incarnation uint64
	Reason      placement.Reason
	// Load is the number of requests in flight at the target, including this
	// request. Limit is the load bound for each target at the time of the
	// decision, and Targets is the number of targets over which the mean load was
	// taken.
	Load    int
	Limit   int
	Targets int
	// PassedOver is the preferred target if that target was full or at the load
	// bound, and PassedOverLoad is the number of requests in flight there.
	// PassedOver is empty if the preferred target was selected.
	PassedOver     string
	PassedOverLoad int
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// Code and RetryAfter are set for refusals.
	Code       string
	RetryAfter time.Duration
}
