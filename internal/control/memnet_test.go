package control

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// memNet is a network in memory that carries calls between handlers. The test can
// cut or slow each direction of a link, and inject one fault.
type memNet struct {
	mu       sync.Mutex
	handlers map[string]handlers
	cut      map[[2]string]bool
	delay    map[[2]string]time.Duration
	// frozenUntil is the time until which an address neither receives nor sends
	// messages.
	frozenUntil map[string]time.Time
	down        map[string]bool
	// duplicate is set if each request is handled twice.
	duplicate bool
	// fault runs once, at the first call that reaches the step faultAt at replica
	// a.
	faultAt step
	fault   func()
}

// step is a moment in the handling of a call.
type step struct {
	method string
	moment moment
}

type moment int

const (
	beforeHandler moment = iota + 1
	afterHandler
)

func newMemNet() *memNet {
	return &memNet{
		handlers:    map[string]handlers{},
		cut:         map[[2]string]bool{},
		delay:       map[[2]string]time.Duration{},
		frozenUntil: map[string]time.Time{},
		down:        map[string]bool{},
	}
}

// setCut drops messages from one address to another. The reverse direction is not
// affected.
func (n *memNet) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// setDelay adds a delay to one direction.
func (n *memNet) setDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[[2]string{from, to}] = d
}

// injectAt sets the fault to inject when the next call reaches a step at replica a.
func (n *memNet) injectAt(s step, inject func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultAt, n.fault = s, inject
}

// triggerFault runs the fault if the call has reached its step.
func (n *memNet) triggerFault(addr, method string, req proto.Message, m moment) {
	if submit, ok := req.(*pb.SubmitRequest); ok && submit.Command.GetClaim() != nil {
		method = "claim"
	}
	n.mu.Lock()
	inject := n.fault
	if addr != "a" || n.faultAt != (step{method, m}) {
		inject = nil
	}
	if inject != nil {
		n.fault = nil
	}
	n.mu.Unlock()
	if inject != nil {
		inject()
	}
}

func (n *memNet) freeze(addr string, until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozenUntil[addr] = until
}

func (n *memNet) setDown(addr string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down[addr] = down
}

func (n *memNet) setDuplicate(doubled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicate = doubled
}

func (n *memNet) isDuplicating() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.duplicate
}

// waitThawed waits until an address is no longer frozen. It returns false if ctx
// ends first. If the address is down, waitThawed waits for the end of ctx.
func (n *memNet) waitThawed(ctx context.Context, addr string) bool {
	n.mu.Lock()
	left, down := time.Until(n.frozenUntil[addr]), n.down[addr]
	n.mu.Unlock()
	if !down && (left <= 0 || sleep(ctx, left)) {
		return true
	}
	<-ctx.Done()
	return false
}

// deliver waits for the delivery time of a message. It returns false if ctx ends
// before the message arrives.
func (n *memNet) deliver(ctx context.Context, from, to string) bool {
	n.mu.Lock()
	d := memNetDelay + n.delay[[2]string{from, to}]
	cut := n.cut[[2]string{from, to}]
	n.mu.Unlock()
	if !cut && sleep(ctx, d) {
		return true
	}
	<-ctx.Done()
	return false
}

// link connects one process to the network.
type link struct {
	net  *memNet
	from string
}

func (l link) Call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	if !l.net.deliver(ctx, l.from, addr) {
		return ctx.Err()
	}
	l.net.mu.Lock()
	h := l.net.handlers[addr]
	l.net.mu.Unlock()
	if h == nil {
		return fmt.Errorf("dial %s: %w", addr, transport.ErrNotSent)
	}
	l.net.triggerFault(addr, method, req, beforeHandler)
	if !l.net.waitThawed(ctx, addr) {
		return ctx.Err()
	}
	out, err := handle(ctx, h, proto.Clone(req))
	if l.net.isDuplicating() {
		// The copy is handled after the first request, and its reply is dropped.
		_, _ = handle(ctx, h, proto.Clone(req))
	}
	l.net.triggerFault(addr, method, req, afterHandler)
	if !l.net.waitThawed(ctx, addr) {
		return ctx.Err()
	}
	if !l.net.deliver(ctx, addr, l.from) {
		return ctx.Err()
	}
	if err != nil {
		return transport.NewStatusError(transport.Status(err), err.Error())
	}
	proto.Merge(resp, out)
	return nil
}

func handle(ctx context.Context, h handlers, req proto.Message) (proto.Message, error) {
	switch r := req.(type) {
	case *pb.SubmitRequest:
		return h.submit(ctx, r)
	case *pb.LeaseRequest:
		return h.lease(ctx, r)
	case *pb.InForceRequest:
		return h.inForce(ctx, r)
	case *pb.QueryRequest:
		return h.query(ctx, r)
	case *pb.ReplicaChangeRequest:
		return h.replicaChange(ctx, r)
	}
	return nil, fmt.Errorf("no handler for %T", req)
}

func (n *memNet) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.delay)
}
