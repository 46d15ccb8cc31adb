package router

import (
	"errors"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// result describes how a request ended for its caller.
type result struct {
	status   int
	outcome  filter.Outcome
	refused  bool
	complete bool
	// firstByte is the time from receipt to the first byte of the answer, zero for
	// a detached request, whose caller receives no byte of it.
	firstByte time.Duration
}

// observe updates the metrics and passes the record of a finished request to
// the observer.
func (r *Router) observe(x *filter.Exchange, res result) {
	r.tries.Inc(int64(x.Tries))
	if !res.refused {
		r.firstToken.Record(res.firstByte)
	}
	if r.cfg.Observer == nil {
		return
	}
	rec := &filter.Record{
		RequestID:  x.ID,
		Customer:   x.Demand.Contract.GetCustomer(),
		Class:      x.Demand.Class,
		Chat:       x.Demand.Chat,
		Model:      x.Demand.Model,
		Service:    x.Demand.Service,
		Start:      x.Received,
		FirstToken: res.firstByte,
		Total:      time.Since(x.Received),
		Status:     res.status,
		Outcome:    res.outcome,
		Refused:    res.refused,
		Complete:   res.complete,
		Tries:      x.Tries,
		Revision:   x.Revision,
		Reasons:    x.Reasons(),
	}
	if x.Grant != nil {
		rec.Target = x.Grant.Target.GetId()
	}
	r.cfg.Observer.Observe(rec)
}

// isTargetFailure reports whether err was caused by the target and not by the
// caller.
func isTargetFailure(err error) bool {
	return err != nil && !errors.Is(err, relay.ErrCallerWrite) && !errors.Is(err, forward.ErrCallerGone)
}

// finishDetached ends a detached exchange and records its outcome. A claimed
// request is detached if it goes on after its caller left or its deadline passed.
func (r *Router) finishDetached(x *filter.Exchange, err error) {
	defer x.End()
	res := result{outcome: filter.OutcomeRun}
	if err != nil {
		rejection := asRejection(x, err)
		res = result{status: rejection.Status, outcome: rejection.Outcome(), refused: true}
	}
	if x.Answer != nil {
		res.status = x.Answer.Status
	}
	r.observe(x, res)
}
