package filter

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/quarantine"
)

// PartGuard withholds requests that crash targets, by themselves or by a part of their
// prompt. quarantine.Guard implements it. The parts of a request are the ids of its shared
// parts and its quarantine.RequestKey.
type PartGuard interface {
	// TracksRequests reports whether there is evidence against any request. If there is
	// none, only Observe needs the keys of requests, and only of interrupted ones.
	TracksRequests() bool
	// Admit returns nil if a request with these parts may be sent, and the hold on one of
	// them otherwise.
	Admit(parts []string) *quarantine.Hold
	// MayRepeat reports whether such a request may be sent to another target after one
	// has failed it.
	MayRepeat(parts []string) bool
	// Observe records the result of a request that was sent to a target at the given time.
	Observe(requestID string, target *pb.TargetStatus, parts []string, sent time.Time, o quarantine.Outcome)
}

// Quarantine rejects requests that are held because they, or a part of their prompt, crash
// targets.
type Quarantine struct {
	Guard PartGuard
}

// minHeldRetryAfter is the minimum Retry-After of a held request.
const minHeldRetryAfter = time.Second

// Name returns the filter's name in specs.
func (*Quarantine) Name() string { return StepQuarantine }

// Handle rejects the request if it or one of its parts is held.
func (q *Quarantine) Handle(ctx context.Context, x *Exchange, next Next) error {
	parts := guardedParts(x, q.Guard)
	if len(parts) == 0 {
		return next(ctx, x)
	}
	if h := q.Guard.Admit(parts); h != nil {
		return x.Reject(Rejection{
			Code:       heldCode(h),
			Message:    h.String(),
			Step:       StepQuarantine,
			RetryAfter: max(h.Left, minHeldRetryAfter),
		})
	}
	return next(ctx, x)
}

// Codes of the rejections of held requests.
const (
	CodeRequestHeld = "request-held"
	CodePromptHeld  = "prompt-held"
)

func heldCode(h *quarantine.Hold) string {
	if h.IsRequest() {
		return CodeRequestHeld
	}
	return CodePromptHeld
}

// guardedParts returns what the guard knows the request by. The key of the request, which
// takes a hash of the body, is left out while the guard needs none.
func guardedParts(x *Exchange, guard PartGuard) []string {
	if guard.TracksRequests() {
		return allParts(x)
	}
	return sharedParts(x.Prompt)
}

// allParts returns the ids of the request's shared parts and its key.
func allParts(x *Exchange) []string {
	parts := sharedParts(x.Prompt)
	return append(parts, quarantine.RequestKey(x.Fingerprint(), len(parts) > 0))
}

// sharedParts returns the ids of the parts that other requests may share: all but the last
// one, which belongs to a single request or session. Ids that look like the key of a request
// are left out.
func sharedParts(prompt []PromptPart) []string {
	if len(prompt) < 2 {
		return nil
	}
	parts := make([]string, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		if !quarantine.IsRequestKey(p.ID) {
			parts = append(parts, p.ID)
		}
	}
	return parts
}
