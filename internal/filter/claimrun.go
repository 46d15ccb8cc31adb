package filter

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Bounds of storing a claimed request's answer.
const (
	// maxBuffered is how much of the answer is read before the caller sees it.
	maxBuffered = 64 << 10
	// storeWaitLimit is how long the answer waits for being stored; the store goes
	// on after it.
	storeWaitLimit = 2 * time.Second
	// resolveTimeout bounds all tries to end one claim, resolveTry each of them.
	resolveTimeout    = time.Minute
	resolveTryTimeout = 5 * time.Second
	// resolvePause is between two tries.
	resolvePause = 200 * time.Millisecond
)

// run sends a claimed request and ends its claim: done with the whole answer,
// released if nothing was sent, unknown otherwise.
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
	whole := len(body) < maxBuffered
	c.resolveAndWait(x, claim, pb.ClaimOutcome_CLAIM_OUTCOME_DONE, storedAnswer(a, body, whole))
	if whole {
		a.Body.Close()
		a.Length = answerLength(x, a, len(body))
		a.Body = io.NopCloser(bytes.NewReader(body))
		return nil
	}
	a.Body = &prefixedBody{prefix: body, body: a.Body}
	return nil
}

// answerLength keeps the declared length where there is no body to count.
func answerLength(x *Exchange, a *Answer, n int) int64 {
	if x.Method == http.MethodHead {
		return a.Length
	}
	return int64(n)
}

// resolveAndWait ends the claim and waits a while for the ledger's answer.
func (c *Claim) resolveAndWait(x *Exchange, claim *pb.Claim, outcome pb.ClaimOutcome, answer *pb.StoredAnswer) {
	done := c.resolve(claim, outcome, answer)
	timer := time.NewTimer(storeWaitLimit)
	defer timer.Stop()
	select {
	case applied := <-done:
		if !applied {
			x.AddReason(StepClaim, "", "the ledger did not take "+outcome.String())
		}
	case <-timer.C:
		x.AddReason(StepClaim, "", "ending the claim goes on in the background")
	}
}

// resolve ends the claim in the background and takes over its count. The
// channel tells whether the ledger took it.
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

// retryResolve repeats an idempotent resolve until the ledger answers.
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
