package router

import (
	"errors"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// result is how a request ended for its caller.
type result struct {
	status   int
	outcome  filter.Outcome
	refused  bool
	complete bool
	// firstByte is the time from receipt to the answer's first byte.
	firstByte time.Duration
}

// observe hands the record of a finished request to the observer.
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

// isTargetFailure tells whether err is the target's failure, not the caller's.
func isTargetFailure(err error) bool {
	return err != nil && !errors.Is(err, relay.ErrCallerWrite) && !errors.Is(err, forward.ErrCallerGone)
}

// finishDetached records how a claimed request ended that its caller did not wait
// for, and ends it.
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
