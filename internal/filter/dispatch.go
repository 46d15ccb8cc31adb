package filter

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Picker selects targets. It fails with balance.ErrNoTarget, balance.ErrFull, a
// *balance.PausedError or a *balance.LimitedError if no target takes the request now.
type Picker interface {
	Pick(ctx context.Context, r balance.Request) (balance.Choice, error)
}

// RetryLimiter bounds the repeated sends to a service, relative to the first sends of
// its requests.
type RetryLimiter interface {
	// RecordRequest counts the first send of a request to a service.
	RecordRequest(service string)
	// AllowRetry decides whether one more send to the service is allowed, and counts it if
	// so.
	AllowRetry(service string) balance.RetryDecision
	// ReturnRetry gives back a send that was allowed and not made.
	ReturnRetry(service string)
}

// Dispatch sends a request to a target. After a failure it tries other targets, if the
// request may be repeated or has provably not run.
type Dispatch struct {
	Picker  Picker
	Retries RetryLimiter
	// Prepare sets the headers for one target on the exchange. holder is the target
	// that may have parts of the prompt cached; it may be nil.
	Prepare func(x *Exchange, target, holder *pb.TargetStatus)
	// OnHints is called with the hints in each response of a target; may be nil.
	OnHints func(target *pb.TargetStatus, requestID string, h Hints)
	Warmup  *Warmup
	// Guard decides whether the request may be repeated.
	Guard PartGuard
	// WaitLimits tells how long a caller that retries has waited already.
	WaitLimits *WaitLimits
	// Overload decides whether services of engines take new requests; nil admits all.
	Overload *Overload
}

// Name returns the filter's name in specs.
func (*Dispatch) Name() string { return StepDispatch }

// dispatch is the state of one request in Dispatch.
type dispatch struct {
	*Dispatch
	x    *Exchange
	next Next
	// exclude lists the targets that were tried, except those that may be tried again on
	// a new connection.
	exclude []string
	// ran counts the targets at which the request may have run, which ranAt lists.
	ran   int
	ranAt []string
	// notRun counts the tries in which the request provably did not run.
	notRun int
	// tried is set once the first try was counted in Retries.
	tried bool
	// choice is the target of the current try.
	choice balance.Choice
	// successor is the target that takes over from a silent one. silent lists the targets
	// that were given up for their silence.
	successor successor
	silent    []string
	// accepted is set once the response of the current try is accepted; it is shared with
	// the try's onSilence. stream is set if the answer is a stream of events.
	accepted *atomic.Bool
	stream   atomic.Pointer[eventStream]
	// failure is the answer of a target that failed the request, while others are tried.
	failure failure
	// overdue is set if the request has no prompt and the caller has already waited for
	// more than half of the latency objective, in earlier requests or in this one.
	overdue bool
	// admitted is set once Overload has admitted the request. full lists the targets without
	// memory for it.
	admitted bool
	full     []string
}

// Handle tries targets until one responds.
func (d *Dispatch) Handle(ctx context.Context, x *Exchange, next Next) error {
	// The latency objective matters for target selection only in requests without a
	// prompt.
	waited := d.WaitLimits.alreadyWaited(x) + time.Since(x.Received)
	overdue := len(x.Prompt) == 0 && waited > x.Route.Goal/2
	work := &dispatch{Dispatch: d, x: x, next: next, overdue: overdue}
	x.OnEnd(func(Usage) { work.releaseSuccessor() })
	if err := work.run(ctx); err != nil {
		return err
	}
	if work.isEventAnswer(x.Answer.Header) {
		x.Answer.Events = true
		// The stream may be resumed at a target whose events have other lengths.
		x.Answer.Length = -1
		x.Answer.Body = newEventStream(ctx, work, x.Answer)
	}
	d.Overload.observeFirstEvent(x)
	return nil
}

// run tries targets until one responds and sets its response as the answer.
func (d *dispatch) run(ctx context.Context) error {
	if err := d.admit(); err != nil {
		return err
	}
	for {
		if ctx.Err() != nil {
			return d.rejectEnded(ctx)
		}
		if err := d.pick(ctx); err != nil {
			if d.answerWithFailure() {
				return nil
			}
			return d.rejectNoTarget(err)
		}
		err := d.try(ctx)
		if err == nil {
			return nil
		}
		d.x.AddReason(StepDispatch, d.choice.Target.Id, err.Error())
		if ctx.Err() != nil || d.x.deadlinePassed() {
			return d.rejectEnded(ctx)
		}
		if d.mayTryAgain(err) {
			continue
		}
		if !errors.Is(err, ErrInvariant) && d.answerWithFailure() {
			return nil
		}
		return d.rejectAfterLastTry(err)
	}
}

// runAgain tries further targets for a request that already has an answer, and returns the
// answer of the one that responds. The exchange keeps the answer that its caller is receiving,
// also if no target responds.
func (d *dispatch) runAgain(ctx context.Context) (*Answer, error) {
	current := d.x.Answer
	defer func() { d.x.Answer = current }()
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	return d.x.Answer, nil
}

// pick selects the next target.
func (d *dispatch) pick(ctx context.Context) error {
	choice, err := d.nextChoice(ctx)
	if noTargetAvailable(err) && !d.tried {
		choice, err = d.awaitTarget(ctx, err)
	}
	if noTargetAvailable(err) && d.readmitSilent() {
		choice, err = d.choose(ctx)
	}
	if err != nil {
		return err
	}
	d.choice = d.Overload.track(d.x, choice)
	d.exclude = append(d.exclude, choice.Target.Id)
	d.x.AddReason(StepDispatch, choice.Target.Id, fmt.Sprintf("%s; %d in flight", choice.Reason, choice.InFlight))
	return nil
}

// nextChoice returns the target that takes over from a silent one, or selects one.
func (d *dispatch) nextChoice(ctx context.Context) (balance.Choice, error) {
	if choice := d.successor.take(); choice != nil {
		if choice.Renew == nil || choice.Renew(ctx) {
			return *choice, nil
		}
		choice.Done(balance.Abandoned)
	}
	return d.choose(ctx)
}

func (d *dispatch) choose(ctx context.Context) (balance.Choice, error) {
	return d.chooseExcept(ctx, d.exclude)
}

// chooseExcept selects a target that is not excluded.
func (d *dispatch) chooseExcept(ctx context.Context, exclude []string) (balance.Choice, error) {
	request := balance.Request{
		Service:  d.x.Demand.Service,
		Key:      PromptKey(d.x.Prompt),
		Slots:    engineSlots(d.x),
		Exclude:  exclude,
		Full:     d.full,
		Only:     d.only(),
		Goal:     d.x.Route.Goal,
		Overdue:  d.overdue,
		TimeLeft: time.Until(d.x.Deadline),
		Priority: d.x.Priority,
		Cost:     costOf(d.x),
	}
	choice, err := d.Picker.Pick(ctx, request)
	if err != nil && len(request.Full) > 0 {
		// The memory is an estimate, so a wait in a target's queue is better than a rejection.
		request.Full = nil
		choice, err = d.Picker.Pick(ctx, request)
	}
	return choice, err
}

// recordRun records that the request may have run at the current target.
func (d *dispatch) recordRun() {
	if id := d.choice.Target.Id; !slices.Contains(d.ranAt, id) {
		d.ranAt = append(d.ranAt, id)
		d.ran++
	}
}

// mayRunAgain reports whether the request may run at a further target, or at one where it may
// have run and that is not excluded.
func (d *dispatch) mayRunAgain() bool {
	return d.ran < d.x.Route.MaxTargets ||
		slices.ContainsFunc(d.ranAt, func(id string) bool { return !slices.Contains(d.exclude, id) })
}

// only lists the targets at which the request may run once it has run at MaxTargets; empty means
// no limit.
func (d *dispatch) only() []string {
	if d.ran < d.x.Route.MaxTargets {
		return nil
	}
	return d.ranAt
}

// noTargetAvailable reports whether no target takes the request now.
func noTargetAvailable(err error) bool {
	return errors.Is(err, balance.ErrNoTarget) || errors.Is(err, balance.ErrFull)
}

// awaitTarget selects again while targets may still announce themselves to a router
// that has just started: until all have, the known ones fill up quickly. reason is the
// error of the first selection.
func (d *dispatch) awaitTarget(ctx context.Context, reason error) (choice balance.Choice, err error) {
	err = reason
	pause := warmupPoll
	found := d.Warmup.poll(ctx, d.x, func() time.Duration {
		choice, err = d.choose(ctx)
		switch {
		case errors.Is(err, balance.ErrFull):
			// All waiting requests query the same owner router, so each backs off
			// exponentially.
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

// PromptKey returns the key of the longest prompt prefix that other requests may share.
// The key is the id of the last part but one, because the last part belongs to a single
// request or session; a single part is its own key.
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

// rejectNoTarget rejects a request for which no target was found.
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
	if limited := (*balance.LimitedError)(nil); errors.As(err, &limited) {
		return d.x.Reject(Rejection{
			Code:       "targets-limited",
			Message:    fmt.Sprintf("service %s: %v", d.x.Demand.Service, err),
			Step:       StepDispatch,
			RetryAfter: jitteredRetryAfter(limited.RetryAfter, rand.Float64()),
		})
	}
	return d.x.Reject(Rejection{
		Code:       "no-target",
		Message:    fmt.Sprintf("service %s: %v", d.x.Demand.Service, err),
		Step:       StepDispatch,
		RetryAfter: d.Warmup.retryAfter(),
	})
}

// errNotRun is the error of a try whose target declared that the request did not run.
var errNotRun = errors.New("the target declined the request without running it")

// errFailed is the error of a try whose target failed in a way that another target may
// not.
var errFailed = errors.New("the target could not serve the request")

// try sends the request to the selected target. If the target responds, its slot is
// held until the exchange ends; otherwise it is released at once.
func (d *dispatch) try(ctx context.Context) error {
	x, c := d.x, d.choice
	if !d.tried {
		d.tried = true
		d.Retries.RecordRequest(x.Demand.Service)
	}
	x.Grant = &Grant{Target: c.Target}
	x.OtherTargets = c.Alternatives
	x.Tries++
	x.OnSilence = d.onSilence(ctx)
	d.Prepare(x, c.Target, c.CacheHolder)
	began := time.Now()
	err := d.next(ctx, x)
	if err != nil {
		d.recordFailedTry(err, time.Since(began))
		return err
	}
	return d.acceptOrDrop(c, began)
}

// recordFailedTry records that the current try failed with err after elapsed, and releases its
// slot.
func (d *dispatch) recordFailedTry(err error, elapsed time.Duration) {
	switch {
	case !d.x.Token.Spent():
		d.notRun++
	case !errors.Is(err, forward.ErrDial):
		// An earlier try may have spent the token; without a connection this one did not run.
		d.recordRun()
	}
	d.recordSilent(err)
	d.choice.Done(failedTryOutcome(err, elapsed, d.x.Route.Goal))
	if errors.Is(err, forward.ErrReusedConnection) {
		// The target may have closed the idle connection in the meantime. The same target
		// may succeed on a new connection.
		d.exclude = d.exclude[:len(d.exclude)-1]
	}
}

// acceptOrDrop accepts the answer to the try that began at began. If the target declined the
// request, or failed it and another target may be tried, acceptOrDrop returns an error. It
// discards the answer of a target that declined, and keeps that of one that failed until another
// one answers. An answer that breaks off before its body has begun is a failed try as well: the
// caller has got nothing of it.
func (d *dispatch) acceptOrDrop(c balance.Choice, began time.Time) error {
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
		d.keepFailure()
		d.recordRun()
		c.Done(balance.Failed)
		return errs.Wrap(errFailed, StepDispatch, c.Target.Id)
	}
	events := d.isEventAnswer(a.Header)
	if !events {
		if err := a.AwaitBody(); err != nil {
			d.dropAnswer()
			d.recordFailedTry(err, time.Since(began))
			return err
		}
	}
	d.failure = failure{}
	d.recordRun()
	d.accepted.Store(true)
	if !events {
		d.recordFirstEvent()
	}
	d.x.OnEnd(func(u Usage) { c.Done(answerOutcome(a, u)) })
	return nil
}

func (d *dispatch) dropAnswer() {
	d.x.Answer.Body.Close()
	d.x.Answer = nil
}

// repeatable reports whether the request may run at another target. A request that is
// suspected of crashing targets, by itself or by its prompt, is not repeated.
func (d *dispatch) repeatable() bool {
	if !d.x.Idempotent {
		return false
	}
	parts := guardedParts(d.x, d.Guard)
	return len(parts) == 0 || d.Guard.MayRepeat(parts)
}
