package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestPromptsOfLimitedTargetsMove replays 91 requests a second of 3,000 prompts in front of 12
// targets, of which 8 name a limit of 3 requests a second. Each limited target must be the
// first choice for about as many requests as it takes, so that the prompts which it can't take
// are computed at one other target instead of at two by turns. Without limits the order of the
// targets must be that of the prompt's key.
func TestPromptsOfLimitedTargetsMove(t *testing.T) {
	const (
		limited, targets = 8, 12
		perSecond        = 91
		limit            = 3.0
		seconds          = 30
	)
	now := time.Unix(1000, 0)
	view := newView(targets)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	rng := rand.New(rand.NewPCG(38, 2))
	limits := make(map[uint32]float64)
	b.SetLimits(func() map[uint32]float64 { return limits })
	send := func() (counts map[string]float64, byKey map[string]map[string]int) {
		counts, byKey = make(map[string]float64), make(map[string]map[string]int)
		for range seconds * perSecond {
			now = now.Add(time.Second / perSecond)
			r := Request{Service: "llm", Key: fmt.Sprint("prompt-", rng.IntN(3000))}
			b.RecordRequest(r.Service)
			c, err := b.Pick(r)
			if err != nil {
				t.Fatal(err)
			}
			c.Done(Served)
			counts[c.Target.Id] += 1.0 / seconds
			if byKey[r.Key] == nil {
				byKey[r.Key] = make(map[string]int)
			}
			byKey[r.Key][c.Target.Id]++
		}
		return counts, byKey
	}
	_, before := send()
	for _, st := range view.targets[:limited] {
		limits[LoadKey(st)] = limit
	}
	counts, during := send()
	sum := 0.0
	for _, st := range view.targets[:limited] {
		sum += counts[st.Id]
		if n := counts[st.Id]; n > 1.2*limit {
			t.Errorf("%s is chosen for %.1f requests a second, its limit is %.1f", st.Id, n, limit)
		}
	}
	if sum < 0.5*limited*limit {
		t.Errorf("the limited targets are chosen for %.1f requests a second, their limits are %.1f", sum, limited*limit)
	}
	for key, at := range during {
		if len(at) > 1 {
			t.Errorf("the prompt %s is computed at %v", key, at)
		}
	}
	clear(limits)
	_, after := send()
	for key, at := range after {
		for id := range at {
			if before[key] != nil && before[key][id] == 0 {
				t.Errorf("after the limits %s is sent to %s, before to %v", key, id, before[key])
			}
		}
	}
}

// TestLoadBoundWithLimitedTargets checks that the targets without a limit may take what limited
// ones can't, although they then have far more than the mean.
func TestLoadBoundWithLimitedTargets(t *testing.T) {
	all := []*candidate{{inFlight: 10}, {inFlight: 10}}
	for range 10 {
		all = append(all, &candidate{inFlight: 1, limitedWeight: 0.1})
	}
	if bound := promptLoadLimit(all); bound <= 10 {
		t.Errorf("bound %d, want more than the 10 that the targets without a limit have", bound)
	}
}

// TestWithheldTarget checks that a target at its limit is passed over until the time is over,
// and that the error tells when the first of several takes a request.
func TestWithheldTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	view := newView(2)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	b.Withhold(view.targets[0], 2*time.Second)
	if n := pickAll(t, b)["e0"]; n > 0 {
		t.Errorf("%d of 100 requests went to a withheld target", n)
	}
	b.Withhold(view.targets[1], time.Second)
	var limited *LimitedError
	if _, err := b.Pick(Request{Service: "llm"}); !errors.As(err, &limited) || limited.RetryAfter != time.Second {
		t.Errorf("error %v, want one with the first end of a limit", err)
	}
	b.Withhold(view.targets[0], 0)
	if n := pickAll(t, b)["e0"]; n != 100 {
		t.Errorf("%d of 100 requests went to the target that is no longer withheld", n)
	}
}

// TestPromptsAreRefusedWhenLimitsLeaveTooMany guards against prompts that are computed at one
// target after the other while the targets without a limit are full: they are refused at once.
// Without limits a prompt still goes to the target with the fewest requests.
func TestPromptsAreRefusedWhenLimitsLeaveTooMany(t *testing.T) {
	const targets, slots = 12, 4
	now := time.Unix(1000, 0)
	view := newView(targets)
	b := New(view, nil)
	b.now = func() time.Time { return now }
	limits := make(map[uint32]float64)
	b.SetLimits(func() map[uint32]float64 { return limits })
	request := Request{Service: "llm", Key: "prompt", Slots: slots}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		b.RecordRequest(request.Service)
	}
	for _, st := range view.targets[:targets-4] {
		limits[LoadKey(st)] = 1
		b.Withhold(st, time.Second)
	}
	at := make(map[string]int)
	var err error
	for range targets * slots {
		var c Choice
		if c, err = b.Pick(request); err != nil {
			break
		}
		at[c.Target.Id]++
	}
	var limited *LimitedError
	if !errors.As(err, &limited) || !limited.Full || limited.RetryAfter <= 0 {
		t.Errorf("error %v, want one that tells when to retry", err)
	}
	if len(at) > maxLimitedChoices {
		t.Errorf("the prompt is computed at %v, at most %d targets may take it", at, maxLimitedChoices)
	}
	clear(limits)
	if _, err := b.Pick(request); err != nil {
		t.Errorf("without limits: %v", err)
	}
}
