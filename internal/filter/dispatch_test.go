package filter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// numberedPicker selects the first of the targets t0, t1 and so on that is not
// excluded.
type numberedPicker struct {
	n        int
	outcomes map[string]balance.Outcome
}

func (p *numberedPicker) Pick(_ context.Context, r balance.Request) (balance.Choice, error) {
	for i := range p.n {
		id := fmt.Sprint("t", i)
		excluded := false
		for _, e := range r.Exclude {
			excluded = excluded || e == id
		}
		if !excluded {
			return balance.Choice{
				Target:       &pb.TargetStatus{Id: id},
				Alternatives: p.n - len(r.Exclude) - 1,
				Done:         func(o balance.Outcome) { p.outcomes[id] = o },
			}, nil
		}
	}
	return balance.Choice{}, balance.ErrNoTarget
}

// limitedPicker selects targets a number of times, after which all targets are full.
type limitedPicker struct {
	Picker
	left int
}

func (p *limitedPicker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	if p.left == 0 {
		return balance.Choice{}, balance.ErrFull
	}
	p.left--
	return p.Picker.Pick(ctx, r)
}

// fixedRetries allows a fixed number of repeated sends.
type fixedRetries struct{ left int }

func (s *fixedRetries) RecordRequest(string) {}
func (s *fixedRetries) ReturnRetry(string)   { s.left++ }
func (s *fixedRetries) AllowRetry(string) balance.RetryDecision {
	s.left--
	return balance.RetryDecision{Allowed: s.left >= 0}
}

// scriptedTarget is the response to one try.
type scriptedTarget struct {
	// notSent makes the try fail before a byte leaves.
	notSent bool
	err     error
	status  int
	notRun  bool
	events  string
	length  int64
	cut     error
}

// script returns the responses to the tries in order. Like the forward filter, it
// asserts the invariant of the chain.
type script struct {
	t     *testing.T
	tries []scriptedTarget
	// lastEvents lists the event id after which each try was to resume.
	lastEvents []string
}

func (s *script) next(_ context.Context, x *Exchange) error {
	if err := checkDispatch(x); err != nil {
		s.t.Errorf("dispatch: %v", err)
	}
	if len(s.tries) == 0 {
		s.t.Fatal("dispatch made more tries than expected")
	}
	try := s.tries[0]
	s.tries = s.tries[1:]
	s.lastEvents = append(s.lastEvents, x.LastEvent)
	if !try.notSent {
		x.Token.Spend()
	}
	if try.err != nil {
		return errs.Wrap(try.err, "forward", x.Grant.Target.Id)
	}
	x.Answer = &Answer{
		Status: try.status,
		Header: http.Header{"Content-Type": {"text/event-stream"}},
		NotRun: try.notRun,
		Length: try.length,
		Body:   &cutBody{data: strings.NewReader(try.events), err: try.cut},
	}
	return nil
}

// cutBody ends with err instead of io.EOF if err is set.
type cutBody struct {
	data io.Reader
	err  error
}

func (c *cutBody) Read(p []byte) (int, error) {
	n, err := c.data.Read(p)
	if errors.Is(err, io.EOF) && c.err != nil {
		err = c.err
	}
	return n, err
}

func (c *cutBody) Close() error { return nil }

func routedExchange(kind routing.Kind, resumable bool) *Exchange {
	r := &routing.Route{Name: "r", Kind: kind, Resumable: resumable, MaxTargets: 2, Timeout: time.Second, Goal: 100 * time.Millisecond}
	if !r.Repeatable() {
		r.MaxTargets = 1
	}
	x := &Exchange{
		ID:       "x",
		Received: time.Now(),
		Route:    r,
		Index:    routing.NewIndex(&routing.Table{}),
		Stream:   kind == routing.Stream,
		Deadline: time.Now().Add(time.Second),
	}
	x.Idempotent = r.Repeatable()
	x.Demand.Service = "s"
	return x
}

var (
	errCutHere = fmt.Errorf("%w: reset", forward.ErrTruncated)
	errNoConn  = fmt.Errorf("%w: refused", forward.ErrDial)
)

func TestDispatchTries(t *testing.T) {
	ok := scriptedTarget{status: http.StatusOK}
	refused := scriptedTarget{notSent: true, err: errNoConn}
	declined := scriptedTarget{status: http.StatusServiceUnavailable, notRun: true}
	cut := scriptedTarget{err: errCutHere}
	failed := scriptedTarget{status: http.StatusInternalServerError}
	for name, c := range map[string]struct {
		kind    routing.Kind
		targets int
		allowed int
		tries   []scriptedTarget
		status  int
		outcome Outcome
	}{
		"first answers":                         {routing.NonIdempotent, 3, 0, []scriptedTarget{ok}, 200, ""},
		"refused connections need no allowance": {routing.NonIdempotent, 3, 0, []scriptedTarget{refused, refused, ok}, 200, ""},
		"a declined request goes elsewhere":     {routing.NonIdempotent, 3, 1, []scriptedTarget{declined, ok}, 200, ""},
		"declined, no allowance":                {routing.NonIdempotent, 3, 0, []scriptedTarget{declined}, 503, OutcomeNotRun},
		"all declined":                          {routing.NonIdempotent, 2, 9, []scriptedTarget{declined, declined}, 503, OutcomeNotRun},
		"cut, not repeatable":                   {routing.NonIdempotent, 3, 9, []scriptedTarget{cut}, 502, OutcomeUnknown},
		"cut, repeatable":                       {routing.Idempotent, 3, 9, []scriptedTarget{cut, ok}, 200, ""},
		"cut twice":                             {routing.Idempotent, 3, 9, []scriptedTarget{cut, cut}, 502, OutcomeUnknown},
		"cut, then declined":                    {routing.Idempotent, 2, 9, []scriptedTarget{cut, declined}, 502, OutcomeUnknown},
		"cut, no allowance":                     {routing.Idempotent, 3, 0, []scriptedTarget{cut}, 502, OutcomeUnknown},
		"a failure is passed on":                {routing.NonIdempotent, 3, 9, []scriptedTarget{failed}, 500, ""},
		"a failure is tried elsewhere":          {routing.Idempotent, 3, 9, []scriptedTarget{failed, ok}, 200, ""},
		"the last failure is passed on":         {routing.Idempotent, 3, 9, []scriptedTarget{failed, failed}, 500, ""},
		"no target":                             {routing.Idempotent, 0, 9, nil, 503, OutcomeNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			x := routedExchange(c.kind, false)
			s := &script{t: t, tries: c.tries}
			d := &Dispatch{
				Guard:   &fakeGuard{},
				Picker:  &numberedPicker{n: c.targets, outcomes: make(map[string]balance.Outcome)},
				Retries: &fixedRetries{left: c.allowed},
				Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
				Warmup:  NewWarmup(time.Time{}),
			}
			err := d.Handle(t.Context(), x, s.next)
			if len(s.tries) > 0 {
				t.Errorf("%d tries were not made", len(s.tries))
			}
			for _, try := range c.tries {
				if !try.notSent && !try.notRun && !x.Token.Spent() {
					t.Error("a byte reached a target that may have run the request, and the token is not spent")
				}
			}
			var r *Rejection
			switch {
			case errors.As(err, &r):
				if r.Status != c.status || r.Outcome() != c.outcome {
					t.Errorf("rejected with %d, %s, want %d, %s", r.Status, r.Outcome(), c.status, c.outcome)
				}
			case err != nil:
				t.Errorf("error %v", err)
			case x.Answer.Status != c.status || c.outcome != "":
				t.Errorf("answered with %d, want %d %s", x.Answer.Status, c.status, c.outcome)
			}
		})
	}
}

// TestBusyRefusalsAreTrue checks the rejection if all targets turn out to be full after
// some tries: its outcome is not-run only if no target may have run the request.
func TestBusyRefusalsAreTrue(t *testing.T) {
	declined := scriptedTarget{status: http.StatusServiceUnavailable, notRun: true}
	for name, c := range map[string]struct {
		tries   []scriptedTarget
		status  int
		outcome Outcome
		code    string
	}{
		"at once":                    {nil, 503, OutcomeNotRun, "busy"},
		"declined":                   {[]scriptedTarget{declined}, 503, OutcomeNotRun, "busy"},
		"not connected":              {[]scriptedTarget{{notSent: true, err: errNoConn}}, 503, OutcomeNotRun, "busy"},
		"cut":                        {[]scriptedTarget{{err: errCutHere}}, 502, OutcomeUnknown, "target-failed"},
		"failed, with a long answer": {[]scriptedTarget{{status: http.StatusInternalServerError, length: maxFailureBytes + 1}}, 502, OutcomeUnknown, "target-failed"},
	} {
		t.Run(name, func(t *testing.T) {
			s := &script{t: t, tries: c.tries}
			d := newTestDispatch(&limitedPicker{Picker: &numberedPicker{n: 3, outcomes: make(map[string]balance.Outcome)}, left: len(c.tries)})
			var r *Rejection
			err := d.Handle(t.Context(), routedExchange(routing.Idempotent, false), s.next)
			if !errors.As(err, &r) {
				t.Fatalf("error %v, want a rejection", err)
			}
			if r.Status != c.status || r.Outcome() != c.outcome || r.Code != c.code {
				t.Errorf("rejected with %d, %s, %s, want %d, %s, %s", r.Status, r.Outcome(), r.Code, c.status, c.outcome, c.code)
			}
		})
	}
}

// TestFailuresAreGivenUpOnlyForAnswers guards against a target's own failure that is dropped for
// a try that brings no answer: no other target has a place, or all others decline, can't be
// reached or break off. The caller gets the failure then, as its target has sent it.
func TestFailuresAreGivenUpOnlyForAnswers(t *testing.T) {
	failed := scriptedTarget{status: http.StatusInternalServerError, events: "failure of t0"}
	declined := scriptedTarget{status: http.StatusServiceUnavailable, notRun: true, events: "declined"}
	refused := scriptedTarget{notSent: true, err: errNoConn}
	cut := scriptedTarget{err: errCutHere}
	ok := scriptedTarget{status: http.StatusOK, events: "answer"}
	for name, c := range map[string]struct {
		picks, retries int
		tries          []scriptedTarget
		status         int
		body           string
	}{
		"all others are full":               {1, 9, []scriptedTarget{failed}, 500, "failure of t0"},
		"the others decline":                {3, 9, []scriptedTarget{failed, declined, declined}, 500, "failure of t0"},
		"one declines, the others are full": {2, 9, []scriptedTarget{failed, declined}, 500, "failure of t0"},
		"one declines, no retries left":     {3, 1, []scriptedTarget{failed, declined}, 500, "failure of t0"},
		"the others can't be reached":       {3, 9, []scriptedTarget{failed, refused, refused}, 500, "failure of t0"},
		"the others break off":              {3, 9, []scriptedTarget{failed, cut, cut}, 500, "failure of t0"},
		"the last one fails in another way": {3, 9, []scriptedTarget{failed, cut, {status: http.StatusBadGateway, events: "failure of t2"}}, 502, "failure of t2"},
		"another one answers":               {3, 9, []scriptedTarget{failed, declined, ok}, 200, "answer"},
	} {
		t.Run(name, func(t *testing.T) {
			x := routedExchange(routing.Idempotent, false)
			x.Route.MaxTargets = 3
			s := &script{t: t, tries: c.tries}
			outcomes := make(map[string]balance.Outcome)
			d := &Dispatch{
				Guard:   &fakeGuard{},
				Picker:  &limitedPicker{Picker: &numberedPicker{n: 3, outcomes: outcomes}, left: c.picks},
				Retries: &fixedRetries{left: c.retries},
				Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
				Warmup:  NewWarmup(time.Time{}),
			}
			var bodies []*closingBody
			err := d.Handle(t.Context(), x, func(ctx context.Context, x *Exchange) error {
				err := s.next(ctx, x)
				if err == nil {
					body := &closingBody{ReadCloser: x.Answer.Body}
					bodies = append(bodies, body)
					x.Answer.Body = body
				}
				return err
			})
			if err != nil {
				t.Fatalf("rejected: %v", err)
			}
			body, err := io.ReadAll(x.Answer.Body)
			if x.Answer.Status != c.status || string(body) != c.body || err != nil {
				t.Errorf("answered with %d, %q, %v, want %d, %q", x.Answer.Status, body, err, c.status, c.body)
			}
			if want := x.Grant.Target.Id; c.status == 500 && want != "t0" {
				t.Errorf("the grant names %s, want the target that answered", want)
			}
			if outcomes["t0"] != balance.Failed {
				t.Errorf("outcome %v of the target that failed, want %v", outcomes["t0"], balance.Failed)
			}
			x.Answer.Body.Close()
			x.End()
			for i, body := range bodies {
				if !body.closed {
					t.Errorf("the body of answer %d was not closed", i)
				}
			}
		})
	}
}

// TestSlowFailureIsNotAwaited guards against a retry that waits for the body of the failure
// before it: a target sends the header of a failure and no body.
func TestSlowFailureIsNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		x := routedExchange(routing.Idempotent, false)
		s := &script{t: t, tries: []scriptedTarget{{status: http.StatusInternalServerError}, {status: http.StatusOK, events: "answer"}}}
		d := newTestDispatch(&numberedPicker{n: 2, outcomes: make(map[string]balance.Outcome)})
		err := d.Handle(t.Context(), x, func(ctx context.Context, x *Exchange) error {
			err := s.next(ctx, x)
			if x.Answer.Status == http.StatusInternalServerError {
				x.Answer.Length = 1
				x.Answer.Body, _ = io.Pipe()
			}
			return err
		})
		if err != nil || x.Answer.Status != http.StatusOK || time.Since(began) > failureReadTime {
			t.Errorf("error %v, answer %+v after %v", err, x.Answer, time.Since(began))
		}
	})
}

// closingBody records that it was closed. It can't be read after that.
type closingBody struct {
	io.ReadCloser
	closed bool
}

func (b *closingBody) Read(p []byte) (int, error) {
	if b.closed {
		return 0, errCutHere
	}
	return b.ReadCloser.Read(p)
}

func (b *closingBody) Close() error {
	b.closed = true
	return b.ReadCloser.Close()
}

// TestTimeOverAfterDeclinedTry ends the caller's context during a try that the target
// declines: the tries before it decide whether the outcome is not-run or unknown.
func TestTimeOverAfterDeclinedTry(t *testing.T) {
	declined := scriptedTarget{status: http.StatusServiceUnavailable, notRun: true}
	for name, c := range map[string]struct {
		tries   []scriptedTarget
		outcome Outcome
	}{
		"declined":           {[]scriptedTarget{declined}, OutcomeNotRun},
		"cut, then declined": {[]scriptedTarget{{err: errCutHere}, declined}, OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			s := &script{t: t, tries: c.tries}
			d := newTestDispatch(&numberedPicker{n: 4, outcomes: make(map[string]balance.Outcome)})
			err := d.Handle(ctx, routedExchange(routing.Idempotent, false), func(ctx context.Context, x *Exchange) error {
				if len(s.tries) == 1 {
					leave()
				}
				return s.next(ctx, x)
			})
			var r *Rejection
			if !errors.As(err, &r) || r.Outcome() != c.outcome {
				t.Errorf("ended with %v, want a rejection with %s", err, c.outcome)
			}
		})
	}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// TestCutStreams guards against streams that break off and reach their callers as complete
// ones, and against an exchange that has lost its answer when no target resumes the stream.
func TestCutStreams(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		tries     []scriptedTarget
		want      string
		complete  bool
		resumeAt  string
	}{
		"whole": {true, []scriptedTarget{{status: 200, events: events(1, 5)}}, events(1, 5), true, ""},
		"resumed after the last whole event": {true, []scriptedTarget{
			{status: 200, events: events(1, 3) + "id: 4\nda", cut: errCutHere},
			{status: 200, events: events(4, 6)},
		}, events(1, 6), true, "3"},
		"not resumable": {false, []scriptedTarget{{status: 200, events: events(1, 3) + "id: 4\nda", cut: errCutHere}}, events(1, 3), false, ""},
		"cut before any event": {true, []scriptedTarget{
			{status: 200, cut: errCutHere},
			{status: 200, events: events(1, 4)},
		}, events(1, 4), true, ""},
		"an event is left out": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{status: 200, events: events(5, 6)},
		}, events(1, 3), false, "3"},
		"an event comes again": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{status: 200, events: events(3, 6)},
		}, events(1, 3), false, "3"},
		"the other target fails": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{status: 500},
		}, events(1, 3), false, "3"},
		"all other targets decline": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{status: 503, notRun: true},
			{status: 503, notRun: true},
			{status: 503, notRun: true},
		}, events(1, 3), false, "3"},
		"no other target can be reached": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{notSent: true, err: errNoConn},
			{notSent: true, err: errNoConn},
			{notSent: true, err: errNoConn},
		}, events(1, 3), false, "3"},
		"ends inside an event": {true, []scriptedTarget{
			{status: 200, events: events(1, 3) + "id: 4\nda"},
			{status: 200, events: events(4, 6)},
		}, events(1, 6), true, "3"},
		"ends inside an event, not resumable": {false, []scriptedTarget{{status: 200, events: events(1, 3) + "id: 4\n"}}, events(1, 3), false, ""},
		"ends without framing before any event": {true, []scriptedTarget{
			{status: 200},
			{status: 200, events: events(1, 4)},
		}, events(1, 4), true, ""},
		"resumed, then ends without framing before any event": {true, []scriptedTarget{
			{status: 200, events: events(1, 3), cut: errCutHere},
			{status: 200},
		}, events(1, 3), false, "3"},
		"a blank line after the last event": {true, []scriptedTarget{{status: 200, events: events(1, 3) + "\n"}}, events(1, 3) + "\n", true, ""},
		"cut again": {true, []scriptedTarget{
			{status: 200, events: events(1, 2), cut: errCutHere},
			{status: 200, events: events(3, 4), cut: errCutHere},
		}, events(1, 4), false, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			x := routedExchange(routing.Stream, c.resumable)
			s := &script{t: t, tries: c.tries}
			d := newTestDispatch(&numberedPicker{n: 4, outcomes: make(map[string]balance.Outcome)})
			if err := d.Handle(t.Context(), x, s.next); err != nil {
				t.Fatal(err)
			}
			begun := x.Answer
			got, err := io.ReadAll(begun.Body)
			if x.Answer != begun {
				t.Errorf("the exchange has the answer %v in place of the one that its caller is receiving", x.Answer)
			}
			if string(got) != c.want {
				t.Errorf("events %q, want %q", got, c.want)
			}
			if (err == nil) != c.complete {
				t.Errorf("error %v, want a complete stream: %t", err, c.complete)
			}
			if last := s.lastEvents[len(s.lastEvents)-1]; last != c.resumeAt {
				t.Errorf("resumed after %q, want %q", last, c.resumeAt)
			}
		})
	}
}

// TestOutcomes checks which failed tries count against the target (outlier ejection). A
// caller that leaves early does not count against the target, one that leaves after a
// long wait does.
func TestOutcomes(t *testing.T) {
	goal := 100 * time.Millisecond
	if got := declinedOutcome(http.StatusMisdirectedRequest); got != balance.Unreachable {
		t.Errorf("another target at the address: outcome %v, want balance.Unreachable", got)
	}
	if got := declinedOutcome(http.StatusServiceUnavailable); got != balance.NotRun {
		t.Errorf("a full target: outcome %v", got)
	}
	for name, c := range map[string]struct {
		err    error
		lasted time.Duration
		want   balance.Outcome
	}{
		"a caller left early":     {forward.ErrCallerGone, goal, balance.Abandoned},
		"a caller waited long":    {forward.ErrCallerGone, 4 * goal, balance.Failed},
		"no connection":           {errNoConn, goal, balance.Unreachable},
		"silent":                  {forward.ErrSilent, goal, balance.Unreachable},
		"cut":                     {errCutHere, goal, balance.Failed},
		"a kept connection ended": {fmt.Errorf("%w %w", errCutHere, forward.ErrReusedConnection), goal, balance.Abandoned},
		"another one's answer":    {forward.ErrRequestIDMismatch, goal, balance.Failed},
	} {
		if got := failedTryOutcome(c.err, c.lasted, goal); got != c.want {
			t.Errorf("%s: outcome %v, want %v", name, got, c.want)
		}
	}
}

// tricklingBody sends its events at once, then one piece after each pause, without end.
type tricklingBody struct {
	events *strings.Reader
	piece  string
	pause  time.Duration
}

func (b *tricklingBody) Read(p []byte) (int, error) {
	if n, err := b.events.Read(p); err == nil {
		return n, nil
	}
	time.Sleep(b.pause)
	return copy(p, b.piece), nil
}

func (*tricklingBody) Close() error { return nil }

// TestStalledStreams has a target send bytes but no event. The stream resumes at
// another target after the longest pause that the route allows. A slow but healthy
// stream is not interrupted.
func TestStalledStreams(t *testing.T) {
	const gapGoal = 500 * time.Millisecond
	bound := max(streamSilenceGaps*gapGoal, minStreamSilence)
	for name, c := range map[string]struct {
		piece   string
		pause   time.Duration
		resumed bool
	}{
		"comments":           {": wait\n\n", 100 * time.Millisecond, true},
		"blank lines":        {"\n\n", 100 * time.Millisecond, true},
		"half an event":      {"x", 100 * time.Millisecond, true},
		"slow but in bounds": {"data: x\n\n", bound - time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := routedExchange(routing.Stream, true)
				x.Route.GapGoal = gapGoal
				x.Deadline = time.Now().Add(time.Minute)
				s := &script{t: t, tries: []scriptedTarget{{status: 200}, {status: 200, events: events(3, 4)}}}
				d := newTestDispatch(&numberedPicker{n: 4, outcomes: make(map[string]balance.Outcome)})
				next := func(ctx context.Context, x *Exchange) error {
					first := len(s.lastEvents) == 0
					err := s.next(ctx, x)
					if first {
						x.Answer.Body = &tricklingBody{events: strings.NewReader(events(1, 2)), piece: c.piece, pause: c.pause}
					}
					return err
				}
				if err := d.Handle(t.Context(), x, next); err != nil {
					t.Fatal(err)
				}
				began := time.Now()
				got := readFor(x.Answer.Body, 10*time.Second)
				if resumed := len(s.lastEvents) == 2; resumed != c.resumed {
					t.Fatalf("resumed: %t, want %t; read %q", resumed, c.resumed, got)
				}
				if c.resumed && (!strings.HasSuffix(got, events(3, 4)) || time.Since(began) > bound+c.pause) {
					t.Errorf("read %q after %v", got, time.Since(began))
				}
			})
		})
	}
}

// fullOncePicker is a Picker whose targets are full in the selection with the number full.
type fullOncePicker struct {
	Picker
	calls, full int
}

func (p *fullOncePicker) Pick(ctx context.Context, r balance.Request) (balance.Choice, error) {
	p.calls++
	if p.calls == p.full {
		return balance.Choice{}, balance.ErrFull
	}
	return p.Picker.Pick(ctx, r)
}

// newTestDispatch returns a Dispatch with enough retries for all tests.
func newTestDispatch(p Picker) *Dispatch {
	return &Dispatch{
		Guard:   &fakeGuard{},
		Picker:  p,
		Retries: &fixedRetries{left: 9},
		Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
		Warmup:  NewWarmup(time.Time{}),
	}
}

// readStalled returns what the caller reads in the time d of a stream whose first target sends two
// events and then only comments.
func (s *script) readStalled(p Picker, maxTargets int, d time.Duration) string {
	x := routedExchange(routing.Stream, true)
	x.Route.MaxTargets = maxTargets
	x.Deadline = time.Now().Add(time.Minute)
	err := newTestDispatch(p).Handle(s.t.Context(), x, func(ctx context.Context, x *Exchange) error {
		first := len(s.lastEvents) == 0
		err := s.next(ctx, x)
		if first {
			x.Answer.Body = &tricklingBody{events: strings.NewReader(events(1, 2)), piece: ": wait\n\n", pause: 100 * time.Millisecond}
		}
		return err
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return readFor(x.Answer.Body, d)
}

// TestRefusedConnectionIsNoRun guards against a target that refuses the connection and is
// counted as one that ran the request: a stream then stays at a target that has stalled for
// good, and a request is rejected although one more run is allowed.
func TestRefusedConnectionIsNoRun(t *testing.T) {
	refused := scriptedTarget{notSent: true, err: errNoConn}
	t.Run("stream", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := &script{t: t, tries: []scriptedTarget{{status: 200}, refused, {status: 200, events: events(3, 4)}}}
			picker := &fullOncePicker{Picker: &numberedPicker{n: 3, outcomes: make(map[string]balance.Outcome)}, full: 3}
			if got := s.readStalled(picker, 2, 10*time.Second); len(s.tries) > 0 || !strings.HasSuffix(got, events(3, 4)) {
				t.Errorf("%d tries were not made; read %q", len(s.tries), got)
			}
		})
	})
	t.Run("lookup", func(t *testing.T) {
		x := routedExchange(routing.Idempotent, false)
		x.Route.MaxTargets = 3
		cut := scriptedTarget{err: errCutHere}
		s := &script{t: t, tries: []scriptedTarget{cut, refused, cut, {status: http.StatusOK}}}
		d := newTestDispatch(&numberedPicker{n: 4, outcomes: make(map[string]balance.Outcome)})
		if err := d.Handle(t.Context(), x, s.next); err != nil {
			t.Errorf("rejected after two of three runs: %v", err)
		}
	})
}

// readFor reads a body until it ends, or for about the given time.
func readFor(body io.Reader, length time.Duration) string {
	var all strings.Builder
	buf := make([]byte, 256)
	for end := time.Now().Add(length); time.Now().Before(end); {
		n, err := body.Read(buf)
		all.Write(buf[:n])
		if err != nil {
			break
		}
	}
	return all.String()
}

// TestEndlessEvent checks that a stream whose bytes never complete an event ends once
// the event exceeds its limit. The limit also bounds the memory of a thousand such
// streams.
func TestEndlessEvent(t *testing.T) {
	const streams, memory = 1000, 96 << 20
	if streams*maxEventBytes > memory {
		t.Errorf("%d streams may hold %d bytes, want %d at most", streams, streams*maxEventBytes, memory)
	}
	x := routedExchange(routing.Stream, false)
	x.Deadline = time.Now().Add(time.Minute)
	work := &dispatch{Dispatch: &Dispatch{}, x: x}
	work.choice.Target = &pb.TargetStatus{Id: "t"}
	read := 0
	stream := newEventStream(t.Context(), work, &Answer{Body: io.NopCloser(endless{&read})})
	if _, err := io.ReadAll(stream); err == nil || read > maxEventBytes+eventReadBytes {
		t.Errorf("%d bytes were read, error %v", read, err)
	}
}

// endless repeats one byte value without end.
type endless struct{ read *int }

func (e endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	*e.read += len(p)
	return len(p), nil
}

// countedRetries allows a number of repeated sends and counts them.
type countedRetries struct{ requests, allowed, left int }

func (c *countedRetries) RecordRequest(string) { c.requests++ }
func (c *countedRetries) ReturnRetry(string)   { c.left++; c.allowed-- }
func (c *countedRetries) AllowRetry(string) balance.RetryDecision {
	if c.left == 0 {
		return balance.RetryDecision{}
	}
	c.left--
	c.allowed++
	return balance.RetryDecision{Allowed: true}
}

// TestEachArrivalBeyondTheFirstIsAllowed guards against sends that the retry limit does not
// count: after declined, failed, lost and cut tries, and when a stream is resumed. Tries that
// reach no target are not counted.
func TestEachArrivalBeyondTheFirstIsAllowed(t *testing.T) {
	kinds := []struct {
		kind      routing.Kind
		resumable bool
	}{{routing.Idempotent, false}, {routing.NonIdempotent, false}, {routing.Stream, false}, {routing.Stream, true}}
	rapid.Check(t, func(rt *rapid.T) {
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		retries := &countedRetries{left: rapid.IntRange(0, 4).Draw(rt, "left")}
		arrivals, event := 0, 0
		d := &Dispatch{
			Guard:   &fakeGuard{},
			Picker:  &numberedPicker{n: 6, outcomes: make(map[string]balance.Outcome)},
			Retries: retries,
			Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
			Warmup:  NewWarmup(time.Time{}),
		}
		x := routedExchange(kind.kind, kind.resumable)
		x.Route.MaxTargets = rapid.IntRange(1, 4).Draw(rt, "targets")
		try := func(_ context.Context, x *Exchange) error {
			how := rapid.SampledFrom([]string{"answers", "declines", "fails", "is cut", "can't be reached", "closed the idle connection", "stops in the stream"}).Draw(rt, "target")
			if how == "can't be reached" {
				return errs.Wrap(errNoConn, "forward", x.Grant.Target.Id)
			}
			arrivals++
			x.Token.Spend()
			x.Answer = &Answer{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Framed: true}
			body := &cutBody{data: strings.NewReader(events(event+1, event+2))}
			x.Answer.Body = body
			switch how {
			case "declines":
				x.Answer.Status, x.Answer.NotRun = http.StatusServiceUnavailable, true
			case "fails":
				x.Answer.Status = http.StatusInternalServerError
			case "is cut":
				return errs.Wrap(errCutHere, "forward", x.Grant.Target.Id)
			case "closed the idle connection":
				return errs.Wrap(fmt.Errorf("%w: %w", errCutHere, forward.ErrReusedConnection), "forward", x.Grant.Target.Id)
			case "stops in the stream":
				body.err = errCutHere
				event += 2
			}
			return nil
		}
		if err := d.Handle(t.Context(), x, try); err == nil {
			_, _ = io.ReadAll(x.Answer.Body)
		}
		if arrivals > 0 && retries.requests != 1 {
			rt.Errorf("the request was counted %d times, want once", retries.requests)
		}
		if arrivals-1 > retries.allowed {
			rt.Errorf("%d arrivals at targets, and only %d were allowed beyond the first", arrivals, retries.allowed)
		}
	})
}
