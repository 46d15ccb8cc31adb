package filter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Limits of storing a claimed request's answer.
const (
	// maxBuffered is how much of the answer is read before any of it goes to the
	// caller.
	maxBuffered = 64 << 10
	// storeWaitLimit is how long the answer is held back until the ledger has stored
	// it; after that, storing continues in the background.
	storeWaitLimit = 2 * time.Second
	// resolveTimeout bounds all tries to resolve one claim, resolveTryTimeout each of
	// them.
	resolveTimeout    = time.Minute
	resolveTryTimeout = 5 * time.Second
	// resolvePause is the time between two tries.
	resolvePause = 200 * time.Millisecond
)

// run sends a claimed request and resolves its claim. If the full answer, or its first
// maxBuffered bytes, could be read, the claim is resolved as done. If the request
// failed and no byte of it was sent, the claim is released. Otherwise the outcome is
// unknown.
func (c *Claim) run(ctx context.Context, x *Exchange, claim *pb.Claim, next Next) error {
	err := next(ctx, x)
	if err != nil {
		outcome := pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED
		if x.Token.Spent() {
			outcome = pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
		}
		c.resolveAndWait(x, claim, outcome, nil)
		return err
	}
	a := x.Answer
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		a.Body.Close()
		x.Answer = nil
		c.resolveAndWait(x, claim, pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, nil)
		return rejectFailed(ctx, x, err)
	}
	complete := len(body) < maxBuffered
	c.resolveAndWait(x, claim, pb.ClaimOutcome_CLAIM_OUTCOME_DONE, storedAnswer(a, body, complete))
	if complete {
		a.Body.Close()
		a.Length = answerLength(x, a, len(body))
		a.Body = io.NopCloser(bytes.NewReader(body))
		return nil
	}
	a.Body = &prefixedBody{prefix: body, body: a.Body}
	return nil
}

// answerLength returns n, the size of the body, or the declared length for a HEAD
// request, whose answer has no body.
func answerLength(x *Exchange, a *Answer, n int) int64 {
	if x.Method == http.MethodHead {
		return a.Length
	}
	return int64(n)
}

// resolveAndWait resolves the claim and waits up to storeWaitLimit for the ledger's
// reply.
func (c *Claim) resolveAndWait(x *Exchange, claim *pb.Claim, outcome pb.ClaimOutcome, answer *pb.StoredAnswer) {
	done := c.resolve(claim, outcome, answer)
	timer := time.NewTimer(storeWaitLimit)
	defer timer.Stop()
	select {
	case applied := <-done:
		if !applied {
			x.AddReason(StepClaim, "", "the ledger did not apply "+outcome.String())
		}
	case <-timer.C:
		x.AddReason(StepClaim, "", "resolving the claim continues in the background")
	}
}

// resolve resolves the claim in the background and then releases the slot of acquire.
// The channel receives whether the ledger applied the outcome.
func (c *Claim) resolve(claim *pb.Claim, outcome pb.ClaimOutcome, answer *pb.StoredAnswer) <-chan bool {
	done := make(chan bool, 1)
	r := &pb.Resolve{
		Customer:          claim.GetCustomer(),
		Key:               claim.GetKey(),
		Router:            claim.GetRouter(),
		RouterIncarnation: claim.GetRouterIncarnation(),
		Attempt:           claim.GetAttempt(),
		Outcome:           outcome,
		Answer:            answer,
	}
	go func() {
		defer c.release()
		done <- c.retryResolve(r)
	}()
	return done
}

// retryResolve sends r, which is idempotent, until the ledger replies or resolveTimeout
// has passed. It reports whether the ledger applied r.
func (c *Claim) retryResolve(r *pb.Resolve) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	for {
		try, stop := context.WithTimeout(ctx, resolveTryTimeout)
		result, err := c.Ledger.Resolve(try, r)
		stop()
		if err == nil {
			return result.GetApplied()
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(resolvePause):
		}
	}
}
