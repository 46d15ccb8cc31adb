package filter

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ConfigView is the router's configuration under its lease.
type ConfigView interface {
	// Lease returns the revision in force here and the end of the lease on
	// the local monotonic clock; ok is false if the lease does not hold now.
	Lease() (revision uint64, until time.Time, ok bool)
	// ContractByKey finds the contract of the bearer key with this SHA-256.
	ContractByKey(sum [32]byte) (*pb.Contract, bool)
	// Intent returns the operators' intent for a target, nil if there is none.
	Intent(target string) *pb.TargetIntent
}

// Ledger commits claims of non-idempotent requests.
type Ledger interface {
	// Claim returns an error that wraps transport.ErrNotSent or carries a
	// not-leader status only if no claim can have been committed.
	Claim(ctx context.Context, c *pb.Claim) (*pb.ClaimResult, error)
	Resolve(ctx context.Context, r *pb.Resolve) (*pb.ResolveResult, error)
}

// Class is the priority class of a request.
type Class int

// Priority classes, most urgent first.
const (
	ClassCheck Class = iota
	ClassNote
	ClassDraft
)

// Demand is what placement, limits and admission need to know of a request.
type Demand struct {
	RequestID string
	Contract  *pb.Contract
	Class     Class
	// Chat identifies the chat whose prefix may be held; empty for services.
	Chat string
	// Model or Service names what the request asks for; one of them is set.
	Model   string
	Service string
	// PromptTokens and MaxTokens are estimates from the request.
	PromptTokens int
	MaxTokens    int
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
	// Release gives the right back, with what the request consumed. It must
	// be called exactly once.
	Release func(Usage)
}

// Usage is what a finished request consumed.
type Usage struct {
	Tokens int
	// Failed tells that the target did not answer as it should.
	Failed bool
	// CacheHit tells that the engine reported the prefix as held.
	CacheHit bool
}

// Refusal is a placement, admission or limit decision against a request. It
// is an error; RetryAfter tells the caller when to come back.
type Refusal struct {
	Code       string
	Text       string
	RetryAfter time.Duration
}

// Error returns the refusal's code and text.
func (r *Refusal) Error() string { return r.Code + ": " + r.Text }

// Scheduler places a request and admits it to a target. It waits in the
// target's queue until admitted, refused or ctx ends.
type Scheduler interface {
	// Admit excludes the targets that already failed this request.
	Admit(ctx context.Context, d Demand, exclude []string) (*Grant, error)
}

// Limiter enforces the contract's limits over all routers.
type Limiter interface {
	// Take returns a release function, or a *Refusal.
	Take(ctx context.Context, d Demand) (release func(Usage), err error)
}
