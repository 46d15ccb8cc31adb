package filter

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ConfigView is the router's view of the configuration under its lease.
type ConfigView interface {
	// Lease returns the active revision and the end of the lease on the local monotonic
	// clock; ok is false if the lease is not valid now.
	Lease() (revision uint64, until time.Time, ok bool)
	// ContractByKey returns the contract of the bearer key with this SHA-256.
	ContractByKey(sum [32]byte) (*pb.Contract, bool)
	// Intent returns the operators' intent for a target, nil if there is none.
	Intent(target string) *pb.TargetIntent
}

// Ledger commits and resolves the claims of non-idempotent requests.
type Ledger interface {
	// Claim commits c. Its error wraps transport.ErrNotSent or carries a not-leader
	// status only if no claim can have been committed.
	Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error)
	// Resolve ends a claim by recording its outcome. Resolve is idempotent; the result says
	// whether the ledger applied r.
	Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error)
}

// Class is the priority class of a request.
type Class int

// Priority classes, most urgent first. A chat request gets its class from the number of
// tokens that its answer may have: ClassCheck has the shortest answers, ClassNote those
// of medium length and ClassDraft the longest.
const (
	ClassCheck Class = iota
	ClassNote
	ClassDraft
)

// Demand describes a request for placement, limits and admission.
type Demand struct {
	RequestID string
	Contract  *pb.Contract
	Class     Class
	// Chat identifies the chat whose prompt prefix a target may have cached; empty for
	// services.
	Chat string
	// Model or Service is what the request asks for; one of them is set.
	Model   string
	Service string
	// PromptTokens and MaxTokens are estimates from the request.
	PromptTokens int
	MaxTokens    int
	// LengthHint is the caller's estimate of the tokens of the answer; zero if it gave none.
	LengthHint int
}

// Reason explains one decision to operators.
type Reason struct {
	Step   string
	Target string
	Text   string
}

// Grant is the right to send one request to one target.
type Grant struct {
	Target  *pb.TargetStatus
	Reasons []Reason
	// Release returns the grant and reports what the request consumed. It must be
	// called exactly once. In routed chains Release is nil, and the selected target's
	// slot is released instead.
	Release func(Usage)
}

// Usage is what a finished request consumed.
type Usage struct {
	Tokens int
	// Failed is set if the target failed the request.
	Failed bool
	// CacheHit is set if the engine reported that it had the prompt prefix cached.
	CacheHit bool
}

// Refusal is a decision of placement, admission or limits against a request, as an
// error. RetryAfter is when the caller may retry.
type Refusal struct {
	Code       string
	Text       string
	RetryAfter time.Duration
}

// Error returns the refusal's code and text.
func (r *Refusal) Error() string { return r.Code + ": " + r.Text }

// Scheduler selects a target for a request and admits the request to it.
type Scheduler interface {
	// Admit waits in the queue of the request's model or service until the request is
	// admitted or refused or ctx ends. exclude lists the targets that already failed this
	// request.
	Admit(ctx context.Context, d Demand, exclude []string) (*Grant, error)
}

// Limiter enforces the contract's limits across all routers.
type Limiter interface {
	// Take charges the request to its limits and returns a release function, or it
	// returns a *Refusal.
	Take(ctx context.Context, d Demand) (release func(Usage), err error)
}
