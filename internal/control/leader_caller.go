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
	// maxAddresses bounds the addresses of one pass.
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
	wg       sync.WaitGroup

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
func (r *leaderCaller) knownLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.avoidUntil[r.leader]) {
		return ""
	}
	return r.leader
}

// addresses returns up to maxAddresses addresses in the order in which to try
// them. Replicas and relays are shuffled.
func (r *leaderCaller) addresses() []string {
	replicas, relays := slices.Clone(r.replicas()), slices.Clone(r.relays())
	shuffle(replicas)
	shuffle(relays)
	r.mu.Lock()
	defer r.mu.Unlock()
	var first []string
	if r.leader != "" {
		first = append(first, r.leader)
	}
	var good, bad []string
	now := time.Now()
	for _, addr := range slices.Concat(first, replicas, relays) {
		switch {
		case slices.Contains(good, addr) || slices.Contains(bad, addr):
		case now.Before(r.avoidUntil[addr]):
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
func (r *leaderCaller) recordResult(addr, leader string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.avoidUntil, addr)
		if leader != "" {
			r.leader = leader
		}
	case isRemote(err):
		// The peer is alive, but it is not the leader or can't reach it.
		if r.leader == addr {
			r.leader = ""
		}
	default:
		r.avoidLocked(addr)
	}
}

func (r *leaderCaller) avoidLocked(addr string) {
	if len(r.avoidUntil) >= maxAvoided {
		clear(r.avoidUntil)
	}
	r.avoidUntil[addr] = time.Now().Add(avoidPeriod)
}

// avoid moves addresses to the end of the order for avoidPeriod.
func (r *leaderCaller) avoid(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range addrs {
		r.avoidLocked(addr)
	}
}

// isRemote reports whether the peer itself replied with the error.
func isRemote(err error) bool {
	var remote *transport.RemoteError
	return errors.As(err, &remote)
}

// leaderNamer is a reply that names the leader.
type leaderNamer interface{ GetLeaderAddr() string }

// call makes one call and records its result, unless the call was cancelled.
func (r *leaderCaller) call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	err := r.peers.Call(ctx, addr, method, req, resp)
	leader := ""
	if named, ok := resp.(leaderNamer); ok {
		leader = named.GetLeaderAddr()
	}
	if !errors.Is(err, context.Canceled) {
		r.recordResult(addr, leader, err)
	}
	return err
}

// callInOrder sends a command to one address after another, as long as the failed
// calls are known to have had no effect. Any other failure ends the pass. The known
// leader is called first, and the other addresses are looked up only if that call
// fails without effect.
func (r *leaderCaller) callInOrder(ctx context.Context, method string, req, resp proto.Message) error {
	err := errNoAddress(method)
	leader := r.knownLeader()
	if leader != "" {
		err = r.callWithTimeout(ctx, leader, method, req, resp)
		if err == nil || !hadNoEffect(err) {
			return err
		}
	}
	for _, addr := range r.addresses() {
		if ctx.Err() != nil {
			return err
		}
		if addr == leader {
			continue
		}
		err = r.callWithTimeout(ctx, addr, method, req, resp)
		if err == nil || !hadNoEffect(err) {
			return err
		}
	}
	return err
}

// callWithTimeout makes one call that is bounded by callTimeout.
func (r *leaderCaller) callWithTimeout(ctx context.Context, addr, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.call(ctx, addr, method, req, resp)
}

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
}](ctx context.Context, r *leaderCaller, method string, req proto.Message) (R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		index int
		resp  R
		err   error
	}
	addrs := r.addresses()
	results := make(chan result, len(addrs))
	// unanswered holds the addresses without a reply so far; an address that
	// has replied is replaced by "".
	unanswered := slices.Clone(addrs)
	next := 0
	callNext := func() bool {
		index, addr := next, addrs[next]
		next++
		return r.goUnlessClosed(func() {
			resp := R(new(T))
			err := r.call(ctx, addr, method, req, resp)
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
		case a := <-results:
			unanswered[a.index] = ""
			if a.err == nil {
				r.avoid(slices.DeleteFunc(unanswered[:a.index], func(s string) bool { return s == "" }))
				return a.resp, nil
			}
			err = a.err
			failed++
			hedge.Reset(0)
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), method, "")
		}
	}
	return nil, err
}

// goUnlessClosed runs call in a goroutine that close waits for. It returns false
// after close.
func (r *leaderCaller) goUnlessClosed(call func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.wg.Go(call)
	return true
}

// close prevents further calls of reads and waits for the running ones.
func (r *leaderCaller) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wg.Wait()
}
