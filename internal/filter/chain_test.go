package filter

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// withClaimStatus returns a setup whose ledger returns a fixed claim result.
func withClaimStatus(s pb.ClaimStatus, answer *pb.StoredAnswer) func(*fake, *Exchange) {
	return func(f *fake, _ *Exchange) {
		f.claim = func(*pb.Claim) (*pb.ClaimResult, error) {
			return &pb.ClaimResult{Status: s, Answer: answer, RequestId: "earlier"}, nil
		}
	}
}

// withFailingTries returns a setup in which each try ends with err, after a byte left if sent is
// set.
func withFailingTries(err error, sent bool) func(*fake, *Exchange) {
	return func(f *fake, _ *Exchange) {
		f.try = func(x *Exchange) (*Answer, error) {
			if sent {
				x.Token.Spend()
			}
			return nil, err
		}
	}
}

// TestChain checks the status, code, outcome, Retry-After and claim outcome with which
// a request ends after each kind of failure in the chain.
func TestChain(t *testing.T) {
	const run, unknown, notRun = OutcomeRun, OutcomeUnknown, OutcomeNotRun
	long := &pb.StoredAnswer{Status: 201, Truncated: true}
	tests := []struct {
		name          string
		set           func(f *fake, x *Exchange)
		status        int
		code          string
		outcome       Outcome
		retryAfter    bool
		claimOutcomes []pb.ClaimOutcome
	}{
		{name: "answered", status: 200, outcome: run, claimOutcomes: []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_DONE}},
		{"no lease", func(f *fake, _ *Exchange) { f.leaseExpired = true }, 503, "no-lease", notRun, true, nil},
		{"lease ends in the queue", func(f *fake, _ *Exchange) {
			f.admit = func() error { f.leaseExpired = true; return nil }
		}, 503, "no-lease", notRun, true, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED}},
		{"no key", func(_ *fake, x *Exchange) { x.Bearer = "" }, 401, "no-key", notRun, false, nil},
		{"unknown key", func(_ *fake, x *Exchange) { x.Bearer = "z" }, 401, "unknown-key", notRun, false, nil},
		{"deleted contract", func(f *fake, _ *Exchange) { f.contract.Deleted = true }, 401, "unknown-key", notRun, false, nil},
		{"not permitted", func(_ *fake, x *Exchange) { x.Demand.Service = "hr" }, 403, "not-permitted", notRun, false, nil},
		{"unknown model", func(_ *fake, x *Exchange) { x.Demand.Service, x.Demand.Model = "", "z" }, 404, "unknown-model", notRun, false, nil},
		{"service away", func(f *fake, x *Exchange) {
			x.Demand.Service = "away"
			f.targets = nil
		}, 503, "no-target", notRun, true, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED}},
		{"limited", func(f *fake, _ *Exchange) {
			f.take = func() error { return &Refusal{Code: "over-limit", RetryAfter: time.Second} }
		}, 429, "over-limit", notRun, true, nil},
		{"key too long", func(_ *fake, x *Exchange) { x.Key = strings.Repeat("k", 256) }, 400, "key-too-long", notRun, false, nil},
		{"in progress", withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS, nil), 409, "in-progress", unknown, true, nil},
		{"unknown", withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_UNKNOWN, nil), 409, "outcome-unknown", unknown, false, nil},
		{"other digest", withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_DIGEST_MISMATCH, nil), 422, "key-reused", notRun, false, nil},
		{"ledger full", withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_FULL, nil), 503, "ledger-full", notRun, true, nil},
		{"answer too large to store", withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_DONE, long), 409, "answer-not-stored", run, false, nil},
		{"claim not sent", func(f *fake, _ *Exchange) {
			f.claim = func(*pb.Claim) (*pb.ClaimResult, error) { return nil, transport.ErrNotSent }
		}, 503, "no-claim", notRun, true, nil},
		{"claim's answer lost", func(f *fake, _ *Exchange) {
			f.claim = func(*pb.Claim) (*pb.ClaimResult, error) { return nil, errors.New("lost") }
		}, 503, "no-claim", notRun, true, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED}},
		{"no connection", withFailingTries(errDial, false), 503, "no-target", notRun, true, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED}},
		{"cut", withFailingTries(forward.ErrTruncated, true), 502, "target-failed", unknown, false, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}},
		{"silent", withFailingTries(forward.ErrSilent, true), 504, "target-silent", unknown, false, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}},
		{"cut in the body", func(f *fake, _ *Exchange) {
			f.try = func(x *Exchange) (*Answer, error) {
				x.Token.Spend()
				return plainAnswer("ans", forward.ErrTruncated), nil
			}
		}, 502, "target-failed", unknown, false, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}},
		{"end not marked", func(f *fake, _ *Exchange) {
			f.try = func(x *Exchange) (*Answer, error) {
				x.Token.Spend()
				a := plainAnswer("ans", nil)
				a.Framed, a.Length = false, -1
				return a, nil
			}
		}, 502, "target-failed", unknown, false, []pb.ClaimOutcome{pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f, x := newFake(), keyedRequest()
			if test.set != nil {
				test.set(f, x)
			}
			chain, claim := f.chain(t)
			err := chain.Run(context.Background(), x)
			x.End()
			claim.Wait()
			if f.limitsTaken != f.limitsReleased || f.admitted != f.released {
				t.Errorf("limits: %d taken, %d released; grants: %d admitted, %d released", f.limitsTaken, f.limitsReleased, f.admitted, f.released)
			}
			if len(f.resolvedAs) != len(test.claimOutcomes) || len(test.claimOutcomes) > 0 && f.resolvedAs[0] != test.claimOutcomes[0] {
				t.Errorf("claim resolved as %v", f.resolvedAs)
			}
			if err == nil {
				body, readErr := io.ReadAll(x.Answer.Body)
				if test.status != 200 || string(body) != "answer" || readErr != nil {
					t.Errorf("answered %q, %v", body, readErr)
				}
				return
			}
			var r *Rejection
			if !errors.As(err, &r) {
				t.Fatal(err)
			}
			if r.Status != test.status || r.Code != test.code || r.Outcome() != test.outcome || (r.RetryAfter > 0) != test.retryAfter {
				t.Errorf("status %d, code %s, outcome %s, Retry-After %v: %v", r.Status, r.Code, r.Outcome(), r.RetryAfter, r)
			}
			if test.code == "no-lease" && len(r.Entries) != 1 {
				t.Error("the rejection names no entry address of another router")
			}
		})
	}
}

// TestReplay checks that a stored answer is returned unchanged and that no target is
// called.
func TestReplay(t *testing.T) {
	a := plainAnswer("answer", nil)
	a.Status = 201
	a.Header.Set("X-Number", "4")
	f, x := newFake(), keyedRequest()
	withClaimStatus(pb.ClaimStatus_CLAIM_STATUS_DONE, storedAnswer(a, []byte("answer"), true))(f, x)
	chain, _ := f.chain(t)
	if err := chain.Run(context.Background(), x); err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(x.Answer.Body)
	if got := x.Answer; string(body) != "answer" || got.Status != 201 || got.Header.Get("X-Number") != "4" || !got.Replayed {
		t.Errorf("%q %+v", body, got)
	}
	if f.admitted != 0 {
		t.Error("a resend reached a target")
	}
}

// TestBudget checks that the budget bounds retries to their share of requests plus the
// burst, and grants that share.
func TestBudget(t *testing.T) {
	const requests, burst = 1000, 5
	b := NewRetryBudget(0.1, burst)
	retries := 0
	for range requests {
		b.RecordRequest()
		for b.AllowRetry() {
			retries++
		}
	}
	if most := requests/10 + burst; retries > most || retries < requests/10-1 {
		t.Errorf("%d retries of %d requests", retries, requests)
	}
}

// TestRetryShare checks that retries stay within their share of requests if every try
// fails.
func TestRetryShare(t *testing.T) {
	const requests = 300
	f, tries := newFake(), 0
	f.try = func(x *Exchange) (*Answer, error) {
		tries++
		x.Token.Spend()
		return nil, forward.ErrTruncated
	}
	chain, _ := f.chain(t)
	for range requests {
		x := keyedRequest()
		x.Idempotent = true
		if chain.Run(context.Background(), x) == nil {
			t.Fatal("answered")
		}
		x.End()
	}
	if most := requests + requests*RetryShare + RetryBurst; float64(tries) > most || tries < requests+RetryBurst {
		t.Errorf("%d tries of %d requests", tries, requests)
	}
}

// TestEndMark checks which streams count as complete.
func TestEndMark(t *testing.T) {
	for stream, whole := range map[string]bool{
		"data: {}\n\ndata: [DONE]\n\n": true, "data:[DONE]\r\n\r\n": true, "data: [DONE]": true,
		"": false, "data: {}\n\n": false, "data: [DONE": false, "data: \"data: [DONE]\"\n": false,
	} {
		for _, end := range []error{nil, forward.ErrSilent} {
			d := &doneBody{body: plainAnswer(stream, end).Body}
			if got, err := io.ReadAll(d); string(got) != stream || (err == nil) != whole {
				t.Errorf("%q then %v: %q, %v", stream, end, got, err)
			}
		}
	}
}

// TestBusyTarget checks that a 503 response is replaced by that of another target at
// the cost of one retry of the budget. If the budget is empty, the caller gets the 503.
func TestBusyTarget(t *testing.T) {
	for burst, want := range map[float64]int{0: 503, 1: 200} {
		f, x := newFake(), keyedRequest()
		x.Idempotent = true
		s := &Schedule{Scheduler: f, Lease: &Lease{Config: f}, Budget: NewRetryBudget(0, burst)}
		err := s.Handle(context.Background(), x, func(context.Context, *Exchange) error {
			x.Answer = plainAnswer("answer", nil)
			if x.Tries == 1 {
				x.Answer.Status = 503
			}
			return nil
		})
		if err != nil || x.Answer.Status != want {
			t.Errorf("burst %v: %v, %+v", burst, err, x.Answer)
		}
	}
}
