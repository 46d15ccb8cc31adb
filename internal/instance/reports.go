package instance

import (
	"context"

	"github.com/wigeonwood/wigeonwood/internal/burn"
	"github.com/wigeonwood/wigeonwood/internal/explain"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// observers is a filter.Observer that passes the record of each finished request to several
// observers.
type observers []filter.Observer

// Observe implements filter.Observer.
func (o observers) Observe(rec *filter.Record) {
	for _, each := range o {
		each.Observe(rec)
	}
}

// reports records the requests that this instance finished, for the burn report and for
// explanations of single requests. To report on the whole fleet, it also queries the records
// of the other instances.
type reports struct {
	base         *base
	recorder     *burn.Recorder
	aggregator   *burn.Aggregator
	explanations *explain.Store
}

// newReports returns reports without records and registers the handlers for the queries of
// other instances. objectives returns the objectives of a customer (a team at a Routed
// instance), nil if there are none.
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

// observer returns the observer that records each finished request.
func (r *reports) observer() filter.Observer { return observers{r.recorder, r.explanations} }

// findRequest queries all instances for the record of a finished request. It returns the
// record, nil if no instance that replied has one, and the ids of the instances that did not
// reply.
func (r *reports) findRequest(ctx context.Context, requestID string) (*pb.ExplainReply, []string) {
	return explain.Find(ctx, r.base.members, r.base.pool, requestID)
}
