package instance

import (
	"context"

	"github.com/wigeonwood/wigeonwood/internal/burn"
	"github.com/wigeonwood/wigeonwood/internal/explain"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// observers passes each finished request on to several observers.
type observers []filter.Observer

// Observe implements filter.Observer.
func (o observers) Observe(rec *filter.Record) {
	for _, each := range o {
		each.Observe(rec)
	}
}

// reports keeps what finished requests leave here, and asks the other instances
// for what they keep.
type reports struct {
	base      *base
	recorder  *burn.Recorder
	collector *burn.Aggregator
	explains  *explain.Store
}

// newReports registers the calls of other instances; objectives returns those of a
// customer, nil without a contract.
func newReports(id string, b *base, objectives func(customer string) *pb.Objectives) *reports {
	r := &reports{
		base:      b,
		recorder:  burn.NewRecorder(id, objectives),
		collector: burn.NewAggregator(b.members, b.pool, objectives),
		explains:  explain.NewStore(),
	}
	transport.Handle(b.server, burn.Method, r.recorder.HandleBurn)
	transport.Handle(b.server, explain.Method, func(_ context.Context, req *pb.ExplainRequest) (*pb.ExplainReply, error) {
		return r.explains.Reply(id, req), nil
	})
	return r
}

// observer takes the finished requests of this instance.
func (r *reports) observer() filter.Observer { return observers{r.recorder, r.explains} }

// find returns a finished request of any instance, nil if none that answered
// remembers it, and those that did not answer.
func (r *reports) find(ctx context.Context, requestID string) (*pb.ExplainReply, []string) {
	return explain.Find(ctx, r.base.members, r.base.pool, requestID)
}
