package filter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Picker chooses targets. It fails with balance.ErrNoTarget or balance.ErrFull.
type Picker interface {
	Pick(ctx context.Context, r balance.Request) (balance.Choice, error)
}

// RetryLimiter bounds what is sent to targets beyond the first try of each request.
type RetryLimiter interface {
	// RecordFirst counts the first send of a request to a service.
	RecordFirst(service string)
	// AllowRetry tells whether one more send to the service is allowed, and counts it.
	AllowRetry(service string) bool
}

// Dispatch sends a request to a target and to others where the request may be
// repeated or has provably not run.
type Dispatch struct {
	Picker  Picker
	Retries RetryLimiter
	// Prepare sets the headers for one target on the exchange; holder may hold
	// cached parts of the prompt and may be nil.
	Prepare func(x *Exchange, target, holder *pb.TargetStatus)
	// OnHints takes what a target said of itself in the answer to a request; may be nil.
	OnHints func(target *pb.TargetStatus, requestID string, h Hints)
	Warmup  *Warmup
	// WaitLimits tells callers that come back from those that ask first.
	WaitLimits *WaitLimits
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
	// notRun counts the tries that provably didn't run.
	notRun int
	sent   bool
	// choice is the target of the present try.
	choice balance.Choice
	// overdue tells that the caller has waited for most of the goal elsewhere.
	overdue bool
}

// Handle tries targets until one answers.
func (d *Dispatch) Handle(ctx context.Context, x *Exchange, next Next) error {
	// Targets are chosen by the goal for requests without a prompt only.
	waited := d.WaitLimits.alreadyWaited(x) + time.Since(x.Received)
	overdue := len(x.Prompt) == 0 && waited > x.Route.Goal/2
	work := &dispatch{Dispatch: d, x: x, next: next, overdue: overdue}
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
			return rejectCallerGone(d.x)
		}
		if err := d.pick(ctx); err != nil {
			return err
		}
		err := d.try(ctx)
		if err == nil {
			return nil
		}
		d.x.AddReason(StepDispatch, d.choice.Target.Id, err.Error())
		if ctx.Err() != nil {
			return rejectCallerGone(d.x)
		}
		if !d.mayTryAgain(err) {
			return d.rejectAfterLastTry(err)
		}
	}
}

// pick chooses the next target, or rejects the request.
func (d *dispatch) pick(ctx context.Context) error {
	choice, err := d.choose(ctx)
	if noTargetAvailable(err) && !d.sent {
		choice, err = d.awaitTarget(ctx, err)
	}
	if err != nil {
		return d.rejectNoTarget(err)
	}
	d.choice = choice
	d.exclude = append(d.exclude, choice.Target.Id)
	d.x.AddReason(StepDispatch, choice.Target.Id, fmt.Sprintf("%s; %d in flight", choice.Reason, choice.InFlight))
	return nil
}

func (d *dispatch) choose(ctx context.Context) (balance.Choice, error) {
	return d.Picker.Pick(ctx, balance.Request{
		Service:     d.x.Demand.Service,
		Key:         PromptKey(d.x.Prompt),
		Slots:       engineSlots(d.x),
		Exclude:     d.exclude,
		Goal:        d.x.Route.Goal,
		Overdue:     d.overdue,
		MaxDuration: time.Until(d.x.Deadline),
	})
}

// noTargetAvailable tells whether no target takes the request now.
func noTargetAvailable(err error) bool {
	return errors.Is(err, balance.ErrNoTarget) || errors.Is(err, balance.ErrFull)
}

// awaitTarget chooses again while targets may still announce themselves to a router
// that has just started: until all have, the few that are known are soon full.
// none is why no target was chosen.
func (d *dispatch) awaitTarget(ctx context.Context, none error) (choice balance.Choice, err error) {
	err = none
	pause := warmupPoll
	found := d.Warmup.poll(ctx, d.x, func() time.Duration {
		choice, err = d.choose(ctx)
		switch {
		case errors.Is(err, balance.ErrFull):
			// All that wait ask one home.
			pause *= 2
		case !errors.Is(err, balance.ErrNoTarget):
			return 0
		}
		return pause
	})
	if found {
		d.x.AddReason(StepDispatch, "", "waited for a target after this router's start")
	}
	return choice, err
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

func engineSlots(x *Exchange) int {
	if s := x.Index.Service(x.Demand.Service); s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return 0
}

// rejectNoTarget rejects a request for which there is no target.
func (d *dispatch) rejectNoTarget(err error) error {
	if d.ran > 0 {
		return d.rejectUnknownOutcome("no other target is left")
	}
	if errors.Is(err, balance.ErrFull) {
		return d.x.Reject(Rejection{
			Code:       "busy",
			Message:    fmt.Sprintf("service %s: %v", d.x.Demand.Service, err),
			Step:       StepDispatch,
			RetryAfter: busyRetryAfter(rand.Float64()),
		})
	}
	if paused := (*balance.PausedError)(nil); errors.As(err, &paused) {
		return d.x.Reject(Rejection{
			Code:       "targets-paused",
			Message:    fmt.Sprintf("service %s: %v", d.x.Demand.Service, err),
			Step:       StepDispatch,
			RetryAfter: jitteredRetryAfter(paused.RetryAfter, rand.Float64()),
		})
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
		d.Retries.RecordFirst(x.Demand.Service)
	}
	x.Grant = &Grant{Target: c.Target}
	x.OtherTargets = c.Alternatives
	x.Tries++
	d.Prepare(x, c.Target, c.Holder)
	began := time.Now()
	err := d.next(ctx, x)
	if err != nil {
		if x.Token.Spent() {
			d.ran++
		} else {
			d.notRun++
		}
		c.Done(failedTryOutcome(err, time.Since(began), x.Route.Goal))
		if errors.Is(err, forward.ErrKept) {
			// The connection may have been closed meanwhile; the target may do
			// well on a new one.
			d.exclude = d.exclude[:len(d.exclude)-1]
		}
		return err
	}
	return d.acceptOrDrop(c)
}

// acceptOrDrop takes an answer, or drops it if another target may do better.
func (d *dispatch) acceptOrDrop(c balance.Choice) error {
	a := d.x.Answer
	d.reportHints(c.Target, a)
	switch {
	case a.NotRun:
		d.dropAnswer()
		if d.ran == 0 {
			d.x.Token.Restore()
		}
		d.notRun++
		c.Done(declinedOutcome(a.Status))
		return errs.Wrap(errNotRun, StepDispatch, c.Target.Id)
	case a.Status >= http.StatusInternalServerError && d.repeatable() && c.Alternatives > 0 && d.ran+1 < d.x.Route.MaxTargets && d.allowRepeat():
		d.dropAnswer()
		d.ran++
		c.Done(balance.Failed)
		return errs.Wrap(errFailed, StepDispatch, c.Target.Id)
	}
	d.ran++
	d.x.OnEnd(func(u Usage) { c.Done(answerOutcome(a, u)) })
	return nil
}

func (d *dispatch) dropAnswer() {
	d.x.Answer.Body.Close()
	d.x.Answer = nil
}

func (d *dispatch) repeatable() bool { return d.x.Idempotent }
