package controller

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/target"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func init() { testseed.Fix(20261203, 0) }

// fakeLeader is a process that believes to lead a term until its period ends.
type fakeLeader struct {
	mu    sync.Mutex
	term  uint64
	until time.Time
	// renewing makes the period slide on.
	renewing bool
}

const fakeLeasePeriod = 600 * time.Millisecond

func (l *fakeLeader) LeaderLease() (time.Time, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.renewing {
		l.until = time.Now().Add(fakeLeasePeriod)
	}
	return l.until, l.term, l.term != 0 && time.Now().Before(l.until)
}

func (l *fakeLeader) lead(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term, l.renewing = term, true
}

// loseQuorum lets the period run out.
func (l *fakeLeader) loseQuorum() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewing = false
}

// fakeIntents is one replica's committed intent for the one target.
type fakeIntents struct {
	mu       sync.Mutex
	intent   *pb.TargetIntent
	position replica.Position
}

func (f *fakeIntents) set(revision uint64, desired pb.DesiredState, at replica.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intent = &pb.TargetIntent{Target: "e1", Revision: revision, Desired: desired}
	f.position = at
}

func (f *fakeIntents) Intents(string) []*pb.TargetIntent {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.intent == nil {
		return nil
	}
	return []*pb.TargetIntent{f.intent}
}

func (f *fakeIntents) Intent(string) (*pb.TargetIntent, replica.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.intent, f.position
}

type fakeView struct {
	fleet.View
	status *pb.TargetStatus
}

func (v fakeView) Target(string) *pb.TargetStatus { return v.status }

// fakeTarget takes orders; late ones arrive after the sender gave them up, as
// those of a process do that was frozen between its check and its send.
type fakeTarget struct {
	checksFencing bool

	mu        sync.Mutex
	state     target.State
	applied   []target.Order
	reads     int
	nextDelay time.Duration
	// senderWaited is how long the sender waited for the last late order.
	senderWaited time.Duration
	wg           sync.WaitGroup
	// nextFault takes the next order in place of the target.
	nextFault func(context.Context, target.Order) error
}

func (f *fakeTarget) injectFault(by func(context.Context, target.Order) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFault = by
}

func (f *fakeTarget) State(context.Context, string) (*target.State, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	s := f.state
	return &s, nil
}

func (f *fakeTarget) Order(ctx context.Context, _ string, order target.Order) error {
	f.mu.Lock()
	late, struck := f.nextDelay, f.nextFault
	f.nextDelay, f.nextFault = 0, nil
	f.mu.Unlock()
	if struck != nil {
		return struck(ctx, order)
	}
	if late > 0 {
		f.wg.Go(func() {
			time.Sleep(late)
			_ = f.apply(order)
		})
		start := time.Now()
		<-ctx.Done()
		f.mu.Lock()
		defer f.mu.Unlock()
		f.senderWaited = time.Since(start)
		return ctx.Err()
	}
	return f.apply(order)
}

func (f *fakeTarget) apply(order target.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.checksFencing && order.Fencing.Less(f.state.Fencing) {
		return &target.FencedError{Newer: f.state.Fencing}
	}
	f.state.Desired, f.state.Fencing = order.Desired, order.Fencing
	f.applied = append(f.applied, order)
	return nil
}

func (f *fakeTarget) desired() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Desired
}

func (f *fakeTarget) orderCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.applied)
}

func (f *fakeTarget) delayNextOrder(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextDelay = d
}

// testReplica is one replica with its reconciler.
type testReplica struct {
	leader  fakeLeader
	intents fakeIntents
}

// testEnv is two replicas before one target.
type testEnv struct {
	old, next testReplica
	target    *fakeTarget
}

func runTestEnv(t *testing.T, checks bool, test func(t *testing.T, w *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		w := &testEnv{target: &fakeTarget{checksFencing: checks, state: target.State{Desired: "serve"}}}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		for _, p := range []*testReplica{&w.old, &w.next} {
			o := NewOrders(OrdersConfig{
				Leader:  &p.leader,
				Intents: &p.intents,
				View:    fakeView{status: &pb.TargetStatus{Id: "e1", Addr: "e1", Incarnation: 1, ChecksFencing: checks}},
				Targets: w.target,
				Logger:  quietLogger(),
				Scope:   tally.NoopScope,
			})
			wg.Go(func() { o.Run(ctx) })
		}
		defer func() {
			cancel()
			wg.Wait()
			w.target.wg.Wait()
		}()
		test(t, w)
	})
}

const (
	serving  = pb.DesiredState_DESIRED_STATE_SERVE
	draining = pb.DesiredState_DESIRED_STATE_DRAIN
	stopping = pb.DesiredState_DESIRED_STATE_STOP
)

func TestOrderIsSentOnceAndReadBack(t *testing.T) {
	runTestEnv(t, false, func(t *testing.T, w *testEnv) {
		w.old.leader.lead(1)
		w.old.intents.set(1, draining, replica.Position{Term: 1, Index: 5})
		time.Sleep(DefaultTakeoverWait)
		if n := w.target.orderCount(); n != 0 {
			t.Fatal("a new leader sent an order before its wait was over")
		}
		time.Sleep(5 * time.Second)
		if w.target.desired() != "drain" || w.target.orderCount() != 1 {
			t.Fatalf("%q after %d orders", w.target.desired(), w.target.orderCount())
		}
		w.target.mu.Lock()
		w.target.state.Desired = "serve"
		w.target.mu.Unlock()
		time.Sleep(resyncInterval + 5*time.Second)
		if w.target.desired() != "drain" {
			t.Fatal("a target that strayed was not brought back")
		}
	})
}

// A cut-off leader sends nothing once its period is over, though its own state
// still asks for orders; the next leader's orders stand.
func TestCutOffLeaderSendsNothing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("target checks %v", checks), func(t *testing.T) {
			runTestEnv(t, checks, func(t *testing.T, w *testEnv) {
				w.old.leader.lead(1)
				time.Sleep(2 * DefaultTakeoverWait)
				w.old.leader.loseQuorum()
				time.Sleep(fakeLeasePeriod)
				w.old.intents.set(1, draining, replica.Position{Term: 1, Index: 5})
				time.Sleep(time.Minute)
				if n := w.target.orderCount(); n != 0 {
					t.Fatalf("%d orders outside the period", n)
				}
				w.next.leader.lead(2)
				for i, desired := range []pb.DesiredState{draining, serving, stopping} {
					w.next.intents.set(uint64(i+1), desired, replica.Position{Term: 2, Index: uint64(6 + i)})
					time.Sleep(2 * DefaultTakeoverWait)
					if got := w.target.desired(); got != desiredNames[desired] {
						t.Fatalf("the target is at %q, the intent is %v", got, desired)
					}
				}
			})
		})
	}
}

// An order of the old leader that arrives after a newer one is refused by a
// target that checks. One that doesn't check takes it, and is brought back at
// the next reading.
func TestOrderFrozenBetweenCheckAndSend(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("target checks %v", checks), func(t *testing.T) {
			runTestEnv(t, checks, func(t *testing.T, w *testEnv) {
				w.old.leader.lead(1)
				time.Sleep(2 * DefaultTakeoverWait)
				w.target.delayNextOrder(20 * time.Second)
				w.old.intents.set(1, stopping, replica.Position{Term: 1, Index: 5})
				time.Sleep(scanInterval + 50*time.Millisecond)
				w.old.leader.loseQuorum()
				w.next.leader.lead(2)
				w.next.intents.set(2, draining, replica.Position{Term: 2, Index: 6})
				time.Sleep(19 * time.Second)
				w.target.mu.Lock()
				gaveUp := w.target.senderWaited
				w.target.mu.Unlock()
				if gaveUp == 0 || gaveUp > fakeLeasePeriod {
					t.Fatalf("the order was given up after %v, the period ends after %v", gaveUp, fakeLeasePeriod)
				}
				if got := w.target.desired(); got != "drain" {
					t.Fatalf("before the late order: %q", got)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if got, want := w.target.desired(), map[bool]string{true: "drain", false: "stop"}[checks]; got != want {
					t.Fatalf("after the late order: %q, want %q", got, want)
				}
				time.Sleep(resyncInterval)
				if got := w.target.desired(); got != "drain" {
					t.Fatalf("one reading later: %q", got)
				}
			})
		})
	}
}

// A target that checks gets the order's number though it is as desired.
func TestNumberIsRaised(t *testing.T) {
	runTestEnv(t, true, func(t *testing.T, w *testEnv) {
		w.old.leader.lead(1)
		w.old.intents.set(1, serving, replica.Position{Term: 1, Index: 5})
		time.Sleep(2 * DefaultTakeoverWait)
		w.target.mu.Lock()
		defer w.target.mu.Unlock()
		if got := w.target.state.Fencing; got.Index != 5 {
			t.Fatalf("the target's number is %v", got)
		}
	})
}

// A leader that comes back reads targets that it saw as desired before.
func TestReturningLeaderReadsBack(t *testing.T) {
	runTestEnv(t, false, func(t *testing.T, w *testEnv) {
		w.old.leader.lead(1)
		w.old.intents.set(1, draining, replica.Position{Term: 1, Index: 5})
		time.Sleep(3 * DefaultTakeoverWait)
		w.target.mu.Lock()
		w.target.state.Desired = "stop"
		w.target.mu.Unlock()
		w.old.leader.lead(3)
		time.Sleep(DefaultTakeoverWait + time.Second)
		if got := w.target.desired(); got != "drain" {
			t.Fatalf("after the wait of the new term: %q", got)
		}
	})
}

// Leaders change, intents change and orders arrive late at random; one resync
// after the last fault the target is as the last committed intent says, and a
// target that checks never went back to an older order.
func TestOrdersConverge(t *testing.T) {
	type step struct {
		lead, late bool
		desired    pb.DesiredState
		pause      time.Duration
	}
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				lead:    rapid.Bool().Draw(t, "change of leader"),
				late:    rapid.Bool().Draw(t, "late order"),
				desired: rapid.SampledFrom([]pb.DesiredState{serving, draining, stopping}).Draw(t, "desired"),
				pause:   time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond,
			}
		}), 1, 12).Draw(rt, "plan")
		problem := ""
		runTestEnv(t, checks, func(_ *testing.T, w *testEnv) {
			leads, other := &w.old, &w.next
			leads.leader.lead(1)
			term := uint64(1)
			for i, s := range plan {
				if s.lead {
					leads.leader.loseQuorum()
					time.Sleep(fakeLeasePeriod)
					leads, other = other, leads
					term++
					leads.leader.lead(term)
				}
				if s.late {
					w.target.delayNextOrder(10 * time.Second)
				}
				leads.intents.set(uint64(i+1), s.desired, replica.Position{Term: term, Index: uint64(i + 1)})
				time.Sleep(s.pause)
			}
			time.Sleep(10*time.Second + resyncInterval + DefaultTakeoverWait + backoffMax)
			if want := desiredNames[plan[len(plan)-1].desired]; w.target.desired() != want {
				problem = fmt.Sprintf("the target is at %q, the intent is %q", w.target.desired(), want)
			}
			w.target.mu.Lock()
			defer w.target.mu.Unlock()
			for i, order := range w.target.applied {
				if checks && i > 0 && order.Fencing.Less(w.target.applied[i-1].Fencing) {
					problem = fmt.Sprintf("order %+v taken after %+v", order, w.target.applied[i-1])
				}
			}
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}
