package filter

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
)

// Catalog refuses models and services that nobody offers. A router that has
// just started doesn't know all targets yet, and a target may be away for a
// while: what was offered before, or may be, is passed on, so that the caller
// is told to come back instead.
type Catalog struct {
	view    fleet.View
	started time.Time

	mu            sync.Mutex
	offeredBefore map[string]bool
}

const (
	// catalogWarmup is how long after its start a router refuses no name.
	catalogWarmup = 10 * time.Second
	// maxOfferedNames bounds the names remembered.
	maxOfferedNames = 4096
)

// NewCatalog makes the filter of a router that starts now.
func NewCatalog(view fleet.View) *Catalog {
	return &Catalog{view: view, started: time.Now(), offeredBefore: make(map[string]bool)}
}

// Name returns the filter's name in specs.
func (*Catalog) Name() string { return StepCatalog }

// Handle passes requests for what a target offers, offered before, or the
// contract names.
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

// known tells whether the model or service is or was offered.
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

// offered tells whether a target in view offers the model or service.
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
