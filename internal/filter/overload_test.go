package filter

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/overload"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// constantLoads reports one target with ten slots and a constant number of requests.
type constantLoads int

func (n constantLoads) ServiceTargets(balance.Request) []overload.Target {
	return []overload.Target{{Key: 1, ID: "t0", InFlight: int(n), Slots: 10}}
}

// TestOverloadedService guards against rejections that are not true or have no time to return,
// and against rejections without overload, of urgent requests, and at services without engines.
func TestOverloadedService(t *testing.T) {
	for name, c := range map[string]struct {
		inFlight   int
		engine     *routing.Engine
		priority   int
		wantReject bool
	}{
		"calm":             {inFlight: 10, engine: &routing.Engine{Slots: 10}, priority: 2},
		"urgent":           {inFlight: 15, engine: &routing.Engine{Slots: 10}},
		"least urgent":     {inFlight: 15, engine: &routing.Engine{Slots: 10}, priority: 2, wantReject: true},
		"no engines":       {inFlight: 15, priority: 2},
		"counts are lost":  {engine: &routing.Engine{Slots: 10}, priority: 2},
		"all are rejected": {inFlight: 90, engine: &routing.Engine{Slots: 10}, wantReject: true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatch(&numberedPicker{n: 1, outcomes: make(map[string]balance.Outcome)})
			d.Overload = NewOverload(constantLoads(c.inFlight), &log.Logger{Writer: log.IOWriter{Writer: discard{}}}, tally.NoopScope)
			var sent, promoted [2]int
			var last error
			for i := range 60 {
				x := routedExchange(routing.Idempotent, false)
				x.Index = routing.NewIndex(&routing.Table{Services: []*routing.Service{{Name: "s", Engine: c.engine}}})
				x.Demand.Service = "s"
				x.Deadline = time.Now().Add(time.Minute)
				x.Team = &routing.Team{Name: "a"}
				// Requests of all priorities come in turn.
				x.Priority = i % 3
				before := sent[1]
				err := d.Handle(t.Context(), x, func(_ context.Context, x *Exchange) error {
					x.Token.Spend()
					sent[1]++
					x.Answer = plainAnswer("answer", nil)
					return nil
				})
				x.End()
				if err != nil && sent[1] > before {
					t.Fatalf("a request was sent and rejected: %v", err)
				}
				if x.Priority == c.priority && i >= 30 {
					last = err
					if sent[1] > before {
						sent[0]++
					}
					if x.Promoted {
						promoted[0]++
					}
				}
			}
			if !c.wantReject {
				if sent[0] != 10 {
					t.Errorf("%d of 10 requests were sent: %v", sent[0], last)
				}
				return
			}
			var r *Rejection
			if sent[0]-promoted[0] > 2 || last != nil && (!errors.As(last, &r) || r.Code != CodeOverloaded || r.Outcome() != OutcomeNotRun || r.RetryAfter <= 0) {
				t.Errorf("%d of 10 requests were sent, %d of them first; last: %+v", sent[0], promoted[0], last)
			}
		})
	}
}

// TestOverloadEnds checks that a request is counted at its target until it ends, and that its
// time to the first byte is observed.
func TestOverloadEnds(t *testing.T) {
	o := NewOverload(constantLoads(1), &log.Logger{Writer: log.IOWriter{Writer: discard{}}}, tally.NoopScope)
	x := routedExchange(routing.Idempotent, false)
	x.Index = routing.NewIndex(&routing.Table{Services: []*routing.Service{{Name: "s", Engine: &routing.Engine{Slots: 10}}}})
	x.Demand.Service, x.Demand.PromptTokens = "s", 40
	outcomes := 0
	c := o.track(x, balance.Choice{Target: &pb.TargetStatus{Id: "t0"}, Done: func(balance.Outcome) { outcomes++ }})
	x.Answer = plainAnswer("answer", nil)
	o.observeFirstEvent(x)
	if n, err := x.Answer.Body.Read(make([]byte, 2)); n != 2 || err != nil || x.firstEvent.Load() == nil {
		t.Errorf("read %d, %v, first byte at %v", n, err, x.firstEvent.Load())
	}
	if n := o.admission.Tokens(balance.LoadKey(c.Target)); n != 40 {
		t.Errorf("%d tokens at the target", n)
	}
	c.Done(balance.Served)
	c.Done(balance.Served)
	if n := o.admission.Tokens(balance.LoadKey(c.Target)); n != 0 {
		t.Errorf("%d tokens at the target after the end", n)
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
