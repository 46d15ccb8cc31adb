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
	// callTimeout bounds one try of a command at one address.
	callTimeout = 1 * time.Second
	// hedgeDelay is how long a read waits for one address before it asks the
	// next one too.
	hedgeDelay = 200 * time.Millisecond
	// maxAddresses bounds the addresses that one pass tries.
	maxAddresses = 8
	// avoidPeriod is how long an address that failed is tried last.
	avoidPeriod = 2 * time.Second
	// maxAvoided bounds the addresses remembered as failed.
	maxAvoided = 64
)

// leaderCaller chooses the addresses for calls towards the leader: the leader last
// seen, then replicas, then relays, and those that failed lately at the end.
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

func newLeaderCaller(calls peerCaller, replicas, relays func() []string) *leaderCaller {
	if relays == nil {
		relays = func() []string { return nil }
	}
	return &leaderCaller{
		peers:      calls,
		replicas:   replicas,
		relays:     relays,
		avoidUntil: make(map[string]time.Time),
	}
}

// knownLeader returns the leader last seen, unless it failed lately.
func (r *leaderCaller) knownLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.avoidUntil[r.leader]) {
		return ""
	}
	return r.leader
}

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

// recordResult remembers how a call to addr ended; leader is the address that the
// reply names, if any.
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
		// The peer is alive but not the leader, or can't reach it.
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

// avoid tries addresses last for a while.
func (r *leaderCaller) avoid(addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, addr := range addrs {
		r.avoidLocked(addr)
	}
}

func isRemote(err error) bool {
	var remote *transport.RemoteError
	return errors.As(err, &remote)
}

// leaderNamer is a reply that names the leader.
type leaderNamer interface{ GetLeaderAddr() string }

// call makes one call and learns from it.
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

// callInOrder tries a command at one address after another, as long as the tries are
// known to have had no effect. Any other failure ends the pass. While the
// leader is known, no other address is looked up.
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

// callWithTimeout makes one call of a bounded time.
func (r *leaderCaller) callWithTimeout(ctx context.Context, addr, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.call(ctx, addr, method, req, resp)
}

func errNoAddress(step string) error {
	return errs.Wrap(transport.ErrNotSent, step, "")
}

// hedgedRead asks the addresses one after another, without waiting long for a silent
// one, and returns the first answer. Those that were asked before the one that
// answered, and stayed silent, are avoided for a while.
func hedgedRead[T any, R interface {
	*T
	proto.Message
}](ctx context.Context, r *leaderCaller, method string, req proto.Message) (R, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		from int
		resp R
		err  error
	}
	addrs := r.addresses()
	answers := make(chan answer, len(addrs))
	// silent holds the addresses asked so far that haven't answered.
	silent := slices.Clone(addrs)
	next := 0
	ask := func() bool {
		from, addr := next, addrs[next]
		next++
		return r.goUnlessClosed(func() {
			resp := R(new(T))
			err := r.call(ctx, addr, method, req, resp)
			answers <- answer{from, resp, err}
		})
	}
	err := errNoAddress(method)
	hedge := time.NewTimer(0)
	defer hedge.Stop()
	for ended := 0; ended < len(addrs); {
		select {
		case <-hedge.C:
			if next == len(addrs) {
				continue
			}
			if !ask() {
				return nil, err
			}
			hedge.Reset(hedgeDelay)
		case a := <-answers:
			silent[a.from] = ""
			if a.err == nil {
				r.avoid(slices.DeleteFunc(silent[:a.from], func(s string) bool { return s == "" }))
				return a.resp, nil
			}
			err = a.err
			ended++
			hedge.Reset(0)
		case <-ctx.Done():
			return nil, errs.Wrap(ctx.Err(), method, "")
		}
	}
	return nil, err
}

// goUnlessClosed runs call in the background; it returns false after close.
func (r *leaderCaller) goUnlessClosed(call func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.wg.Go(call)
	return true
}

// close lets no more reads begin and waits for those under way.
func (r *leaderCaller) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.wg.Wait()
}
