package controller

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/target"
)

const (
	// DefaultTakeoverWait is how long a new leader waits before its first order. The
	// wait is longer than an order of an earlier leader can be in transit, which
	// orderTimeout bounds.
	DefaultTakeoverWait = 3 * time.Second
	// orderTimeout is the time limit of the call for one order. It must be shorter than
	// the takeover wait.
	orderTimeout = 1500 * time.Millisecond
	// verifyDelay is the time between an accepted order and the next read of the
	// target's state.
	verifyDelay = 1 * time.Second
	// resyncInterval is the time between two reads of the state of a target that is in
	// its desired state.
	resyncInterval = 30 * time.Second
	// scanInterval is the interval of the comparison of intents and targets in memory.
	scanInterval = 200 * time.Millisecond
	// ordersPerSecond and ordersBurst limit the rate of reconciliations, and with it the
	// calls to targets. orderWorkers is the number of concurrent reconciliations.
	ordersPerSecond = 200
	ordersBurst     = 50
	orderWorkers    = 8
)

// Intents provides the committed intents. state.Machine implements Intents.
type Intents interface {
	// Intents returns the intent for the target with this ID, or for all targets if
	// target is empty.
	Intents(target string) []*pb.TargetIntent
	// Intent returns the intent for a target, or nil if there is none, and the log
	// position of the change that created it.
	Intent(target string) (*pb.TargetIntent, replica.Position)
}

// Targets calls targets. target.Client implements Targets.
type Targets interface {
	State(ctx context.Context, addr string) (*target.State, error)
	Order(ctx context.Context, addr string, order target.Order) error
}

// OrdersConfig holds the dependencies and parameters of Orders.
type OrdersConfig struct {
	Leader  Leader
	Intents Intents
	View    fleet.View
	// Targets is the client for targets; nil selects a target.Client.
	Targets Targets
	// TakeoverWait is how long a new leader waits before its first order; zero selects
	// DefaultTakeoverWait.
	TakeoverWait time.Duration
	Logger       *log.Logger
	Scope        tally.Scope
}

// Orders is the reconciler that sends orders to targets. It reads the state of a target
// first, sends an order only if the state does not satisfy the order, and reads the
// state again afterwards.
type Orders struct {
	cfg   OrdersConfig
	lease orderLease
	queue *Queue

	mu sync.Mutex
	// verified holds the last successful verification of each target, by target ID.
	verified map[string]observation

	sent tally.Counter
	// fenced counts the orders that a target refused since it holds a higher fencing
	// number.
	fenced tally.Counter
}

// observation records a target whose state satisfied its order: the revision of the
// intent, the incarnation of the target, the term of the leader and the time.
type observation struct {
	revision    uint64
	incarnation uint64
	term        uint64
	verifiedAt  time.Time
}

// NewOrders returns a reconciler that does nothing until Run is called.
func NewOrders(cfg OrdersConfig) *Orders {
	if cfg.TakeoverWait == 0 {
		cfg.TakeoverWait = DefaultTakeoverWait
	}
	if cfg.Targets == nil {
		cfg.Targets = target.NewClient()
	}
	scope := cfg.Scope.SubScope("orders")
	o := &Orders{
		cfg:      cfg,
		lease:    orderLease{leader: cfg.Leader, takeoverWait: cfg.TakeoverWait},
		verified: make(map[string]observation),
		sent:     scope.Counter("sent"),
		fenced:   scope.Counter("fenced"),
	}
	o.queue = NewQueue(QueueConfig{
		Name:       "orders",
		Reconciler: o,
		Workers:    orderWorkers,
		PerSecond:  ordersPerSecond,
		Burst:      ordersBurst,
		Logger:     cfg.Logger,
		Scope:      cfg.Scope,
	})
	return o
}

// Run scans and reconciles until ctx ends.
func (o *Orders) Run(ctx context.Context) {
	var queue sync.WaitGroup
	queue.Go(func() { o.queue.Run(ctx) })
	defer queue.Wait()
	ticker := time.NewTicker(scanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.scan(time.Now())
		}
	}
}

// scan enqueues the targets that were not verified yet, those whose intent revision,
// incarnation or leader term has changed since the verification, and those whose
// verification is older than the resync interval.
func (o *Orders) scan(now time.Time) {
	if _, err := o.lease.expiry(); err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	present := make(map[string]bool)
	for _, intent := range o.cfg.Intents.Intents("") {
		status := o.cfg.View.Target(intent.Target)
		if status == nil {
			continue
		}
		present[intent.Target] = true
		last, ok := o.verified[intent.Target]
		if ok && last.revision == intent.Revision && last.incarnation == status.Incarnation &&
			last.term == o.lease.currentTerm() && now.Sub(last.verifiedAt) < resyncInterval {
			continue
		}
		o.queue.Add(intent.Target)
	}
	for id := range o.verified {
		if !present[id] {
			delete(o.verified, id)
		}
	}
}

// Reconcile implements Reconciler for the target with the given ID.
func (o *Orders) Reconcile(ctx context.Context, id string) (Result, error) {
	status := o.cfg.View.Target(id)
	intent, _ := o.cfg.Intents.Intent(id)
	if status == nil || intent == nil {
		return Result{}, nil
	}
	if _, err := o.lease.expiry(); err != nil {
		// scan enqueues the target again once this process holds the lease.
		return Result{}, nil
	}
	term := o.lease.currentTerm()
	state, err := o.cfg.Targets.State(ctx, status.Addr)
	if err != nil {
		return Result{}, err
	}
	// Read the intent again after the state: a newer intent may have been committed
	// during the call, and an outdated order must not be sent.
	intent, position := o.cfg.Intents.Intent(id)
	order := newOrder(intent, position)
	if satisfied(state, order, status.ChecksFencing) {
		o.recordVerified(id, observation{intent.Revision, status.Incarnation, term, time.Now()})
		return Result{}, nil
	}
	if err := o.send(ctx, status.Addr, order); err != nil {
		return Result{}, err
	}
	return Result{RequeueAfter: verifyDelay}, nil
}

func (o *Orders) recordVerified(id string, seen observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verified[id] = seen
}

// send sends an order to a target. It checks the lease directly before the call, and
// cancels the call when the lease expires. docs/design/orders.md describes what happens
// if the process freezes between the check and the call.
func (o *Orders) send(ctx context.Context, addr string, order target.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	until, err := o.lease.expiry()
	if err != nil {
		return errs.Wrap(err, target.StepOrder, addr)
	}
	ctx, cancelAtExpiry := context.WithDeadline(ctx, until)
	defer cancelAtExpiry()
	invariant.Check(order.Fencing.Term <= o.lease.currentTerm(), target.StepOrder,
		"order term", order.Fencing.Term, "leader term", o.lease.currentTerm())
	o.sent.Inc(1)
	err = o.cfg.Targets.Order(ctx, addr, order)
	fenced := &target.FencedError{}
	if errors.As(err, &fenced) {
		o.fenced.Inc(1)
	}
	return err
}

func newOrder(intent *pb.TargetIntent, position replica.Position) target.Order {
	return target.Order{
		Operation: strconv.FormatUint(intent.Revision, 10),
		Desired:   desiredNames[intent.Desired],
		Models:    intent.Models,
		Role:      intent.Role,
		Fencing:   target.FencingOf(position),
	}
}

var desiredNames = map[pb.DesiredState]string{
	pb.DesiredState_DESIRED_STATE_SERVE: "serve",
	pb.DesiredState_DESIRED_STATE_DRAIN: "drain",
	pb.DesiredState_DESIRED_STATE_STOP:  "stop",
}

// satisfied reports whether the state of a target satisfies an order. A target that
// checks fencing numbers must also hold the number of this order, so that it refuses
// older orders that are still in transit.
func satisfied(s *target.State, order target.Order, checksFencing bool) bool {
	switch {
	case s.Desired != order.Desired:
		return false
	case len(order.Models) > 0 && !sameSet(s.Models, order.Models):
		return false
	case order.Role != "" && s.Role != order.Role:
		return false
	}
	return !checksFencing || s.Fencing == order.Fencing
}

func sameSet(a, b []string) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(slices.Compact(a), slices.Compact(b))
}
