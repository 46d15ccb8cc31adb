package instance

import (
	"context"

	"github.com/wigeonwood/wigeonwood/internal/burn"
	"github.com/wigeonwood/wigeonwood/internal/explain"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// observers forwards the record of each finished request to several observers.
type observers []filter.Observer

// Observe implements filter.Observer.
func (o observers) Observe(rec *filter.Record) {
	for _, each := range o {
		each.Observe(rec)
	}
}

// reports stores the outcomes of the requests that this instance finished, for the burn
// report and for explanations of single requests. It also queries the other instances for
// theirs.
type reports struct {
	base         *base
	recorder     *burn.Recorder
	aggregator   *burn.Aggregator
	explanations *explain.Store
}

// newReports returns empty reports and registers the handlers for queries of other
// instances. objectives returns the objectives of a customer, nil if the customer is
// unknown.
func newReports(id string, b *base, objectives func(customer string) *pb.Objectives) *reports {
	r := &reports{
		base:         b,
		recorder:     burn.NewRecorder(id, objectives),
		aggregator:   burn.NewAggregator(b.members, b.pool, objectives),
		explanations: explain.NewStore(),
	}
	transport.Handle(b.server, burn.Method, r.recorder.HandleBurn)
	transport.Handle(b.server, explain.Method, func(_ context.Context, req *pb.ExplainRequest) (*pb.ExplainReply, error) {
		return r.explanations.Reply(id, req), nil
	})
	return r
}

// observer returns the observer of the requests that this instance finishes.
func (r *reports) observer() filter.Observer { return observers{r.recorder, r.explanations} }

// findRequest queries all instances for a finished request. It returns nil if no instance that
// replied has a record of it, and the instances that did not reply.
func (r *reports) findRequest(ctx context.Context, requestID string) (*pb.ExplainReply, []string) {
	return explain.Find(ctx, r.base.members, r.base.pool, requestID)
}
