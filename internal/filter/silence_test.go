package filter

import (
	"testing"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestSilenceOfATarget guards against a try that is given up for its target's silence although
// no other target can take the request: none has a place, the retry limit is used up, or the
// request may not run again. Once a place is reserved, it is kept for the next silence and
// given back in the end.
func TestSilenceOfATarget(t *testing.T) {
	for name, c := range map[string]struct {
		kind      routing.Kind
		resumable bool
		targets   int
		retries   int
		accepted  bool
		givenUp   bool
	}{
		"another target has a place":      {routing.Stream, true, 2, 1, false, true},
		"no other target":                 {routing.Stream, true, 1, 1, false, false},
		"no retries left":                 {routing.Stream, true, 2, 0, false, false},
		"may not run again":               {routing.Stream, false, 2, 1, false, false},
		"the answer can't be resumed":     {routing.Stream, true, 2, 1, true, false},
		"a request that may run but once": {routing.NonIdempotent, false, 2, 1, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			x := routedExchange(c.kind, c.resumable)
			x.Deadline = time.Now().Add(time.Minute)
			picker := &numberedPicker{n: c.targets, outcomes: make(map[string]balance.Outcome)}
			d := &dispatch{x: x, Dispatch: &Dispatch{
				Guard:   &fakeGuard{},
				Picker:  picker,
				Retries: &fixedRetries{left: c.retries},
				Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
			}}
			if err := d.pick(t.Context()); err != nil {
				t.Fatal(err)
			}
			silent := d.onSilence(t.Context())
			d.accepted.Store(c.accepted)
			for range 2 {
				if wait := silent(); (wait == 0) != c.givenUp {
					t.Errorf("waits for %v, given up: want %t", wait, c.givenUp)
				}
			}
			if d.successor.held() != c.givenUp {
				t.Errorf("a place is reserved: %t, want %t", d.successor.held(), c.givenUp)
			}
			d.releaseSuccessor()
			for id, o := range picker.outcomes {
				if o != balance.Abandoned {
					t.Errorf("%s: outcome %v, want %v", id, o, balance.Abandoned)
				}
			}
		})
	}
}

// TestReservedTargetHasLeft guards against a try that is given up for a target that has left
// since its place was reserved for an earlier silence.
func TestReservedTargetHasLeft(t *testing.T) {
	x := routedExchange(routing.Stream, true)
	x.Deadline = time.Now().Add(time.Minute)
	picker := &numberedPicker{n: 2, outcomes: make(map[string]balance.Outcome)}
	retries := &fixedRetries{left: 1}
	d := &dispatch{x: x, Dispatch: &Dispatch{
		Guard:   &fakeGuard{},
		Picker:  picker,
		Retries: retries,
		Prepare: func(*Exchange, *pb.TargetStatus, *pb.TargetStatus) {},
	}}
	if err := d.pick(t.Context()); err != nil {
		t.Fatal(err)
	}
	silent := d.onSilence(t.Context())
	if silent() != 0 {
		t.Fatal("the try is not given up although another target has a place")
	}
	picker.n = 1
	if silent() == 0 || d.successor.held() {
		t.Error("the try is given up for a target that has left")
	}
	if retries.left != 1 {
		t.Errorf("%d retries left, want the one that was not sent", retries.left)
	}
}
