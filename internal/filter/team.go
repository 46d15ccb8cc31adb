package filter

import (
	"context"
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/balance"
)

// Team finds the team that holds the caller's key and sets the request's priority.
type Team struct {
	SurgeDetector *balance.SurgeDetector
	Warmup        *Warmup
}

// Name returns the filter's name in specs.
func (*Team) Name() string { return StepTeam }

// Handle sets the team and the priority. Requests of a team that has far more in flight
// at this router than the others are marked as surging.
func (t *Team) Handle(ctx context.Context, x *Exchange, next Next) error {
	x.Priority = x.Route.Priority
	if !x.Index.RequiresKey() {
		return next(ctx, x)
	}
	x.Team = x.Index.Team(x.Bearer)
	if x.Team == nil && !x.Route.Public {
		return t.Warmup.rejectUnknown(x, Rejection{
			Status:  http.StatusUnauthorized,
			Code:    "unknown-key",
			Message: "no team holds this key",
			Step:    StepTeam,
		})
	}
	if x.Team == nil {
		return next(ctx, x)
	}
	if x.Team.Priority != nil {
		x.Priority = *x.Team.Priority
	}
	surges, end := t.SurgeDetector.Begin(x.Team.Name)
	x.OnEnd(func(Usage) { end() })
	if surges {
		x.Surging = true
		x.AddReason(StepTeam, "", "the team has far more requests in flight at this router than the others; its requests rank behind theirs")
	}
	return next(ctx, x)
}
