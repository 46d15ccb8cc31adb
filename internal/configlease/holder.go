package configlease

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// DefaultPollInterval is the pause between two requests for the lease.
	DefaultPollInterval = 400 * time.Millisecond
	// retryInterval is the pause after a request that failed.
	retryInterval = 100 * time.Millisecond
	// requestTimeout bounds one request for the lease.
	requestTimeout = 1 * time.Second
	// releaseTimeout bounds telling the leader that this router serves no more.
	releaseTimeout = 200 * time.Millisecond
)

// LeaseClient asks the leader for a lease; control.Client is one.
type LeaseClient interface {
	Lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error)
}

// Config holds what a Holder works with.
type Config struct {
	// Router and Incarnation name this process to the leader.
	Router      string
	Incarnation uint64
	Client      LeaseClient
	// PollInterval is the pause between requests; zero means DefaultPoll.
	PollInterval time.Duration
	Logger       *log.Logger
	Scope        tally.Scope
	// OnLease is told each time the lease is won or lost, in that order and
	// one call at a time; nil for none. It must not block.
	OnLease func(held bool)
}

// grant is the lease as the request path reads it.
type grant struct {
	revision uint64
	// expiry and asked are on the local monotonic clock.
	expiry      time.Time
	requestedAt time.Time
}

// Holder polls for the lease and answers the request path from memory.
type Holder struct {
	cfg   Config
	nonce uint64

	grant  atomic.Pointer[grant]
	config table

	// hookMu orders the calls of OnLease.
	hookMu     sync.Mutex
	held       bool
	firstLease chan struct{}
	hadLease   bool

	age      tally.Gauge
	revision tally.Gauge
	failures tally.Counter
	lost     tally.Counter
}

var _ filter.ConfigView = (*Holder)(nil)

// NewHolder makes a holder without lease; Run keeps it up.
func NewHolder(cfg Config) *Holder {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	scope := cfg.Scope.SubScope("config")
	h := &Holder{
		cfg:        cfg,
		nonce:      rand.Uint64(),
		config:     newTable(),
		firstLease: make(chan struct{}),
		age:        scope.Gauge("lease_age_seconds"),
		revision:   scope.Gauge("revision"),
		failures:   scope.Counter("lease_failures"),
		lost:       scope.Counter("leases_lost"),
	}
	h.grant.Store(&grant{})
	return h
}

// Lease returns the revision in force here and the end of the lease; ok is
// false if the lease does not hold now.
func (h *Holder) Lease() (revision uint64, until time.Time, ok bool) {
	g := h.grant.Load()
	return g.revision, g.expiry, time.Now().Before(g.expiry)
}

// Age returns the time since the evidence of the present lease was asked for;
// ok is false if there never was a lease.
func (h *Holder) Age() (age time.Duration, ok bool) {
	g := h.grant.Load()
	if g.requestedAt.IsZero() {
		return 0, false
	}
	return time.Since(g.requestedAt), true
}

// ContractByKey finds the contract of the bearer key with this SHA-256 sum.
func (h *Holder) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	return h.config.contractByKey(sum)
}

// Intent returns the operators' intent for a target, nil if there is none.
func (h *Holder) Intent(target string) *pb.TargetIntent {
	return h.config.intent(target)
}

// Contract returns the contract of a customer, nil if there is none.
func (h *Holder) Contract(customer string) *pb.Contract { return h.config.contract(customer) }

// Contracts returns the contracts held, by customer.
func (h *Holder) Contracts() []*pb.Contract { return h.config.contracts() }

// WaitFirst returns once the first lease was won, or with ctx's error.
func (h *Holder) WaitFirst(ctx context.Context) error {
	select {
	case <-h.firstLease:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), "first configuration lease", "")
	}
}

// Run keeps the lease until ctx ends; then it ends the lease here and tells the
// leader, so that no change waits for this router.
func (h *Holder) Run(ctx context.Context) {
	defer h.releaseLease()
	expiry := time.AfterFunc(time.Hour, h.checkExpiry)
	defer expiry.Stop()
	for ctx.Err() == nil {
		again, err := h.requestLease(ctx)
		if g := h.grant.Load(); !g.expiry.IsZero() {
			expiry.Reset(time.Until(g.expiry))
		}
		h.updateHeld(h.Lease())
		h.recordMetrics(err)
		if again {
			continue
		}
		h.wait(ctx, err)
	}
}

// releaseLease ends the lease before it tells the leader: the other way round, a
// change could be in force while this router still serves without it.
func (h *Holder) releaseLease() {
	h.grant.Store(&grant{revision: h.grant.Load().revision})
	h.hookMu.Lock()
	h.setHeldLocked(false, log.InfoLevel)
	h.hookMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := h.cfg.Client.Lease(ctx, &pb.LeaseRequest{
		Router:       h.cfg.Router,
		Incarnation:  h.cfg.Incarnation,
		HeldRevision: h.config.revision(),
		GiveUp:       true,
	})
	if err != nil {
		h.cfg.Logger.Debug().Err(err).Str("step", "configuration lease").Str("peer", errs.Peer(err)).
			Msg("the leader was not told that the lease ended")
	}
}

func (h *Holder) wait(ctx context.Context, err error) {
	d := h.cfg.PollInterval
	if err != nil {
		d = retryInterval
	}
	// Jitter keeps a fleet that started at once from asking at once.
	timer := time.NewTimer(d - d/8 + rand.N(d/4))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestLease makes one request. again tells that the next one should follow at once:
// to fetch the rest, or to acknowledge what was applied.
func (h *Holder) requestLease(ctx context.Context) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	h.nonce++
	held := h.config.revision()
	req := &pb.LeaseRequest{
		Router:       h.cfg.Router,
		Incarnation:  h.cfg.Incarnation,
		Nonce:        h.nonce,
		HeldRevision: held,
	}
	// The lease counts from here: whatever delays the answer shortens it.
	asked := time.Now()
	reply, err := h.cfg.Client.Lease(ctx, req)
	if err != nil {
		return false, err
	}
	if reply.Nonce != req.Nonce {
		return false, errs.New("configuration lease", reply.LeaderAddr, "the evidence answers another request")
	}
	if err := h.config.apply(reply); err != nil {
		return false, errs.Wrap(err, "configuration lease", reply.LeaderAddr)
	}
	if !reply.Partial {
		before := h.grant.Load().revision
		invariant.Check(reply.Revision >= before, "configuration lease", "revision", reply.Revision, "before", before)
		h.grant.Store(&grant{
			revision:    reply.Revision,
			expiry:      asked.Add(time.Duration(reply.LeaseMs) * time.Millisecond),
			requestedAt: asked,
		})
	}
	return reply.Partial || reply.Revision > held, nil
}

// updateHeld tells the hook if the lease was won.
func (h *Holder) updateHeld(_ uint64, _ time.Time, ok bool) {
	if !ok {
		h.checkExpiry()
		return
	}
	h.hookMu.Lock()
	defer h.hookMu.Unlock()
	if !h.hadLease {
		h.hadLease = true
		close(h.firstLease)
	}
	h.setHeldLocked(true, log.InfoLevel)
}

// checkExpiry tells the hook if the lease has ended.
func (h *Holder) checkExpiry() {
	h.hookMu.Lock()
	defer h.hookMu.Unlock()
	if _, _, ok := h.Lease(); ok {
		return
	}
	if h.setHeldLocked(false, log.WarnLevel) {
		h.lost.Inc(1)
	}
}

// setHeldLocked tells the hook of a change; it returns whether there was one.
func (h *Holder) setHeldLocked(held bool, level log.Level) bool {
	if h.held == held {
		return false
	}
	h.held = held
	revision, _, _ := h.Lease()
	h.cfg.Logger.WithLevel(level).Str("step", "configuration lease").Uint64("revision", revision).Bool("held", held).Msg("the configuration lease changed")
	if h.cfg.OnLease != nil {
		h.cfg.OnLease(held)
	}
	return true
}

func (h *Holder) recordMetrics(err error) {
	if age, ok := h.Age(); ok {
		h.age.Update(age.Seconds())
	}
	h.revision.Update(float64(h.config.revision()))
	if err == nil {
		return
	}
	h.failures.Inc(1)
	h.cfg.Logger.Debug().Err(err).Str("step", "configuration lease").Str("peer", errs.Peer(err)).Msg("no lease")
}
