package filter

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

const (
	// maxUnsent bounds the targets that one request is offered to without
	// running at any.
	maxUnsent = 4
	// overloadRetryAfter is when a request that found no free target may come
	// back.
	overloadRetryAfter = 300 * time.Millisecond
)

// Picker chooses targets.
type Picker interface {
	Pick(r balance.Request) (balance.Choice, error)
}

// Sends bounds what is sent to targets beyond the first try of each request.
type Sends interface {
	// First counts the first send of a request to a service.
	First(service string)
	// Again tells whether one more send to the service is allowed, and counts it.
	Again(service string) bool
}

// Dispatch sends a request to a target and to others where the request may be
// repeated or has provably not run.
type Dispatch struct {
	Picker Picker
	Sends  Sends
	// Prepare sets the headers for one target on the exchange; holder may hold
	// cached parts of the prompt and may be nil.
	Prepare func(x *Exchange, target, holder *pb.TargetStatus)
	Warmup  Warmup
}

// Name returns the filter's name in specs.
func (*Dispatch) Name() string { return StepDispatch }

// dispatch is the work on one request.
type dispatch struct {
	*Dispatch
	x    *Exchange
	next Next
	// exclude are targets that were tried.
	exclude []string
	// ran counts the targets at which the request may have run.
	ran int
	// unsent counts the tries that provably didn't run.
	unsent int
	sent   bool
	// choice is the target of the present try.
	choice balance.Choice
}

// Handle tries targets until one answers.
func (d *Dispatch) Handle(ctx context.Context, x *Exchange, next Next) error {
	work := &dispatch{Dispatch: d, x: x, next: next}
	if err := work.run(ctx); err != nil {
		return err
	}
	if x.Stream && isEventStream(x.Answer.Header.Get("Content-Type")) {
		x.Answer.Events = true
		x.Answer.Body = newEventStream(ctx, work, x.Answer.Body)
	}
	return nil
}

// run sets the answer of the first target that gives one.
func (d *dispatch) run(ctx context.Context) error {
	for {
		if ctx.Err() != nil {
			return gone(d.x)
		}
		if err := d.pick(); err != nil {
			return err
		}
		err := d.try(ctx)
		if err == nil {
			return nil
		}
		d.x.Note(StepDispatch, d.choice.Target.Id, err.Error())
		if ctx.Err() != nil {
			return gone(d.x)
		}
		if !d.mayTryAgain(err) {
			return d.failed(err)
		}
	}
}

// pick chooses the next target, or rejects the request.
func (d *dispatch) pick() error {
	choice, err := d.Picker.Pick(balance.Request{
		Service: d.x.Demand.Service,
		Key:     PromptKey(d.x.Prompt),
		Slots:   slots(d.x),
		Exclude: d.exclude,
	})
	if err != nil {
		return d.noTarget(err)
	}
	d.choice = choice
	d.exclude = append(d.exclude, choice.Target.Id)
	d.x.Note(StepDispatch, choice.Target.Id, fmt.Sprintf("%s; %d in flight", choice.Why, choice.InFlight))
	return nil
}

// PromptKey stands for the longest part of a prompt that other requests share:
// the last part belongs to one request or session alone.
func PromptKey(parts []PromptPart) string {
	switch n := len(parts); n {
	case 0:
		return ""
	case 1:
		return parts[0].ID
	default:
		return parts[n-2].ID
	}
}

func slots(x *Exchange) int {
	if s := x.Index.Service(x.Demand.Service); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}

// noTarget rejects a request for which there is no target.
func (d *dispatch) noTarget(err error) error {
	if d.ran > 0 {
		return d.unknown("no other target is left")
	}
	return d.x.Reject(Rejection{
		Code:       "no-target",
		Message:    fmt.Sprintf("service %s: %v", d.x.Demand.Service, err),
		Step:       StepDispatch,
		RetryAfter: d.Warmup.retryAfter(),
	})
}

// errNotRun stands for an answer that declares that the request did not run.
var errNotRun = errors.New("the target declined the request without running it")

// errFailed stands for a target's own failure that another target may not have.
var errFailed = errors.New("the target failed the request")

// try sends the request to the chosen target. The place is held to the
// exchange's end if it answers, and given back at once if not.
func (d *dispatch) try(ctx context.Context) error {
	x, c := d.x, d.choice
	if !d.sent {
		d.sent = true
		d.Sends.First(x.Demand.Service)
	}
	x.Grant = &Grant{Target: c.Target}
	x.Others = c.Others
	x.Tries++
	d.Prepare(x, c.Target, c.Holder)
	began := time.Now()
	err := d.next(ctx, x)
	if err != nil {
		if x.Token.Spent() {
			d.ran++
		} else {
			d.unsent++
		}
		c.Done(outcomeOf(err, time.Since(began), x.Route.Goal))
		if errors.Is(err, forward.ErrKept) {
			// The connection may have been closed meanwhile; the target may do
			// well on a new one.
			d.exclude = d.exclude[:len(d.exclude)-1]
		}
		return err
	}
	return d.judge(c)
}

// judge takes an answer, or drops it if another target may do better.
func (d *dispatch) judge(c balance.Choice) error {
	a := d.x.Answer
	switch {
	case a.NotRun:
		d.drop()
		if d.ran == 0 {
			d.x.Token.Restore()
		}
		d.unsent++
		c.Done(declined(a.Status))
		return errs.Wrap(errNotRun, StepDispatch, c.Target.Id)
	case a.Status >= http.StatusInternalServerError && d.repeatable() && c.Others > 0 && d.ran+1 < d.x.Route.MaxTargets && d.again():
		d.drop()
		d.ran++
		c.Done(balance.Broken)
		return errs.Wrap(errFailed, StepDispatch, c.Target.Id)
	}
	d.ran++
	d.x.OnEnd(func(u Usage) { c.Done(endOutcome(a, u)) })
	return nil
}

// declined tells what it says of a target that it did not run a request. Where
// another one answers at its address, the target is gone.
func declined(status int) balance.Outcome {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.Busy
}

// endOutcome tells how a request that was answered went.
func endOutcome(a *Answer, u Usage) balance.Outcome {
	if u.Failed || a.Status >= http.StatusInternalServerError {
		return balance.Broken
	}
	return balance.Served
}

// again asks for one more send within the shared bound.
func (d *dispatch) again() bool {
	if d.Sends.Again(d.x.Demand.Service) {
		return true
	}
	d.x.Note(StepDispatch, "", "the bound on repeated sends to the service is reached")
	return false
}

func (d *dispatch) drop() {
	d.x.Answer.Body.Close()
	d.x.Answer = nil
}

func (d *dispatch) repeatable() bool { return d.x.Idempotent }

// patienceGoals times the latency objective is how long a target may leave a
// caller without an answer until the caller's leaving counts against it.
const patienceGoals = 3

// outcomeOf tells what a failed try that lasted so long says of its target.
func outcomeOf(err error, lasted, goal time.Duration) balance.Outcome {
	switch {
	case errors.Is(err, forward.ErrCallerGone) && lasted > patienceGoals*goal:
		return balance.Broken
	case errors.Is(err, forward.ErrCallerGone):
		return balance.Abandoned
	case errors.Is(err, forward.ErrDial), errors.Is(err, forward.ErrSilent):
		return balance.Unreachable
	case errors.Is(err, forward.ErrKept):
		return balance.Abandoned
	default:
		return balance.Broken
	}
}

// mayTryAgain tells whether the request may go to another target after err. The
// shared bound on repeated sends is asked last, since asking spends it.
func (d *dispatch) mayTryAgain(err error) bool {
	switch {
	case errors.Is(err, errFailed):
		// The bound was asked before the answer was dropped.
		return true
	case errors.Is(err, forward.ErrDial):
		return d.unsent < maxUnsent
	case errors.Is(err, errNotRun):
		return d.unsent < maxUnsent && d.again()
	case !d.repeatable() || d.ran >= d.x.Route.MaxTargets:
		return false
	default:
		return d.again()
	}
}

// failed rejects the request after its last try.
func (d *dispatch) failed(err error) error {
	var rejection *Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	if errors.Is(err, ErrInvariant) {
		return err
	}
	if d.ran > 0 {
		return d.unknown(err.Error())
	}
	return d.x.Reject(Rejection{
		Code:       "targets-busy",
		Message:    err.Error(),
		Step:       StepDispatch,
		RetryAfter: overloadRetryAfter,
	})
}

// unknown rejects a request that may have run.
func (d *dispatch) unknown(text string) error {
	d.x.Token.Spend()
	return d.x.Reject(Rejection{
		Status:  http.StatusBadGateway,
		Code:    "target-failed",
		Message: text,
		Step:    StepDispatch,
	})
}

// firstByteShare is the part of the time left that a repeatable request waits
// for its first target.
const firstByteShare = 3

// Waits returns the bounds of one try of a routed request. A request that may
// be repeated elsewhere doesn't spend all of its time on one target.
func Waits(x *Exchange, now time.Time) Timeouts {
	left := x.Deadline.Sub(now)
	t := Timeouts{FirstByte: left, BetweenBytes: left}
	if !x.Idempotent || x.Others == 0 || x.Tries >= x.Route.MaxTargets {
		return t
	}
	t.FirstByte = min(left, max(2*x.Route.Goal, left/firstByteShare))
	if x.Route.Kind == routing.Stream {
		t.BetweenBytes = max(streamSilenceGaps*x.Route.GapGoal, minStreamSilence)
	}
	return t
}
