package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

type targetView struct{ targets []*pb.TargetStatus }

func (v *targetView) Self() *pb.RouterStatus         { return nil }
func (v *targetView) Routers() []*pb.RouterStatus    { return nil }
func (v *targetView) Targets() []*pb.TargetStatus    { return v.targets }
func (v *targetView) Target(string) *pb.TargetStatus { return nil }

// TestCatalogRefusesOnlyWhatWasNeverOffered checks that the catalog rejects a model only
// if no target has offered it, the contract does not name it, and the router has run
// long enough to know all targets.
func TestCatalogRefusesOnlyWhatWasNeverOffered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := &targetView{}
		c := NewCatalog(view)
		passes := func(model string) bool {
			passed := false
			x := &Exchange{Demand: Demand{Contract: &pb.Contract{Models: []string{"contracted"}}, Model: model}}
			_ = c.Handle(t.Context(), x, func(context.Context, *Exchange) error {
				passed = true
				return nil
			})
			return passed
		}
		if !passes("draft") {
			t.Error("a router that has just started refused a model for good")
		}
		time.Sleep(catalogWarmup)
		if passes("draft") || !passes("contracted") {
			t.Error("before any target: draft must be refused, the contracted model not")
		}
		view.targets = []*pb.TargetStatus{{Id: "e1", Models: []string{"draft"}}}
		if !passes("draft") {
			t.Error("an offered model was refused")
		}
		view.targets = nil
		if !passes("draft") {
			t.Error("a model whose targets are away for a while was refused for good")
		}
	})
}

// settledCatalog returns the catalog of a router past its warm-up.
func settledCatalog(view fleet.View) *Catalog {
	c := NewCatalog(view)
	c.started = c.started.Add(-catalogWarmup)
	return c
}
