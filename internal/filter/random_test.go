package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// history is a random run: requests, some of them resends, pass through one chain whose
// dependencies fail at random.
type history struct {
	*fake
	rt *rapid.T
	// decisions holds the random bytes that are not used yet.
	decisions []byte
	held      map[string]*pb.Claim
	ended     map[string]*pb.Resolve
	// runs counts the tries that were sent, by request id, and keys counts them by key.
	runs map[string]int
	keys map[string]int
}

// pick returns a random number below n. Once the decisions are used up, it returns 0
// and nothing fails any more.
func (h *history) pick(n int) int {
	if len(h.decisions) == 0 {
		return 0
	}
	b := h.decisions[0]
	h.decisions = h.decisions[1:]
	return int(b) % n
}

// oneIn returns true in one of n cases.
func (h *history) oneIn(n int) bool { return h.pick(n) == 1 }

// commit is a ledger that fails calls and loses replies at random.
func (h *history) commit(c *pb.Claim) (*pb.ClaimResult, error) {
	if h.oneIn(8) {
		return nil, transport.ErrNotSent
	}
	result := &pb.ClaimResult{Status: pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS}
	switch end := h.ended[c.GetKey()]; {
	case h.held[c.GetKey()] == nil:
		h.held[c.GetKey()] = c
		result.Status = pb.ClaimStatus_CLAIM_STATUS_GRANTED
	case end.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_DONE:
		result.Status, result.Answer = pb.ClaimStatus_CLAIM_STATUS_DONE, end.GetAnswer()
	case end != nil:
		result.Status = pb.ClaimStatus_CLAIM_STATUS_UNKNOWN
	}
	if h.oneIn(8) {
		return nil, errors.New("lost")
	}
	return result, nil
}

func (h *history) applyResolve(r *pb.Resolve) (*pb.ResolveResult, error) {
	if h.oneIn(4) {
		return nil, errors.New("no leader")
	}
	held := h.held[r.GetKey()]
	if held.GetAttempt() != r.GetAttempt() || h.ended[r.GetKey()] != nil {
		return &pb.ResolveResult{}, nil
	}
	if r.GetOutcome() == pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED {
		delete(h.held, r.GetKey())
	} else {
		h.ended[r.GetKey()] = r
	}
	return &pb.ResolveResult{Applied: true}, nil
}

// send is a target that fails at random, before or after the first byte left.
func (h *history) send(x *Exchange) (*Answer, error) {
	time.Sleep(time.Duration(h.pick(4)) * time.Second)
	if h.oneIn(4) {
		return nil, errDial
	}
	x.Token.Spend()
	h.runs[x.ID]++
	h.keys[x.Key]++
	if h.oneIn(4) {
		return nil, sentErrors[h.pick(len(sentErrors))]
	}
	body := answerOf(x.Key, h.keys[x.Key])
	if h.oneIn(4) {
		return plainAnswer(body[:5], forward.ErrTruncated), nil
	}
	a := plainAnswer(body, nil)
	if h.oneIn(4) {
		a.Status = 503
	}
	return a, nil
}

func answerOf(key string, run int) string { return fmt.Sprintf("answer to %s, run %d", key, run) }

// TestRandomHistories runs the chain against random faults. It checks for each request
// that a non-idempotent one runs at most once, that not-run is true, and that the
// answer belongs to the request.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tape := rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(rt, "tape")
		requests := rapid.IntRange(1, 12).Draw(rt, "requests")
		synctest.Test(t, func(t *testing.T) {
			h := &history{fake: newFake(), rt: rt, decisions: tape, held: map[string]*pb.Claim{}, ended: map[string]*pb.Resolve{}, runs: map[string]int{}, keys: map[string]int{}}
			h.take = func() error { return h.refusal("limit") }
			h.admit = func() error { return h.refusal("admit") }
			h.claim, h.resolve, h.try = h.commit, h.applyResolve, h.send
			chain, claim := h.chain(t)
			for i := range requests {
				h.request(t, chain, claim, i)
			}
			if h.limitsTaken != h.limitsReleased || h.admitted != h.released {
				rt.Errorf("limits: %d taken, %d released; grants: %d admitted, %d released", h.limitsTaken, h.limitsReleased, h.admitted, h.released)
			}
		})
	})
}

func (h *history) refusal(what string) error {
	h.leaseExpired = h.oneIn(10)
	if h.oneIn(8) {
		return &Refusal{Code: what, RetryAfter: time.Second}
	}
	return nil
}

// request passes one request through the chain and checks its result.
func (h *history) request(t *testing.T, chain *Chain, claim *Claim, i int) {
	x := keyedRequest()
	x.ID = fmt.Sprint("id-", i)
	x.Key = []string{"", "k1", "k2"}[h.pick(3)]
	x.Idempotent = h.oneIn(3)
	repeatable := x.Idempotent
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	if repeatable {
		x.Key = x.ID
	}
	err := chain.Run(ctx, x)
	// The decisions must be used in one order, also by a request that continues after
	// its caller left.
	claim.Wait()
	var body []byte
	if err == nil {
		body, err = io.ReadAll(x.Answer.Body)
	}
	x.End()
	h.check(x, repeatable, string(body), err)
}

func (h *history) check(x *Exchange, repeatable bool, body string, err error) {
	runs := h.runs[x.ID]
	if !repeatable && (runs > 1 || x.Key != "" && h.keys[x.Key] > 1) {
		h.rt.Errorf("%s: %d runs, %d of key %q", x.ID, runs, h.keys[x.Key], x.Key)
	}
	if runs > maxTries || errors.Is(err, ErrInvariant) {
		h.rt.Errorf("%s: %d runs, %v", x.ID, runs, err)
	}
	var r *Rejection
	if errors.As(err, &r) && r.Outcome() == OutcomeNotRun && runs > 0 {
		h.rt.Errorf("%s says not-run after %d runs: %v", x.ID, runs, r)
	}
	if err == nil && body != answerOf(x.Key, h.keys[x.Key]) {
		h.rt.Errorf("%s got %q", x.ID, body)
	}
}
