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

// fakeLeader is a leader lease. Its holder acts as the leader of a term until the lease
// expires.
type fakeLeader struct {
	mu    sync.Mutex
	term  uint64
	until time.Time
	// renewing is set while a quorum renews the lease.
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

// loseQuorum ends the renewal, so that the lease expires.
func (l *fakeLeader) loseQuorum() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewing = false
}

// fakeIntents is one replica's committed intent for the only target.
type fakeIntents struct {
	mu       sync.Mutex
	intent   *pb.TargetIntent
	position replica.Position
}

func (f *fakeIntents) set(revision uint64, desired pb.DesiredState, position replica.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.intent = &pb.TargetIntent{Target: "e1", Revision: revision, Desired: desired}
	f.position = position
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

// fakeTarget applies orders. A delayed order arrives after the sender has given up,
// like an order of a process that froze between its lease check and its call.
type fakeTarget struct {
	checksFencing bool

	mu        sync.Mutex
	state     target.State
	applied   []target.Order
	reads     int
	nextDelay time.Duration
	// senderWaited is how long the sender waited for the last delayed order.
	senderWaited time.Duration
	wg           sync.WaitGroup
	// nextFault handles the next order in place of the target.
	nextFault func(context.Context, target.Order) error
}

func (f *fakeTarget) injectFault(fault func(context.Context, target.Order) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextFault = fault
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
	delay, fault := f.nextDelay, f.nextFault
	f.nextDelay, f.nextFault = 0, nil
	f.mu.Unlock()
	if fault != nil {
		return fault(ctx, order)
	}
	if delay > 0 {
		f.wg.Go(func() {
			time.Sleep(delay)
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

// testReplica is the state of one control replica that runs the reconciler.
type testReplica struct {
	leader  fakeLeader
	intents fakeIntents
}

// testEnv is the test environment: an old and a next leader, and one target to which both
// send orders.
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
			t.Fatal("a new leader sent an order before the end of its takeover wait")
		}
		time.Sleep(5 * time.Second)
		if w.target.desired() != "drain" || w.target.orderCount() != 1 {
			t.Fatalf("the target's state is %q after %d orders, want drain after 1", w.target.desired(), w.target.orderCount())
		}
		w.target.mu.Lock()
		w.target.state.Desired = "serve"
		w.target.mu.Unlock()
		time.Sleep(resyncInterval + 5*time.Second)
		if w.target.desired() != "drain" {
			t.Fatal("a target that left its desired state was not corrected")
		}
	})
}

// TestCutOffLeaderSendsNothing guards against orders of a leader without a quorum. Once
// its lease has expired, it sends nothing, although its own state still requires
// orders; the next leader's orders remain in effect.
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
					t.Fatalf("%d orders sent without a valid lease", n)
				}
				w.next.leader.lead(2)
				for i, desired := range []pb.DesiredState{draining, serving, stopping} {
					w.next.intents.set(uint64(i+1), desired, replica.Position{Term: 2, Index: uint64(6 + i)})
					time.Sleep(2 * DefaultTakeoverWait)
					if got := w.target.desired(); got != desiredNames[desired] {
						t.Fatalf("the target's state is %q, the intent is %v", got, desired)
					}
				}
			})
		})
	}
}

// TestOrderFrozenBetweenCheckAndSend covers an order of the old leader that arrives
// after a newer one. A target that checks fencing numbers refuses the old order. A
// target that does not check them applies the old order, and the new leader corrects
// that at the next resync.
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
				senderWaited := w.target.senderWaited
				w.target.mu.Unlock()
				if senderWaited == 0 || senderWaited > fakeLeasePeriod {
					t.Fatalf("the sender gave up after %v, the lease expires after %v", senderWaited, fakeLeasePeriod)
				}
				if got := w.target.desired(); got != "drain" {
					t.Fatalf("before the delayed order the target's state is %q, want drain", got)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				if got, want := w.target.desired(), map[bool]string{true: "drain", false: "stop"}[checks]; got != want {
					t.Fatalf("after the delayed order the target's state is %q, want %q", got, want)
				}
				time.Sleep(resyncInterval)
				if got := w.target.desired(); got != "drain" {
					t.Fatalf("one resync interval later the target's state is %q, want drain", got)
				}
			})
		})
	}
}

// TestNumberIsRaised checks that a target that checks fencing numbers receives the
// number of an order although it is in the desired state already. Without the number it
// would accept older orders.
func TestNumberIsRaised(t *testing.T) {
	runTestEnv(t, true, func(t *testing.T, w *testEnv) {
		w.old.leader.lead(1)
		w.old.intents.set(1, serving, replica.Position{Term: 1, Index: 5})
		time.Sleep(2 * DefaultTakeoverWait)
		w.target.mu.Lock()
		defer w.target.mu.Unlock()
		if got := w.target.state.Fencing; got.Index != 5 {
			t.Fatalf("the target's fencing number is %v, want index 5", got)
		}
	})
}

// TestReturningLeaderReadsBack checks that a replica that becomes leader again reads
// targets that it verified in an earlier term, since other leaders may have changed
// them meanwhile.
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
			t.Fatalf("after the takeover wait of the new term the target's state is %q, want drain", got)
		}
	})
}

// TestOrdersConverge changes leaders and intents and delays orders at random. One
// resync interval after the last fault the target must follow the last committed
// intent, and a target that checks fencing numbers must never have applied an order
// older than the one before.
func TestOrdersConverge(t *testing.T) {
	type step struct {
		changeLeader, delayOrder bool
		desired                  pb.DesiredState
		pause                    time.Duration
	}
	rapid.Check(t, func(rt *rapid.T) {
		checks := rapid.Bool().Draw(rt, "checks")
		plan := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				changeLeader: rapid.Bool().Draw(t, "change of leader"),
				delayOrder:   rapid.Bool().Draw(t, "late order"),
				desired:      rapid.SampledFrom([]pb.DesiredState{serving, draining, stopping}).Draw(t, "desired"),
				pause:        time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause")) * time.Millisecond,
			}
		}), 1, 12).Draw(rt, "plan")
		failure := ""
		runTestEnv(t, checks, func(_ *testing.T, w *testEnv) {
			active, standby := &w.old, &w.next
			active.leader.lead(1)
			term := uint64(1)
			for i, s := range plan {
				if s.changeLeader {
					active.leader.loseQuorum()
					time.Sleep(fakeLeasePeriod)
					active, standby = standby, active
					term++
					active.leader.lead(term)
				}
				if s.delayOrder {
					w.target.delayNextOrder(10 * time.Second)
				}
				active.intents.set(uint64(i+1), s.desired, replica.Position{Term: term, Index: uint64(i + 1)})
				time.Sleep(s.pause)
			}
			time.Sleep(10*time.Second + resyncInterval + DefaultTakeoverWait + backoffMax)
			if want := desiredNames[plan[len(plan)-1].desired]; w.target.desired() != want {
				failure = fmt.Sprintf("the target's state is %q, the intent is %q", w.target.desired(), want)
			}
			w.target.mu.Lock()
			defer w.target.mu.Unlock()
			for i, order := range w.target.applied {
				if checks && i > 0 && order.Fencing.Less(w.target.applied[i-1].Fencing) {
					failure = fmt.Sprintf("order %+v applied after the newer order %+v", order, w.target.applied[i-1])
				}
			}
		})
		if failure != "" {
			rt.Fatal(failure)
		}
	})
}
