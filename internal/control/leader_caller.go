package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// callTimeout bounds one call of a command to one address.
	callTimeout = 1 * time.Second
	// hedgeDelay is how long a read waits for one address before it also calls
	// the next one.
	hedgeDelay = 200 * time.Millisecond
	// maxAddresses bounds the addresses that one pass calls.
	maxAddresses = 8
	// avoidPeriod is how long an address that failed stays at the end of the
	// order of addresses.
	avoidPeriod = 2 * time.Second
	// maxAvoided bounds the number of addresses that are recorded as failed.
	maxAvoided = 64
)

// leaderCaller makes calls that must reach the leader. It tries addresses in this
// order: the last known leader, the replicas, the relays. Addresses that have
// failed within avoidPeriod come last.
type leaderCaller struct {
	peers    peerCaller
	replicas func() []string
	relays   func() []string
	// wg counts the running calls of hedged reads.
	wg sync.WaitGroup

	mu         sync.Mutex
	closed     bool
	leader     string
	avoidUntil map[string]time.Time
}

func newLeaderCaller(peers peerCaller, replicas, relays func() []string) *leaderCaller {
	if relays == nil {
		relays = func() []string { return nil }
	}
	return &leaderCaller{
		peers:      peers,
		replicas:   replicas,
		relays:     relays,
		avoidUntil: make(map[string]time.Time),
	}
}

// knownLeader returns the address of the last known leader, or "" if there is none
// or it has failed within avoidPeriod.
func (c *leaderCaller) knownLeader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.avoidUntil[c.leader]) {
		return ""
	}
	return c.leader
}

// addresses returns up to maxAddresses addresses in the order in which to try
// them. Replicas and relays are shuffled.
func (c *leaderCaller) addresses() []string {
	replicas, relays := slices.Clone(c.replicas()), slices.Clone(c.relays())
	shuffle(replicas)
	shuffle(relays)
	c.mu.Lock()
	defer c.mu.Unlock()
	var first []string
	if c.leader != "" {
		first = append(first, c.leader)
	}
	var good, bad []string
	now := time.Now()
	for _, addr := range slices.Concat(first, replicas, relays) {
		switch {
		case slices.Contains(good, addr) || slices.Contains(bad, addr):
		case now.Before(c.avoidUntil[addr]):
			bad = append(bad, addr)
		default:
			good = append(good, addr)
		}
	}
	all := append(good, bad...)
	return all[:min(maxAddresses, len(all))]
}

func shuffle(addrs []string) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// recordResult updates the known leader and the failed addresses after a call to
// addr. leader is the address that the reply names, or "".
func (c *leaderCaller) recordResult(addr, leader string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		delete(c.avoidUntil, addr)
		if leader != "" {
			c.leader = leader
		}
	case isRemote(err):
		// The peer is alive, but it is not the leader or can't reach it.
		if c.leader == addr {
			c.leader = ""
		}
	default:
		c.avoidLocked(addr)
	}
}

// avoidLocked records that addr has failed. If maxAvoided addresses are recorded, it
// first removes them all.
func (c *leaderCaller) avoidLocked(addr string) {
	if len(c.avoidUntil) >= maxAvoided {
		clear(c.avoidUntil)
	}
	c.avoidUntil[addr] = time.Now().Add(avoidPeriod)
}

// avoid moves addresses to the end of the order for avoidPeriod.
func (c *leaderCaller) avoid(addrs []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range addrs {
		c.avoidLocked(addr)
	}
}

// isRemote reports whether the peer itself replied with the error.
func isRemote(err error) bool {
	var remote *transport.StatusError
	return errors.As(err, &remote)
}

// leaderNamer is a reply that names the leader.
type leaderNamer interface{ GetLeaderAddr() string }

// call makes one call and records its result, unless the call was cancelled.
func (c *leaderCaller) call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	err := c.peers.Call(ctx, addr, method, req, resp)
	leader := ""
	if named, ok := resp.(leaderNamer); ok {
		leader = named.GetLeaderAddr()
	}
	if !errors.Is(err, context.Canceled) {
		c.recordResult(addr, leader, err)
	}
	return err
}

// callInOrder sends a command to one address after another, as long as the failed
// calls are known to have had no effect. Any other failure ends the pass. The known
// leader is called first, and the other addresses are looked up only if that call
// fails without effect.
func (c *leaderCaller) callInOrder(ctx context.Context, method string, req, resp proto.Message) error {
	err := errNoAddress(method)
	leader := c.knownLeader()
	if leader != "" {
		err = c.callWithTimeout(ctx, leader, method, req, resp)
		if err == nil || !hadNoEffect(err) {
			return err
		}
	}
	for _, addr := range c.addresses() {
		if ctx.Err() != nil {
			return err
		}
		if addr == leader {
			continue
		}
		err = c.callWithTimeout(ctx, addr, method, req, resp)
		if err == nil || !hadNoEffect(err) {
			return err
		}
	}
	return err
}

// callWithTimeout makes one call that is bounded by callTimeout.
func (c *leaderCaller) callWithTimeout(ctx context.Context, addr, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.call(ctx, addr, method, req, resp)
}

// errNoAddress is the error of a call for which no address is known.
func errNoAddress(step string) error {
	return errs.Wrap(transport.ErrNotSent, step, "")
}

// hedgedRead makes a hedged read: it calls the addresses one after another and
// moves on to the next address after a failure, or after hedgeDelay without a
// reply. It returns the first successful reply. Addresses that were called earlier
// than the one that succeeded and have not replied are avoided for avoidPeriod.
func hedgedRead[T any, R interface {
	*T
	proto.Message
}](ctx context.Context, c *leaderCaller, method string, req proto.Message) (R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		index int
		resp  R
		err   error
	}
	addrs := c.addresses()
	results := make(chan result, len(addrs))
	// unanswered holds the addresses without a reply so far; an address that
	// has replied is replaced by "".
	unanswered := slices.Clone(addrs)
	next := 0
	callNext := func() bool {
		index, addr := next, addrs[next]
		next++
		return c.goUnlessClosed(func() {
			resp := R(new(T))
			err := c.call(ctx, addr, method, req, resp)
			results <- result{index, resp, err}
		})
	}
	err := errNoAddress(method)
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for failed := 0; failed < len(addrs); {
		select {
		case <-hedge.C:
			if next == len(addrs) {
				continue
			}
			if !callNext() {
				return nil, err
			}
			hedge.Reset(hedgeDelay)
		case res := <-results:
			unanswered[res.index] = ""
			if res.err == nil {
				c.avoid(slices.DeleteFunc(unanswered[:res.index], func(s string) bool { return s == "" }))
				return res.resp, nil
			}
			err = res.err
			failed++
			hedge.Reset(0)
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), method, "")
		}
	}
	return nil, err
}

// goUnlessClosed starts call in a goroutine that close waits for. It reports
// whether the call was started, which is false after close.
func (c *leaderCaller) goUnlessClosed(call func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wg.Go(call)
	return true
}

// close prevents further calls of reads and waits for the running ones.
func (c *leaderCaller) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wg.Wait()
}
