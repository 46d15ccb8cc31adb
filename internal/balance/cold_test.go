package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// TestColdTargetsGetTheirShare guards against cold targets that are the first choice of more
// prompts than they get permits for, against prompts of other targets that move, and against
// rejections while targets that are not cold are left.
func TestColdTargetsGetTheirShare(t *testing.T) {
	const targets, prompts, perSecond = 8, 2000, 160
	now := time.Unix(1000, 0)
	view := newView(targets)
	view.self.CallerAddr, view.self.State = "r0", pb.RouterState_ROUTER_STATE_SERVING
	b := New(view, nil)
	b.now = func() time.Time { return now }
	first := func() map[string]string {
		chosen := make(map[string]string)
		for i := range prompts {
			now = now.Add(time.Second / perSecond)
			b.RecordRequest("llm")
			c, err := b.Pick(Request{Service: "llm", Key: fmt.Sprint("prompt-", i)})
			if err != nil {
				t.Fatal(err)
			}
			chosen[fmt.Sprint("prompt-", i)] = c.Target.Id
			c.Done(Served)
		}
		return chosen
	}
	warm := first()
	b.SetCold(func(st *pb.TargetStatus) float64 {
		if st.Id == "e0" {
			return 8
		}
		return 0
	})
	at := 0
	for key, id := range first() {
		if id == "e0" {
			at++
		} else if warm[key] != "e0" && warm[key] != id {
			t.Fatalf("%s moved from %s to %s, neither of which is cold", key, warm[key], id)
		}
	}
	if most := prompts * 8 / perSecond; at == 0 || at > most {
		t.Errorf("the cold target is the first choice of %d of %d prompts, want at most %d", at, prompts, most)
	}
	// All targets but two are cold and withheld, and these two are full.
	view.targets[0].Capacity, view.targets[1].Capacity = 4, 4
	b.SetCold(func(st *pb.TargetStatus) float64 { return map[bool]float64{true: 8}[st.Id > "e1"] })
	for _, st := range view.targets[2:] {
		b.Withhold(st, time.Second)
	}
	for range 20 {
		c, err := b.Pick(Request{Service: "llm", Key: "prompt"})
		if err != nil || c.Target.Id > "e1" {
			t.Fatalf("%v, %v, want a target that is not cold", c.Target, err)
		}
	}
}
