package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/slots"
)

// newEvacuationView returns three data centres of n targets each.
func newEvacuationView(n int) *fakeView {
	v := newView(3 * n)
	for i, st := range v.targets {
		st.DataCentre = fmt.Sprint("dc", i%3+1)
	}
	return v
}

// During an evacuation no selection of any kind may return a target of the data centre: a
// first choice with or without a prompt, a retry, a takeover that is limited to certain
// targets, a target that the owner router assigned, the targets that the owner admits
// requests to, and the source of a cache copy. After its end they may again.
func TestEvacuatedTargetsGetNoRequests(t *testing.T) {
	view := newEvacuationView(3)
	b := New(view, nil)
	evacuated := map[string]bool{"dc1": true}
	b.SetEvacuated(func(dataCentre string) bool { return evacuated[dataCentre] })
	left, stays := view.targets[0], view.targets[1]
	seen := make(map[string]int)
	for i := range 300 {
		for _, r := range []Request{
			{Service: "llm"},
			{Service: "llm", Key: fmt.Sprint("k", i)},
			{Service: "llm", Key: fmt.Sprint("k", i), Exclude: []string{stays.Id}},
			{Service: "llm", Key: fmt.Sprint("k", i), Only: []string{left.Id, stays.Id}},
			{Service: "llm", Only: []string{left.Id, stays.Id}},
		} {
			c, err := b.Pick(r)
			if err != nil {
				t.Fatalf("%+v: %v", r, err)
			}
			seen[c.Target.DataCentre]++
			if c.CacheHolder != nil {
				seen["holder in "+c.CacheHolder.DataCentre]++
			}
			c.Done(Served)
		}
	}
	if seen["dc1"] > 0 || seen["holder in dc1"] > 0 || seen["dc2"] == 0 || seen["holder in dc3"] == 0 {
		t.Errorf("selections by data centre: %v", seen)
	}
	only := Request{Service: "llm", Only: []string{left.Id}}
	if _, err := b.Pick(only); !errors.Is(err, ErrNoTarget) {
		t.Errorf("only an evacuated target is allowed: %v", err)
	}
	if _, err := b.PickTarget(Request{Service: "llm"}, LoadKey(left), ""); !errors.Is(err, ErrNoTarget) {
		t.Errorf("assigned by the owner: %v", err)
	}
	keys := func(targets []slots.Target) map[uint32]bool {
		all := make(map[uint32]bool)
		for _, each := range targets {
			all[each.Key] = true
		}
		return all
	}
	open, degraded := b.AdmissionTargets(Request{Service: "llm"})
	if admitted := keys(append(open, degraded...)); len(admitted) != 6 || admitted[LoadKey(left)] {
		t.Errorf("the owner admits to %d targets, evacuated: %t", len(admitted), admitted[LoadKey(left)])
	}
	evacuated = nil
	if c, err := b.Pick(only); err != nil || c.Target.Id != left.Id {
		t.Errorf("after the end: %v, %v", c.Target, err)
	}
}

// A service whose targets are all evacuated must be rejected as one without targets, at once,
// and not with the end of a pause after which no target takes the request either.
func TestServiceInEvacuatedDataCentresHasNoTarget(t *testing.T) {
	view := newEvacuationView(1)
	b := New(view, nil)
	b.Pause(view.targets[0], time.Minute)
	b.Withhold(view.targets[1], time.Minute)
	b.SetEvacuated(func(string) bool { return true })
	for _, key := range []string{"", "k"} {
		if _, err := b.Pick(Request{Service: "llm", Key: key}); !errors.Is(err, ErrNoTarget) || !strings.Contains(err.Error(), "evacuated") {
			t.Errorf("key %q: %v, want ErrNoTarget because of the evacuation", key, err)
		}
	}
}

// Under load, an evacuation must not lower the bound on prompts, or all targets would be at
// their bound and each prompt would be computed anew elsewhere, and the remaining targets
// must be able to carry all requests. The bound must stay under that of the users' platform,
// twice the mean over all targets plus three, as far as the remaining targets allow.
func TestEvacuationKeepsThePromptBound(t *testing.T) {
	for _, c := range []struct{ evacuated, leaving int }{{0, 0}, {10, 0}, {20, 0}, {10, 5}} {
		const targets, requests = 30, 180
		staying := targets - c.evacuated - c.leaving
		var all []*candidate
		for i := range targets {
			each := &candidate{evacuated: i < c.evacuated, leaving: i >= targets-c.leaving}
			if !each.evacuated && !each.leaving {
				each.inFlight = requests / staying
			}
			all = append(all, each)
		}
		mean := float64(requests) / targets
		stayingMean := float64(requests) / float64(staying)
		limit := promptLoadLimit(all)
		successors := float64(c.leaving)
		lowest := int(promptLoadFactor*mean*targets/(targets+successors)) + promptLoadSlack
		if limit < lowest || float64(limit) < stayingMean+1 {
			t.Errorf("%+v: the bound is %d, below %d or the mean of the rest %.1f", c, limit, lowest, stayingMean)
		}
		if float64(limit) > max(2*mean, stayingMean)+3 {
			t.Errorf("%+v: the bound is %d, above that of the platform", c, limit)
		}
	}
}

// Evacuates a data centre while nine routers send prompts of many sessions. From then on its
// targets must get no request, running ones must end there, and the other targets must share
// the load.
func TestReplayEvacuation(t *testing.T) {
	const routers, requests, start, length = 9, 4000, 2000, 94
	view := newEvacuationView(4)
	rng := rand.New(rand.NewPCG(5, 5))
	balancers := make([]*Balancer, routers)
	evacuated := false
	for i := range balancers {
		balancers[i] = New(view, nil)
		balancers[i].SetEvacuated(func(dataCentre string) bool { return evacuated && dataCentre == "dc2" })
	}
	type running struct {
		choice Choice
		end    int
	}
	var live []running
	load, most := make(map[string]int), 0
	for n := range requests {
		evacuated = n >= start
		for len(live) > 0 && live[0].end <= n {
			live[0].choice.Done(Served)
			load[live[0].choice.Target.Id]--
			live = live[1:]
		}
		if n%16 == 0 {
			shareAll(balancers)
		}
		c, err := balancers[rng.IntN(routers)].Pick(Request{Service: "llm", Key: fmt.Sprint("s", rng.IntN(134))})
		if err != nil {
			t.Fatal(err)
		}
		if evacuated && c.Target.DataCentre == "dc2" {
			t.Fatalf("request %d was sent to the evacuated %s", n, c.Target.Id)
		}
		load[c.Target.Id]++
		if n >= start+length {
			most = max(most, load[c.Target.Id])
		}
		live = append(live, running{c, n + length})
	}
	for _, st := range view.targets {
		if st.DataCentre == "dc2" && load[st.Id] != 0 {
			t.Errorf("%s still has %d requests", st.Id, load[st.Id])
		}
	}
	// Eight targets share 94 requests.
	if mean := float64(length) / 8; float64(most) > 2*mean+3 {
		t.Errorf("a target had %d requests, the mean is %.1f", most, mean)
	}
}
