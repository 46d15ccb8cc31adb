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
	// storeWait is how long the answer waits for being stored; the store goes
	// on after it.
	storeWait = 2 * time.Second
	// resolveTotal bounds all tries to end one claim, resolveTry each of them.
	resolveTotal = time.Minute
	resolveTry   = 5 * time.Second
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
		c.settle(x, claim, outcome, nil)
		return err
	}
	a := x.Answer
	body, err := io.ReadAll(io.LimitReader(a.Body, maxBuffered))
	if err != nil {
		a.Body.Close()
		x.Answer = nil
		c.settle(x, claim, pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN, nil)
		return failed(ctx, x, err)
	}
	whole := len(body) < maxBuffered
	c.settle(x, claim, pb.ClaimOutcome_CLAIM_OUTCOME_DONE, stored(a, body, whole))
	if whole {
		a.Body.Close()
		a.Length = lengthOf(x, a, len(body))
		a.Body = io.NopCloser(bytes.NewReader(body))
		return nil
	}
	a.Body = &rejoined{head: body, body: a.Body}
	return nil
}

// lengthOf keeps the declared length where there is no body to count.
func lengthOf(x *Exchange, a *Answer, n int) int64 {
	if x.Method == http.MethodHead {
		return a.Length
	}
	return int64(n)
}

// settle ends the claim and waits a while for the ledger's answer.
func (c *Claim) settle(x *Exchange, claim *pb.Claim, outcome pb.ClaimOutcome, answer *pb.StoredAnswer) {
	done := c.resolve(claim, outcome, answer)
	timer := time.NewTimer(storeWait)
	defer timer.Stop()
	select {
	case applied := <-done:
		if !applied {
			x.Note(StepClaim, "", "the ledger did not take "+outcome.String())
		}
	case <-timer.C:
		x.Note(StepClaim, "", "ending the claim goes on in the background")
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
		defer c.leave()
		done <- c.retryResolve(r)
	}()
	return done
}

// retryResolve repeats an idempotent resolve until the ledger answers.
func (c *Claim) retryResolve(r *pb.Resolve) bool {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTotal)
	defer cancel()
	for {
		try, stop := context.WithTimeout(ctx, resolveTry)
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
