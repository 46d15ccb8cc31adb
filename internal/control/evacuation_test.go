package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// An order that a follower receives must be committed once, and every router must get the set
// with its next lease.
func TestEvacuationReachesRoutersWithTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		h := f.startRouter(ctx, &wg, "r1")
		if err := h.WaitFirstLease(within(t, time.Second)); err != nil {
			t.Fatal(err)
		}
		c := f.client(t, "r1")
		for i, changed := range []bool{true, false} {
			result, err := c.SetEvacuation(within(t, time.Second), &pb.SetEvacuation{DataCentre: "dc", Evacuated: true})
			if err != nil || result.Changed != changed || result.Revision != 1 {
				t.Fatalf("order %d: %v, %v", i, result, err)
			}
		}
		time.Sleep(time.Second)
		if !h.Evacuated("dc") {
			t.Errorf("the router holds %v after a second", h.Evacuations())
		}
	})
}
