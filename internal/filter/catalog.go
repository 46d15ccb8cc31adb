package filter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
)

// Catalog rejects requests for models and services that no target offers and that the
// caller's contract does not name. It passes on requests for what was offered before,
// because targets may be absent for a while, and all requests during catalogWarmup,
// because a router that has just started doesn't know all targets yet. If no target is
// available for such a request, a later filter rejects it with a Retry-After, while the
// rejection of Catalog is final.
type Catalog struct {
	view    fleet.View
	started time.Time

	mu            sync.Mutex
	offeredBefore map[string]bool
}

const (
	// catalogWarmup is how long after its start a router passes on all names.
	catalogWarmup = 10 * time.Second
	// maxOfferedNames bounds the names kept in offeredBefore.
	maxOfferedNames = 4096
)

// NewCatalog returns the filter of a router that starts now.
func NewCatalog(view fleet.View) *Catalog {
	return &Catalog{view: view, started: time.Now(), offeredBefore: make(map[string]bool)}
}

// Name returns the filter's name in specs.
func (*Catalog) Name() string { return StepCatalog }

// Handle passes a request on if a target offers its model or service or offered it
// before, or if the contract names it.
func (c *Catalog) Handle(ctx context.Context, x *Exchange, next Next) error {
	d := x.Demand
	named := slices.Contains(d.Contract.GetModels(), d.Model) || slices.Contains(d.Contract.GetServices(), d.Service)
	if named || c.known(d) || time.Since(c.started) < catalogWarmup {
		return next(ctx, x)
	}
	code, message := "unknown-model", "no target here offers the model "+d.Model
	if d.Service != "" {
		code, message = "unknown-service", "no target here offers the service "+d.Service
	}
	return x.Reject(Rejection{
		Status:  http.StatusNotFound,
		Code:    code,
		Message: message,
		Step:    StepCatalog,
	})
}

// known reports whether the model or service is or was offered.
func (c *Catalog) known(d Demand) bool {
	name := "model " + d.Model
	if d.Service != "" {
		name = "service " + d.Service
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.offeredBefore[name] {
		return true
	}
	if !c.offered(d) {
		return false
	}
	if len(c.offeredBefore) < maxOfferedNames {
		c.offeredBefore[name] = true
	}
	return true
}

// offered reports whether a target in the view offers the model or service.
func (c *Catalog) offered(d Demand) bool {
	for _, t := range c.view.Targets() {
		if d.Service != "" && t.GetService() == d.Service {
			return true
		}
		if d.Model != "" && slices.Contains(t.GetModels(), d.Model) {
			return true
		}
	}
	return false
}
