package filter

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// Bounds of claimed requests.
const (
	maxKeyBytes = 255
	// MaxClaimed bounds the claimed requests of one router at a time.
	MaxClaimed = 1024
	// ClaimTimeout bounds one claim.
	ClaimTimeout = 5 * time.Second
	// MaxClaimedTotal bounds a claimed request from its claim to its answer. It
	// is shorter than the ledger waits before it calls an open claim unknown.
	MaxClaimedTotal = 10 * time.Minute
	// inProgressRetryAfter is when a resend may find the answer.
	inProgressRetryAfter = time.Second
)

// Claim commits a claim in the ledger before a non-idempotent request with a
// key goes on, and replays the stored answer of one that was run.
type Claim struct {
	Ledger Ledger
	// Router and Incarnation name the claimant.
	Router      string
	Incarnation uint64
	// TotalTimeout bounds a claimed request of this demand; nil means MaxClaimedTotal.
	TotalTimeout func(d Demand) time.Duration
	// OnDetachedEnd takes an exchange that ended after its caller's end, with the
	// chain's error. It must end the exchange.
	OnDetachedEnd func(x *Exchange, err error)

	attempts atomic.Uint64
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// Name returns the filter's name in specs.
func (*Claim) Name() string { return StepClaim }

// Wait returns once no claim of this router is open.
func (c *Claim) Wait() { c.wg.Wait() }

// Handle claims non-idempotent requests with a key; others pass.
func (c *Claim) Handle(ctx context.Context, x *Exchange, next Next) error {
	if x.Idempotent || x.Key == "" {
		return next(ctx, x)
	}
	if len(x.Key) > maxKeyBytes {
		return x.Reject(Rejection{
			Status:  http.StatusBadRequest,
			Code:    "key-too-long",
			Message: "the Idempotency-Key is longer than 255 bytes",
			Step:    StepClaim,
		})
	}
	if !c.acquire() {
		return x.Reject(Rejection{
			Code:       "claims-full",
			Message:    "this router holds as many claimed requests as it may",
			Step:       StepClaim,
			RetryAfter: defaultRetryAfter,
		})
	}
	return c.runDetached(ctx, x, next)
}

// claimAndRun claims x and sends it if the claim is granted. It gives back the
// count of enter, at the latest when the claim has ended.
func (c *Claim) claimAndRun(ctx context.Context, x *Exchange, next Next) error {
	claim := c.newClaim(x)
	result, err := c.commit(ctx, claim)
	if err != nil {
		if !c.releaseUncertain(claim, err) {
			c.release()
		}
		return rejectUnclaimed(x, err)
	}
	if result.GetStatus() != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
		c.release()
		return c.answerResend(x, result)
	}
	x.claimed = true
	x.AddReason(StepClaim, "", "claim committed")
	return c.run(ctx, x, claim, next)
}

// acquire counts a claimed request in, leave counts it out.
func (c *Claim) acquire() bool {
	if c.inFlight.Add(1) > MaxClaimed {
		c.inFlight.Add(-1)
		return false
	}
	c.wg.Add(1)
	return true
}

func (c *Claim) release() {
	c.inFlight.Add(-1)
	c.wg.Done()
}

// totalTimeout bounds the claimed request, whatever its caller's patience.
func (c *Claim) totalTimeout(d Demand) time.Duration {
	if c.TotalTimeout == nil {
		return MaxClaimedTotal
	}
	return min(c.TotalTimeout(d), MaxClaimedTotal)
}

// newClaim makes the claim of x.
func (c *Claim) newClaim(x *Exchange) *pb.Claim {
	return &pb.Claim{
		Customer:          x.Demand.Contract.GetCustomer(),
		Key:               x.Key,
		Digest:            digest(x),
		Router:            c.Router,
		RouterIncarnation: c.Incarnation,
		Attempt:           c.attempts.Add(1),
		RequestId:         x.ID,
	}
}

// digest is SHA-256 over method, path with query, and body.
func digest(x *Exchange) []byte {
	h := sha256.New()
	h.Write([]byte(x.Method))
	h.Write([]byte{0})
	h.Write([]byte(x.Demand.Service))
	h.Write([]byte{0})
	h.Write([]byte(x.URI))
	h.Write([]byte{0})
	h.Write(x.Body)
	return h.Sum(nil)
}

// commit asks the ledger.
func (c *Claim) commit(ctx context.Context, claim *pb.Claim) (*pb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	return c.Ledger.Claim(ctx, claim)
}

// releaseUncertain releases a claim that may be committed although the ledger's answer
// was lost. It tells whether the release took over the count.
func (c *Claim) releaseUncertain(claim *pb.Claim, err error) bool {
	if errors.Is(err, transport.ErrNotSent) || transport.Status(err) == pb.CallStatus_CALL_STATUS_NOT_LEADER {
		return false
	}
	c.resolve(claim, pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED, nil)
	return true
}

// rejectUnclaimed rejects a request whose claim failed; it was not sent.
func rejectUnclaimed(x *Exchange, err error) *Rejection {
	return x.Reject(Rejection{
		Code:       "no-claim",
		Message:    "the claim could not be committed: " + err.Error(),
		Step:       StepClaim,
		RetryAfter: defaultRetryAfter,
	})
}

// answerResend answers a resend from what the ledger holds under its key.
func (c *Claim) answerResend(x *Exchange, result *pb.ClaimResult) error {
	x.AddReason(StepClaim, "", result.GetStatus().String()+" by request "+result.GetRequestId())
	switch result.GetStatus() {
	case pb.ClaimStatus_CLAIM_STATUS_DONE:
		return replay(x, result)
	case pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS:
		return WithLedgerOutcome(Rejection{
			Status:     http.StatusConflict,
			Code:       "in-progress",
			Message:    "a request with this Idempotency-Key is in progress",
			Step:       StepClaim,
			RetryAfter: inProgressRetryAfter,
		}, false)
	case pb.ClaimStatus_CLAIM_STATUS_UNKNOWN:
		return WithLedgerOutcome(Rejection{
			Status:  http.StatusConflict,
			Code:    "outcome-unknown",
			Message: "a request with this Idempotency-Key may or may not have run",
			Step:    StepClaim,
		}, false)
	case pb.ClaimStatus_CLAIM_STATUS_DIGEST_MISMATCH:
		return x.Reject(Rejection{
			Status:  http.StatusUnprocessableEntity,
			Code:    "key-reused",
			Message: "this Idempotency-Key was used for another request",
			Step:    StepClaim,
		})
	default:
		return x.Reject(Rejection{
			Code:       "ledger-full",
			Message:    "the ledger takes no more claims now",
			Step:       StepClaim,
			RetryAfter: defaultRetryAfter,
		})
	}
}
