package filter

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/overload"
)

// CodeOverloaded is the code of a request that is rejected so that others are served in time.
const CodeOverloaded = "overloaded"

// overloadQuiet is the time without a rejection after which the overload of a service counts as
// ended.
const overloadQuiet = 5 * time.Second

// ServiceLoads provides the load of a service. balance.Balancer implements it.
type ServiceLoads interface {
	// ServiceTargets returns the targets that accept r, with their requests in flight.
	ServiceTargets(r balance.Request) []overload.Target
}

// Overload decides which new requests the services of engines take while they have more than
// they can serve in time. It is safe for concurrent use. A nil Overload admits all requests.
type Overload struct {
	loads  ServiceLoads
	logger *log.Logger
	scope  tally.Scope
	floor  tally.Counter

	mu        sync.Mutex
	admission *overload.Admission
	// episodes holds the times of overload that have not ended, by service.
	episodes map[string]*episode
}

// episode is a time of overload at one service.
type episode struct {
	began, last time.Time
	rejected    int
}

// NewOverload returns an Overload that has seen no requests, nil if loads is nil.
func NewOverload(loads ServiceLoads, logger *log.Logger, scope tally.Scope) *Overload {
	if loads == nil {
		return nil
	}
	scope = scope.SubScope("overload")
	return &Overload{loads: loads, logger: logger, scope: scope, floor: scope.Counter("admitted_floor"),
		admission: overload.New(), episodes: make(map[string]*episode)}
}

// overloadRequest describes the request of an exchange for the decision. ok is false if its
// service has no engines.
func overloadRequest(x *Exchange) (r overload.Request, ok bool) {
	s := x.Index.Service(x.Demand.Service)
	if s == nil || s.Engine == nil {
		return overload.Request{}, false
	}
	r = overload.Request{
		Service:  s.Name,
		Priority: x.Priority,
		Goal:     x.Route.Goal,
		TimeLeft: time.Until(x.Deadline),
		Tokens:   x.Demand.PromptTokens + x.Demand.MaxTokens,
		Memory:   s.Engine.CacheTokens,
	}
	if x.Team != nil {
		r.Team = x.Team.Name
	}
	return r, true
}

// decide decides on a new request. full lists targets without memory for it.
func (o *Overload) decide(x *Exchange, r overload.Request) (d overload.Decision, full []string) {
	targets := o.loads.ServiceTargets(balance.Request{Service: r.Service, Slots: engineSlots(x)})
	now, draw := time.Now(), rand.Float64()
	o.mu.Lock()
	defer o.mu.Unlock()
	d = o.admission.Decide(now, r, targets, draw)
	d, full = o.admission.Memory(now, r, targets, d, draw)
	o.recordLocked(now, r.Service, d)
	return d, full
}

// recordLocked counts the decision and logs the start and the end of an overload.
func (o *Overload) recordLocked(now time.Time, service string, d overload.Decision) {
	e := o.episodes[service]
	if e != nil && now.Sub(e.last) >= overloadQuiet {
		delete(o.episodes, service)
		o.logger.Info().Str("step", StepDispatch).Str("service", service).Int("rejected", e.rejected).
			Int64("for_ms", e.last.Sub(e.began).Milliseconds()).Msg("the overload of a service has ended")
		e = nil
	}
	if d.Reason == overload.Floor {
		o.floor.Inc(1)
	}
	if d.Admitted {
		return
	}
	o.scope.Tagged(map[string]string{"reason": string(d.Reason)}).Counter("rejected").Inc(1)
	if e == nil {
		e = &episode{began: now}
		o.episodes[service] = e
		o.logger.Warn().Str("step", StepDispatch).Str("service", service).Str("reason", string(d.Reason)).
			Float64("queue", d.Queue).Msg("a service is overloaded and requests are rejected")
	}
	e.last = now
	e.rejected++
}

// overloadTexts explains the reasons to operators.
var overloadTexts = map[overload.Reason]string{
	overload.WithinShare: "admitted within the share of its kind and team",
	overload.Floor:       "admitted first, so that its kind and team do not starve",
	overload.Urgency:     "more urgent requests take the capacity",
	overload.TeamShare:   "the team is above its fair share",
	overload.Late:        "its turn would come after its deadline",
	overload.NoMemory:    "most engines have no memory for it",
}

// admit rejects a new request if its service is overloaded. It decides once, before the
// request is sent to any target.
func (d *dispatch) admit() error {
	if d.Overload == nil || d.admitted {
		return nil
	}
	d.admitted = true
	r, ok := overloadRequest(d.x)
	if !ok {
		return nil
	}
	decision, full := d.Overload.decide(d.x, r)
	d.full = full
	if decision.Reason == overload.Calm {
		return nil
	}
	text := fmt.Sprintf("overload, %.0f%% of the slots in queue: %s", 100*decision.Queue, overloadTexts[decision.Reason])
	if !decision.Admitted {
		return d.x.Reject(Rejection{
			Code:       CodeOverloaded,
			Message:    fmt.Sprintf("service %s: %s", r.Service, text),
			Step:       StepDispatch,
			RetryAfter: decision.RetryAfter,
		})
	}
	d.x.AddReason(StepDispatch, "", text)
	d.x.Promoted = decision.Reason == overload.Floor
	return nil
}

// track records that the request is sent to the selected target, until Choice.Done is called.
func (o *Overload) track(x *Exchange, c balance.Choice) balance.Choice {
	if o == nil {
		return c
	}
	r, ok := overloadRequest(x)
	if !ok {
		return c
	}
	key, began, done := balance.LoadKey(c.Target), time.Now(), c.Done
	o.mu.Lock()
	o.admission.Start(key, r)
	o.mu.Unlock()
	var once sync.Once
	c.Done = func(outcome balance.Outcome) {
		done(outcome)
		once.Do(func() { o.end(x, key, r, began, outcome) })
	}
	return c
}

// end records the end of a request at a target. An abandoned request without a first event counts
// as one that waited until its end.
func (o *Overload) end(x *Exchange, key uint32, r overload.Request, began time.Time, outcome balance.Outcome) {
	now := time.Now()
	var first, total time.Duration
	if outcome == balance.Served || outcome == balance.Abandoned {
		total = now.Sub(began)
		first = total
		if at := x.firstEvent.Load(); at != nil && at.After(began) {
			first = at.Sub(began)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admission.End(now, key, r, first, total)
}

// observeFirstEvent records when the first byte of the answer's body is read.
func (o *Overload) observeFirstEvent(x *Exchange) {
	if o == nil || x.Answer == nil {
		return
	}
	if _, ok := overloadRequest(x); ok {
		x.Answer.Body = &firstEventBody{ReadCloser: x.Answer.Body, at: &x.firstEvent}
	}
}

// firstEventBody is a body that records when its first byte is read.
type firstEventBody struct {
	io.ReadCloser
	at *atomic.Pointer[time.Time]
}

// Read reads from the body.
func (b *firstEventBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 && b.at.Load() == nil {
		now := time.Now()
		b.at.Store(&now)
	}
	return n, err
}
