package filter

import (
	"context"
	"net/http"
	"slices"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
)

// Catalog refuses models and services that nobody offers.
type Catalog struct {
	View fleet.View
}

// Name returns the filter's name in specs.
func (*Catalog) Name() string { return StepCatalog }

// Handle passes requests for what a target offers or the contract names: such
// a target may only be away for a while.
func (c *Catalog) Handle(ctx context.Context, x *Exchange, next Next) error {
	d := x.Demand
	named := slices.Contains(d.Contract.GetModels(), d.Model) || slices.Contains(d.Contract.GetServices(), d.Service)
	if named || c.offered(d) {
		return next(ctx, x)
	}
	code, message := "unknown_model", "no target here offers the model "+d.Model
	if d.Service != "" {
		code, message = "unknown_service", "no target here offers the service "+d.Service
	}
	return x.Reject(Rejection{
		Status:  http.StatusNotFound,
		Code:    code,
		Message: message,
		Step:    StepCatalog,
	})
}

// offered tells whether a target in view offers the model or service.
func (c *Catalog) offered(d Demand) bool {
	for _, t := range c.View.Targets() {
		if d.Service != "" && t.GetService() == d.Service {
			return true
		}
		if d.Model != "" && slices.Contains(t.GetModels(), d.Model) {
			return true
		}
	}
	return false
}
