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
	// DefaultTakeoverWait is how long a new leader waits before its first order:
	// the longest an order of an earlier leader may be under way, and more.
	DefaultTakeoverWait = 3 * time.Second
	// orderTimeout bounds one order; it must be below the wait.
	orderTimeout = 1500 * time.Millisecond
	// verifyDelay is when a target that took an order is read back.
	verifyDelay = 1 * time.Second
	// resyncInterval is how often a target that is as desired is read back.
	resyncInterval = 30 * time.Second
	// scanInterval is how often intents and targets are compared in memory.
	scanInterval = 200 * time.Millisecond
	// ordersPerSecond, ordersBurst and orderWorkers bound calls to targets.
	ordersPerSecond = 200
	ordersBurst     = 50
	orderWorkers    = 8
)

// Intents are the committed intents; state.Machine holds them.
type Intents interface {
	Intents(name string) []*pb.TargetIntent
	Intent(target string) (*pb.TargetIntent, replica.Position)
}

// Targets makes calls to targets; target.Client is one.
type Targets interface {
	State(ctx context.Context, addr string) (*target.State, error)
	Order(ctx context.Context, addr string, order target.Order) error
}

// OrdersConfig holds what Orders works with.
type OrdersConfig struct {
	Leader  Leader
	Intents Intents
	View    fleet.View
	// Targets calls targets; nil means a target.Client.
	Targets Targets
	// TakeoverWait is how long a new leader waits; zero means DefaultOrderWait.
	TakeoverWait time.Duration
	Logger       *log.Logger
	Scope        tally.Scope
}

// Orders brings targets to their intents. It reads a target's state before it
// sends anything, sends only what differs, and reads it back afterwards.
type Orders struct {
	cfg   OrdersConfig
	lease orderLease
	queue *Queue

	mu sync.Mutex
	// verified holds the targets that were seen as desired.
	verified map[string]observation

	sent   tally.Counter
	fenced tally.Counter
}

// observation is what a target was compared with, and when.
type observation struct {
	revision    uint64
	incarnation uint64
	term        uint64
	verifiedAt  time.Time
}

// NewOrders makes the reconciler of orders; Run works until its context ends.
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

// Run works until ctx ends.
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

// scan adds the targets whose intent, incarnation or leader changed since they
// were seen as desired, and those not read back for long.
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
		s, ok := o.verified[intent.Target]
		if ok && s.revision == intent.Revision && s.incarnation == status.Incarnation &&
			s.term == o.lease.currentTerm() && now.Sub(s.verifiedAt) < resyncInterval {
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

// Reconcile implements Reconciler for one target.
func (o *Orders) Reconcile(ctx context.Context, id string) (Result, error) {
	status := o.cfg.View.Target(id)
	intent, _ := o.cfg.Intents.Intent(id)
	if status == nil || intent == nil {
		return Result{}, nil
	}
	if _, err := o.lease.expiry(); err != nil {
		// The scan adds the target again once this process leads.
		return Result{}, nil
	}
	term := o.lease.currentTerm()
	state, err := o.cfg.Targets.State(ctx, status.Addr)
	if err != nil {
		return Result{}, err
	}
	// Read the intent after the state, so that an order already replaced by
	// a newer intent isn't sent on an old reading.
	intent, at := o.cfg.Intents.Intent(id)
	order := newOrder(intent, at)
	if satisfied(state, order, status.ChecksFencing) {
		o.recordVerified(id, observation{intent.Revision, status.Incarnation, term, time.Now()})
		return Result{}, nil
	}
	if err := o.send(ctx, status.Addr, order); err != nil {
		return Result{}, err
	}
	return Result{RequeueAfter: verifyDelay}, nil
}

func (o *Orders) recordVerified(id string, s observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verified[id] = s
}

// send checks the leader's period directly before the order leaves; the order
// is given up when the period ends. What a freeze between the check and the
// send can do is described in docs/design/orders.md.
func (o *Orders) send(ctx context.Context, addr string, order target.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	until, err := o.lease.expiry()
	if err != nil {
		return errs.Wrap(err, target.StepOrder, addr)
	}
	ctx, cancelAtEnd := context.WithDeadline(ctx, until)
	defer cancelAtEnd()
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

func newOrder(intent *pb.TargetIntent, at replica.Position) target.Order {
	return target.Order{
		Operation: strconv.FormatUint(intent.Revision, 10),
		Desired:   desiredNames[intent.Desired],
		Models:    intent.Models,
		Role:      intent.Role,
		Fencing:   target.FencingOf(at),
	}
}

var desiredNames = map[pb.DesiredState]string{
	pb.DesiredState_DESIRED_STATE_SERVE: "serve",
	pb.DesiredState_DESIRED_STATE_DRAIN: "drain",
	pb.DesiredState_DESIRED_STATE_STOP:  "stop",
}

// satisfied compares a target's state with an order. A target that checks
// fencing numbers must also hold this order's number, so that older orders
// which are still under way are refused.
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
