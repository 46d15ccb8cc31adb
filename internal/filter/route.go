package filter

import (
	"context"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// Tables is where the routing table in force is found.
type Tables interface {
	// Current returns nil before the first table.
	Current() *routing.Index
	// Loaded returns a channel that is closed once there is a table.
	Loaded() <-chan struct{}
}

// Route finds the route and the service of a request.
type Route struct {
	Tables Tables
	Warmup *Warmup
}

// Name returns the filter's name in specs.
func (*Route) Name() string { return StepRoute }

// Handle sets the route, the service and the deadline. At a router that has just
// started it waits for the first table.
func (r *Route) Handle(ctx context.Context, x *Exchange, next Next) error {
	x.Index = r.Tables.Current()
	if x.Index == nil && r.Warmup.await(ctx, x, r.Tables.Loaded()) {
		x.AddReason(StepRoute, "", "waited for the first routing table")
		x.Index = r.Tables.Current()
	}
	if x.Index == nil {
		return x.Reject(Rejection{
			Code:       "no-routing-table",
			Message:    "this instance has no routing table yet",
			Step:       StepRoute,
			RetryAfter: r.Warmup.retryAfter(),
		})
	}
	x.Revision = x.Index.Table.Number
	x.Route = x.Index.Match(x.Host, x.Path)
	if x.Route == nil {
		return r.Warmup.rejectUnknown(x, Rejection{
			Status:  http.StatusNotFound,
			Code:    "no-route",
			Message: "no route matches the host and path",
			Step:    StepRoute,
		})
	}
	x.Demand.Service = x.Route.SelectService(xxhash.Sum64String(x.ID))
	x.Idempotent = x.Route.Repeatable()
	x.Stream = x.Route.Kind == routing.Stream
	end := x.Received.Add(x.Route.Timeout)
	if x.Deadline.IsZero() || end.Before(x.Deadline) {
		x.Deadline = end
	}
	ctx, cancel := context.WithDeadline(ctx, x.Deadline)
	x.OnEnd(func(Usage) { cancel() })
	return next(ctx, x)
}
