package filter

import (
	"context"
	"fmt"
)

// Next runs the rest of the chain.
type Next func(ctx context.Context, x *Exchange) error

// Filter is one step of the chain. Its Handle calls next, returns a *Rejection or
// another error, or sets the answer itself.
type Filter interface {
	Name() string
	Handle(ctx context.Context, x *Exchange, next Next) error
}

// Spec names the filters of a chain, the outermost first.
type Spec []string

// Names of the filters.
const (
	StepLease    = "lease"
	StepIdentify = "identify"
	StepCatalog  = "catalog"
	StepLimits   = "limits"
	StepClaim    = "claim"
	StepSchedule = "schedule"
	StepCheck    = "check"
	StepForward  = "forward"
	StepRoute    = "route"
	StepTeam     = "team"
	StepBody     = "body"
	StepDispatch = "dispatch"
	// StepQuarantine rejects requests with held parts, StepTrial observes each try.
	StepQuarantine = "quarantine"
	StepTrial      = "trial"
)

// RoutedSpec is the chain for requests that a routing table decides on.
// Body comes after route and team, so that no memory is used for a request that they reject.
// Quarantine comes before dispatch, so that a request that can't be served is rejected at
// once, and Trial after it, so that it observes each try.
var RoutedSpec = Spec{StepRoute, StepTeam, StepBody, StepQuarantine, StepDispatch, StepTrial, StepForward}

// DefaultSpec is the chain of a router that works from contracts. The lease comes
// before identify, because contracts that may be out of date can't identify the caller.
// The claim comes before schedule, because nothing may be sent without it.
var DefaultSpec = Spec{
	StepLease, StepIdentify, StepCatalog, StepLimits, StepClaim, StepSchedule, StepCheck, StepForward,
}

// Chain is a sequence of filters that was built from a Spec.
type Chain struct {
	filters []Filter
	handler Next
}

// Build returns the chain of the filters that spec names. It fails if spec names a
// filter that is not in available.
func Build(spec Spec, available ...Filter) (*Chain, error) {
	byName := make(map[string]Filter, len(available))
	for _, f := range available {
		byName[f.Name()] = f
	}
	c := &Chain{}
	for _, name := range spec {
		f, ok := byName[name]
		if !ok {
			return nil, fmt.Errorf("the chain names an unknown filter %q", name)
		}
		c.filters = append(c.filters, f)
	}
	c.handler = link(c.filters)
	return c, nil
}

// link nests the filters, the first one outermost.
func link(filters []Filter) Next {
	next := func(context.Context, *Exchange) error { return nil }
	for i := len(filters) - 1; i >= 0; i-- {
		f, inner := filters[i], next
		next = func(ctx context.Context, x *Exchange) error {
			return f.Handle(ctx, x, inner)
		}
	}
	return next
}

// Run passes x through the chain. A nil error means that x.Answer is set.
func (c *Chain) Run(ctx context.Context, x *Exchange) error {
	return c.handler(ctx, x)
}
