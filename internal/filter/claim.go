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

// Limits of claimed requests.
const (
	maxKeyBytes = 255
	// MaxClaimed bounds the claimed requests that one router has in flight.
	MaxClaimed = 1024
	// ClaimTimeout bounds the call that commits one claim.
	ClaimTimeout = 5 * time.Second
	// MaxClaimedTotal bounds a claimed request from its claim to its answer. It is
	// shorter than the time after which the ledger marks an open claim as unknown.
	MaxClaimedTotal = 10 * time.Minute
	// inProgressRetryAfter is the Retry-After for callers whose request continues: by
	// then a resend is likely to find the stored answer.
	inProgressRetryAfter = time.Second
)

// Claim commits a claim (an idempotency record) in the ledger before a non-idempotent
// request with a key is sent. It replays the stored answer if the request with this key
// has already run.
type Claim struct {
	Ledger Ledger
	// Router and Incarnation identify this router as the claimant.
	Router      string
	Incarnation uint64
	// TotalTimeout returns the time limit of a claimed request from its claim to its
	// answer. Longer limits than MaxClaimedTotal are cut to it; a nil function means
	// MaxClaimedTotal.
	TotalTimeout func(d Demand) time.Duration
	// OnDetachedEnd is called with an exchange that ended after its caller left, and
	// with the chain's error. It must end the exchange. If it is nil, Claim ends the
	// exchange.
	OnDetachedEnd func(x *Exchange, err error)

	attempts atomic.Uint64
	inFlight atomic.Int64
	wg       sync.WaitGroup
}

// Name returns the filter's name in specs.
func (*Claim) Name() string { return StepClaim }

// Wait returns once no claimed request is in progress, not even in the background, and
// this router is not resolving any claim, that is, recording its outcome in the ledger.
func (c *Claim) Wait() { c.wg.Wait() }

// Handle claims non-idempotent requests with a key and passes on all others.
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
			Message:    "this router has reached its bound of claimed requests in flight",
			Step:       StepClaim,
			RetryAfter: defaultRetryAfter,
		})
	}
	return c.runDetached(ctx, x, next)
}

// claimAndRun claims x and sends it if the claim is granted. The slot that acquire took
// is released at once if there is no claim to resolve. Otherwise resolve releases the
// slot in the background, once the ledger has replied or resolveTimeout has passed.
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

// acquire takes one of the MaxClaimed slots and reports whether one was free; release
// returns it.
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

// totalTimeout returns the time limit of a claimed request. The limit does not depend on
// the caller's deadline.
func (c *Claim) totalTimeout(d Demand) time.Duration {
	if c.TotalTimeout == nil {
		return MaxClaimedTotal
	}
	return min(c.TotalTimeout(d), MaxClaimedTotal)
}

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

// digest returns SHA-256 over method, service, path with query, and body.
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

// commit sends the claim to the ledger.
func (c *Claim) commit(ctx context.Context, claim *pb.Claim) (*pb.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, ClaimTimeout)
	defer cancel()
	return c.Ledger.Claim(ctx, claim)
}

// releaseUncertain handles an error of commit. If the claim may be committed although
// the ledger's reply was lost, releaseUncertain starts to release the claim in the
// background, which also releases the slot of acquire, and returns true. If the claim
// can't be committed, releaseUncertain does nothing and returns false.
func (c *Claim) releaseUncertain(claim *pb.Claim, err error) bool {
	if errors.Is(err, transport.ErrNotSent) || transport.Status(err) == pb.CallStatus_CALL_STATUS_NOT_LEADER {
		return false
	}
	c.resolve(claim, pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED, nil)
	return true
}

// rejectUnclaimed rejects a request whose claim failed; the request was not sent.
func rejectUnclaimed(x *Exchange, err error) *Rejection {
	return x.Reject(Rejection{
		Code:       "no-claim",
		Message:    "the claim could not be committed: " + err.Error(),
		Step:       StepClaim,
		RetryAfter: defaultRetryAfter,
	})
}

// answerResend answers a resend from the ledger's record of its key.
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
			Message:    "the ledger is full and accepts no new claims",
			Step:       StepClaim,
			RetryAfter: defaultRetryAfter,
		})
	}
}
