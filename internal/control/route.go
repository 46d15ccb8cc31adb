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
	// tryTimeout bounds one try of a command at one address.
	tryTimeout = 1 * time.Second
	// hedgeDelay is how long a read waits for one address before it asks the
	// next one too.
	hedgeDelay = 200 * time.Millisecond
	// maxTries bounds the addresses that one pass tries.
	maxTries = 8
	// avoidFor is how long an address that failed is tried last.
	avoidFor = 2 * time.Second
	// maxAvoided bounds the addresses remembered as failed.
	maxAvoided = 64
)

// route chooses the addresses for calls towards the leader: the leader last
// seen, then replicas, then relays, and those that failed lately at the end.
type route struct {
	calls    caller
	replicas func() []string
	relays   func() []string
	done     sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	leader  string
	avoided map[string]time.Time
}

func newRoute(calls caller, replicas, relays func() []string) *route {
	if relays == nil {
		relays = func() []string { return nil }
	}
	return &route{
		calls:    calls,
		replicas: replicas,
		relays:   relays,
		avoided:  make(map[string]time.Time),
	}
}

// known returns the leader last seen, unless it failed lately.
func (r *route) known() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.avoided[r.leader]) {
		return ""
	}
	return r.leader
}

func (r *route) addresses() []string {
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
		case now.Before(r.avoided[addr]):
			bad = append(bad, addr)
		default:
			good = append(good, addr)
		}
	}
	all := append(good, bad...)
	return all[:min(maxTries, len(all))]
}

func shuffle(addrs []string) {
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
}

// learn remembers how a call to addr ended; leader is the address that the
// reply names, if any.
func (r *route) learn(addr, leader string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		delete(r.avoided, addr)
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

func (r *route) avoidLocked(addr string) {
	if len(r.avoided) >= maxAvoided {
		clear(r.avoided)
	}
	r.avoided[addr] = time.Now().Add(avoidFor)
}

// avoid tries addresses last for a while.
func (r *route) avoid(addrs []string) {
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
func (r *route) call(ctx context.Context, addr, method string, req, resp proto.Message) error {
	err := r.calls.Call(ctx, addr, method, req, resp)
	leader := ""
	if named, ok := resp.(leaderNamer); ok {
		leader = named.GetLeaderAddr()
	}
	if !errors.Is(err, context.Canceled) {
		r.learn(addr, leader, err)
	}
	return err
}

// once tries a command at one address after another, as long as the tries are
// known to have had no effect. Any other failure ends the pass. While the
// leader is known, no other address is looked up.
func (r *route) once(ctx context.Context, method string, req, resp proto.Message) error {
	err := errNoAddress(method)
	leader := r.known()
	if leader != "" {
		err = r.try(ctx, leader, method, req, resp)
		if err == nil || !nothingHappened(err) {
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
		err = r.try(ctx, addr, method, req, resp)
		if err == nil || !nothingHappened(err) {
			return err
		}
	}
	return err
}

// try makes one call of a bounded time.
func (r *route) try(ctx context.Context, addr, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	return r.call(ctx, addr, method, req, resp)
}

func errNoAddress(step string) error {
	return errs.Wrap(transport.ErrNotSent, step, "")
}

// read asks the addresses one after another, without waiting long for a silent
// one, and returns the first answer. Those that were asked before the one that
// answered, and stayed silent, are avoided for a while.
func read[T any, R interface {
	*T
	proto.Message
}](ctx context.Context, r *route, method string, req proto.Message) (R, error) {
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
		return r.begin(func() {
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

// begin runs call in the background; it returns false after close.
func (r *route) begin(call func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.done.Go(call)
	return true
}

// close lets no more reads begin and waits for those under way.
func (r *route) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.done.Wait()
}
