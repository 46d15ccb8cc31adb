package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/quarantine"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// fakeGuard holds one part and records the outcomes that it observes.
type fakeGuard struct {
	held     string
	left     time.Duration
	suspect  string
	asked    [][]string
	tracks   bool
	observed []quarantine.Outcome
}

func (g *fakeGuard) TracksRequests() bool { return g.tracks }

func (g *fakeGuard) Admit(parts []string) *quarantine.Hold {
	g.asked = append(g.asked, parts)
	for _, p := range parts {
		if p == g.held {
			return &quarantine.Hold{Part: p, Left: g.left, By: "r7", Crashes: 4}
		}
	}
	return nil
}

func (g *fakeGuard) MayRepeat(parts []string) bool {
	for _, p := range parts {
		if p == g.suspect {
			return false
		}
	}
	return true
}

func (g *fakeGuard) Observe(_ string, _ *pb.TargetStatus, _ []string, _ time.Time, o quarantine.Outcome) {
	g.observed = append(g.observed, o)
}

func prompt(ids ...string) []PromptPart {
	var parts []PromptPart
	for _, id := range ids {
		parts = append(parts, PromptPart{ID: id, Tokens: 1})
	}
	return parts
}

// TestQuarantineRejectsHeldParts checks that a request with a held part is rejected before it
// is sent, that its refusal says that it did not run and when to come back, and that the
// last part, which is the request's own, is not examined.
func TestQuarantineRejectsHeldParts(t *testing.T) {
	for name, c := range map[string]struct {
		prompt     []PromptPart
		left       time.Duration
		rejected   bool
		retryAfter time.Duration
	}{
		"no prompt":         {nil, 0, false, 0},
		"one part":          {prompt("bad"), 0, false, 0},
		"the last part":     {prompt("first", "bad"), 0, false, 0},
		"the first part":    {prompt("bad", "own"), 20 * time.Second, true, 20 * time.Second},
		"a part in between": {prompt("first", "bad", "own"), 0, true, minHeldRetryAfter},
		"other parts":       {prompt("first", "doc", "own"), 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sent := false
			x := &Exchange{Prompt: c.prompt}
			err := (&Quarantine{Guard: &fakeGuard{held: "bad", left: c.left}}).Handle(t.Context(), x, func(context.Context, *Exchange) error {
				sent = true
				return nil
			})
			var r *Rejection
			if rejected := errors.As(err, &r); rejected != c.rejected || sent == c.rejected {
				t.Fatalf("rejected %t, sent %t, want rejected %t: %v", rejected, sent, c.rejected, err)
			}
			if c.rejected && (r.Status != http.StatusServiceUnavailable || r.Outcome() != OutcomeNotRun || r.RetryAfter != c.retryAfter ||
				r.Code != "prompt-held" || !strings.Contains(r.Message, "bad is held") || !strings.Contains(r.Message, "r7 after 4 engines")) {
				t.Errorf("rejection %+v, outcome %s", r, r.Outcome())
			}
		})
	}
}

// TestQuarantineRejectsHeldRequests checks that a request that is held by its fingerprint is
// rejected whether it has a prompt or not, and that no body is hashed without evidence.
func TestQuarantineRejectsHeldRequests(t *testing.T) {
	for _, p := range [][]PromptPart{nil, prompt("own"), prompt("first", "own")} {
		for _, tracks := range []bool{true, false} {
			x := &Exchange{Prompt: p, Body: []byte("body")}
			key := quarantine.RequestKey((&Exchange{Body: []byte("body")}).Fingerprint(), len(p) > 1)
			err := (&Quarantine{Guard: &fakeGuard{held: key, tracks: tracks}}).Handle(t.Context(), x, func(context.Context, *Exchange) error { return nil })
			var r *Rejection
			if rejected := errors.As(err, &r); rejected != tracks || rejected && (r.Code != "request-held" || r.Outcome() != OutcomeNotRun) {
				t.Errorf("prompt %v, evidence %t: %v", p, tracks, err)
			}
			if hashed := x.fingerprint != ""; hashed != tracks {
				t.Errorf("evidence %t: the body was hashed: %t", tracks, hashed)
			}
		}
	}
}

// TestTrialObserves checks which tries count as answered and which as interrupted by a
// target that ended.
func TestTrialObserves(t *testing.T) {
	answered, interrupted := quarantine.Answered, quarantine.Interrupted
	const first, second = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"
	for name, c := range map[string]struct {
		err    error
		status int
		notRun bool
		plain  bool
		framed bool
		body   string
		cut    error
		want   []quarantine.Outcome
	}{
		"cut before the response":          {err: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
		"cut on a kept connection":         {err: fmt.Errorf("%w %w", forward.ErrTruncated, forward.ErrReusedConnection), want: []quarantine.Outcome{interrupted}},
		"no connection":                    {err: forward.ErrDial},
		"silent":                           {err: forward.ErrSilent},
		"the caller left":                  {err: forward.ErrCallerGone},
		"declined":                         {status: 503, notRun: true},
		"failed":                           {status: 500, body: "error"},
		"cut before the first event":       {status: 200, cut: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
		"cut in the first event":           {status: 200, body: first[:9], cut: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
		"cut after the first event":        {status: 200, body: first, cut: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
		"cut after the second event":       {status: 200, body: first + second, cut: forward.ErrTruncated, want: []quarantine.Outcome{answered}},
		"the caller left before an event":  {status: 200, cut: forward.ErrCallerGone},
		"silent after the header":          {status: 200, cut: forward.ErrSilent},
		"one event in all":                 {status: 200, body: first, want: []quarantine.Outcome{answered}},
		"unframed, without an event":       {status: 200, want: []quarantine.Outcome{interrupted}},
		"framed, without an event":         {status: 200, framed: true, want: []quarantine.Outcome{answered}},
		"ends inside an event after lines": {status: 200, framed: true, body: first + "id: 2\n", want: []quarantine.Outcome{interrupted}},
		"ends with a further blank line":   {status: 200, body: first + "\n", want: []quarantine.Outcome{answered}},
		"unframed, ends inside an event":   {status: 200, body: first + second[:4], want: []quarantine.Outcome{interrupted}},
		"no stream, complete":              {status: 200, plain: true, body: "text", want: []quarantine.Outcome{answered}},
		"no stream, cut":                   {status: 200, plain: true, body: "te", cut: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
		"no stream, blank lines, then cut": {status: 200, plain: true, body: "a\n\nb\n\nc", cut: forward.ErrTruncated, want: []quarantine.Outcome{interrupted}},
	} {
		for _, size := range []int{1, 7, 4096} {
			t.Run(fmt.Sprintf("%s/reads of %d", name, size), func(t *testing.T) {
				guard := &fakeGuard{}
				x := &Exchange{Prompt: prompt("first", "own"), Grant: &Grant{Target: &pb.TargetStatus{Id: "t"}}}
				err := (&Trial{Guard: guard}).Handle(t.Context(), x, func(_ context.Context, x *Exchange) error {
					if c.err != nil {
						return errs.Wrap(c.err, StepForward, "t")
					}
					x.Answer = &Answer{Status: c.status, NotRun: c.notRun, Events: !c.plain, Framed: c.framed, Body: &cutBody{data: strings.NewReader(c.body), err: c.cut}}
					return nil
				})
				if !errors.Is(err, c.err) {
					t.Fatalf("error %v, want %v", err, c.err)
				}
				if x.Answer != nil {
					readInSteps(x.Answer.Body, size)
				}
				if fmt.Sprint(guard.observed) != fmt.Sprint(c.want) {
					t.Errorf("observed %v, want %v", guard.observed, c.want)
				}
			})
		}
	}
}

func readInSteps(body io.Reader, size int) {
	buf := make([]byte, size)
	for {
		if _, err := body.Read(buf); err != nil {
			return
		}
	}
}

// TestSuspectedPromptIsNotRepeated guards against a request that crashes one engine after
// the other by itself: once its prompt is suspected, it is not sent to another engine,
// neither as a new try nor as a resumed stream.
func TestSuspectedPromptIsNotRepeated(t *testing.T) {
	for name, first := range map[string]scriptedTarget{
		"before the response":    {err: forward.ErrTruncated},
		"before the first event": {status: 200, cut: forward.ErrTruncated},
	} {
		for suspect, wantTries := range map[string]int{"": 2, "bad": 1} {
			t.Run(fmt.Sprintf("%s/suspect %q", name, suspect), func(t *testing.T) {
				s := &script{t: t, tries: []scriptedTarget{first, {status: 200, events: "id: 1\ndata: x\n\n"}}}
				x := routedExchange(routing.Stream, true)
				x.Prompt = prompt("first", "bad", "own")
				d := &Dispatch{
					Picker:  &numberedPicker{n: 3, outcomes: make(map[string]balance.Outcome)},
					Retries: &fixedRetries{left: 5},
					Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
					Guard:   &fakeGuard{suspect: suspect},
				}
				if err := d.Handle(t.Context(), x, s.next); err == nil {
					_, _ = io.ReadAll(x.Answer.Body)
				}
				if x.Tries != wantTries {
					t.Errorf("%d tries, want %d", x.Tries, wantTries)
				}
			})
		}
	}
}
