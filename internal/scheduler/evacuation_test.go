package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// The targets of an evacuated data centre must get no request at once, also those
// that have a chat's prefix cached, and a request must be refused if no other target is left.
// After the end of the evacuation they must get requests again.
func TestEvacuatedTargetsGetNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet("r1", engines(3, 100)...)
		for i := range 3 {
			e := engine(fmt.Sprint("engine-", i), 100)
			e.DataCentre = fmt.Sprint("dc-", i%2)
			f.set(e)
		}
		s := start(t, f)
		synctest.Wait()
		assigned := func() map[string]int {
			count := make(map[string]int)
			for i := range 60 {
				g := mustAdmit(t, s, demand("c", fmt.Sprint("chat-", i)))
				count[g.Target.DataCentre]++
				defer g.Release(filter.Usage{})
			}
			return count
		}
		if before := assigned(); before["dc-0"] == 0 || before["dc-1"] == 0 {
			t.Fatalf("before: %v", before)
		}
		f.evacuate("dc-0")
		if during := assigned(); during["dc-0"] > 0 {
			t.Errorf("during the evacuation: %v", during)
		}
		f.evacuate("dc-0", "dc-1")
		var refusal *filter.Refusal
		if _, err := s.Admit(t.Context(), demand("c", "x"), nil); !errors.As(err, &refusal) || refusal.Code != "no-target" {
			t.Errorf("without targets: %v", err)
		}
		f.evacuate()
		if after := assigned(); after["dc-0"] == 0 {
			t.Errorf("after the evacuation: %v", after)
		}
	})
}
