package filter

import (
	"context"
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestReservedPlaceIsRenewed guards against takeovers and resumptions that reach a cold target
// with a permit that has aged, or with none: another target is selected.
func TestReservedPlaceIsRenewed(t *testing.T) {
	for _, mayUse := range []bool{true, false} {
		d := &dispatch{
			Dispatch: newTestDispatch(&numberedPicker{n: 1, outcomes: make(map[string]balance.Outcome)}),
			x:        routedExchange(routing.Idempotent, false),
		}
		outcome := balance.Served
		d.successor.set(balance.Choice{
			Target: &pb.TargetStatus{Id: "reserved"},
			Renew:  func(context.Context) bool { return mayUse },
			Done:   func(o balance.Outcome) { outcome = o },
		})
		c, err := d.nextChoice(t.Context())
		if err != nil || (c.Target.Id == "reserved") != mayUse || (outcome == balance.Abandoned) == mayUse {
			t.Errorf("with a reserved place that may be used %v: %s, %v, outcome %v", mayUse, c.Target.Id, err, outcome)
		}
	}
}
