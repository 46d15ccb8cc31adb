package filter

import (
	"context"
	"net/http"
)

// Team finds the team that holds the caller's key.
type Team struct{}

// Name returns the filter's name in specs.
func (*Team) Name() string { return StepTeam }

// Handle sets the team.
func (t *Team) Handle(ctx context.Context, x *Exchange, next Next) error {
	if !x.Index.KeysNeeded() {
		return next(ctx, x)
	}
	x.Team = x.Index.Team(x.Bearer)
	if x.Team == nil && !x.Route.Public {
		return x.Reject(Rejection{
			Status:  http.StatusUnauthorized,
			Code:    "unknown-key",
			Message: "no team holds this key",
			Step:    StepTeam,
		})
	}
	return next(ctx, x)
}
