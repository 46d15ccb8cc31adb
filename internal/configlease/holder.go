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
	// DefaultPollInterval is the time from a successful lease request to the next.
	DefaultPollInterval = 400 * time.Millisecond
	// retryInterval is the time from a failed lease request to the next.
	retryInterval = 100 * time.Millisecond
	// requestTimeout is the time limit of one lease request.
	requestTimeout = 1 * time.Second
	// releaseTimeout is the time limit of the call that notifies the leader that
	// this router has released its lease.
	releaseTimeout = 200 * time.Millisecond
)

// LeaseClient sends lease requests to the leader. It is implemented by
// control.Client.
type LeaseClient interface {
	Lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error)
}

// Config holds the settings and dependencies of a Holder.
type Config struct {
	// Router and Incarnation identify this process to the leader.
	Router      string
	Incarnation uint64
	Client      LeaseClient
	// PollInterval is the time from a successful lease request to the next; zero
	// means DefaultPollInterval.
	PollInterval time.Duration
	Logger       *log.Logger
	Scope        tally.Scope
	// OnLease is called each time the lease is obtained or lost, if it is not nil.
	// The calls are made one at a time, in the order of the events. OnLease must
	// not block.
	OnLease func(held bool)
}

// leaseRecord is an immutable record of the latest lease. Readers load it without a
// lock.
type leaseRecord struct {
	revision uint64
	// expiry and requestedAt are on the local monotonic clock.
	expiry      time.Time
	requestedAt time.Time
}

// Holder polls for the lease and keeps the lease and the configuration in memory.
// Run must be called once; the other methods are safe for concurrent use, and only
// Run and WaitFirstLease block.
type Holder struct {
	cfg   Config
	nonce uint64

	latest      atomic.Pointer[leaseRecord]
	config      table
	evacuations evacuations

	// onLeaseMu serialises the calls of OnLease. It also protects held and hadLease.
	onLeaseMu sync.Mutex
	// held is the state that OnLease was last notified of.
	held bool
	// firstLease is closed once the first lease has been obtained; hadLease is then
	// set.
	firstLease chan struct{}
	hadLease   bool

	age      tally.Gauge
	revision tally.Gauge
	failures tally.Counter
	lost     tally.Counter
}

var _ filter.ConfigView = (*Holder)(nil)

// NewHolder returns a holder without a lease. Run obtains and renews the lease.
func NewHolder(cfg Config) *Holder {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	scope := cfg.Scope.SubScope("config")
	h := &Holder{
		cfg:         cfg,
		nonce:       rand.Uint64(),
		config:      newTable(),
		evacuations: newEvacuations(scope),
		firstLease:  make(chan struct{}),
		age:         scope.Gauge("lease_age_seconds"),
		revision:    scope.Gauge("revision"),
		failures:    scope.Counter("lease_failures"),
		lost:        scope.Counter("leases_lost"),
	}
	h.latest.Store(&leaseRecord{})
	return h
}

// Lease returns the revision of the latest lease and the time at which that lease
// ends, which is the zero time before the first lease and after the release of the
// lease. ok reports whether the lease is valid now.
func (h *Holder) Lease() (revision uint64, until time.Time, ok bool) {
	g := h.latest.Load()
	return g.revision, g.expiry, time.Now().Before(g.expiry)
}

// Age returns the time since the request for the latest lease was sent, even if
// that lease has expired. ok is false before the first lease and after the release
// of the lease.
func (h *Holder) Age() (age time.Duration, ok bool) {
	g := h.latest.Load()
	if g.requestedAt.IsZero() {
		return 0, false
	}
	return time.Since(g.requestedAt), true
}

// ContractByKey returns the contract of the bearer key with this SHA-256 hash.
func (h *Holder) ContractByKey(sum [32]byte) (*pb.Contract, bool) {
	return h.config.contractByKey(sum)
}

// Intent returns a target's intent, the state that the operators want it to have, or nil
// if there is none.
func (h *Holder) Intent(target string) *pb.TargetIntent {
	return h.config.intent(target)
}

// Contract returns the contract of a customer, or nil if there is none.
func (h *Holder) Contract(customer string) *pb.Contract { return h.config.contract(customer) }

// Contracts returns all contracts, sorted by customer.
func (h *Holder) Contracts() []*pb.Contract { return h.config.contracts() }

// WaitFirstLease waits until the first lease has been obtained. It returns an
// error if ctx ends before that.
func (h *Holder) WaitFirstLease(ctx context.Context) error {
	select {
	case <-h.firstLease:
		return nil
	case <-ctx.Done():
		return errs.Wrap(ctx.Err(), "first configuration lease", "")
	}
}

// Run obtains and renews the lease until ctx ends. It then ends the lease
// locally and notifies the leader, so that configuration changes do not have to
// wait until the lease of this router expires.
func (h *Holder) Run(ctx context.Context) {
	defer h.releaseLease()
	// The duration does not matter: the timer is reset with each lease, and
	// checkExpiry does nothing before the first.
	expiryTimer := time.AfterFunc(time.Hour, h.checkExpiry)
	defer expiryTimer.Stop()
	for ctx.Err() == nil {
		again, err := h.requestLease(ctx)
		if g := h.latest.Load(); !g.expiry.IsZero() {
			expiryTimer.Reset(time.Until(g.expiry))
		}
		h.updateHeld(h.Lease())
		h.recordMetrics(err)
		if again {
			continue
		}
		h.wait(ctx, err)
	}
}

// releaseLease ends the lease locally and then notifies the leader. In the reverse
// order, a configuration change could become active while this router still serves
// under the previous revision.
func (h *Holder) releaseLease() {
	h.latest.Store(&leaseRecord{revision: h.latest.Load().revision})
	h.onLeaseMu.Lock()
	h.setHeldLocked(false, log.InfoLevel)
	h.onLeaseMu.Unlock()
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
			Msg("could not notify the leader that the lease was released")
	}
}

// wait waits until the next request is due or ctx ends.
func (h *Holder) wait(ctx context.Context, err error) {
	d := h.cfg.PollInterval
	if err != nil {
		d = retryInterval
	}
	// Jitter prevents a fleet that started at the same time from sending its
	// requests at the same time.
	timer := time.NewTimer(d - d/8 + rand.N(d/4))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// requestLease sends one lease request and applies the reply. again is set if
// the next request should follow at once: it fetches the next part after a partial
// reply, and its HeldRevision acknowledges a higher revision to the leader.
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
	// The lease duration starts here, so the delay of the reply shortens the lease.
	sentAt := time.Now()
	reply, err := h.cfg.Client.Lease(ctx, req)
	if err != nil {
		return false, err
	}
	if reply.Nonce != req.Nonce {
		return false, errs.New("configuration lease", reply.LeaderAddr, "the reply has the nonce of another request")
	}
	h.applyEvacuations(reply.Evacuations, reply.LeaderAddr)
	if err := h.config.apply(reply); err != nil {
		return false, errs.Wrap(err, "configuration lease", reply.LeaderAddr)
	}
	if !reply.Partial {
		before := h.latest.Load().revision
		invariant.Check(reply.Revision >= before, "configuration lease", "revision", reply.Revision, "before", before)
		h.latest.Store(&leaseRecord{
			revision:    reply.Revision,
			expiry:      sentAt.Add(time.Duration(reply.LeaseMs) * time.Millisecond),
			requestedAt: sentAt,
		})
	}
	return reply.Partial || reply.Revision > held, nil
}

// updateHeld notifies OnLease if the lease was obtained or lost. It takes the
// results of Lease as parameters.
func (h *Holder) updateHeld(_ uint64, _ time.Time, ok bool) {
	if !ok {
		h.checkExpiry()
		return
	}
	h.onLeaseMu.Lock()
	defer h.onLeaseMu.Unlock()
	if !h.hadLease {
		h.hadLease = true
		close(h.firstLease)
	}
	h.setHeldLocked(true, log.InfoLevel)
}

// checkExpiry notifies OnLease and counts a lost lease if the lease has expired
// since the last notification.
func (h *Holder) checkExpiry() {
	h.onLeaseMu.Lock()
	defer h.onLeaseMu.Unlock()
	if _, _, ok := h.Lease(); ok {
		return
	}
	if h.setHeldLocked(false, log.WarnLevel) {
		h.lost.Inc(1)
	}
}

// setHeldLocked logs a change of held and notifies OnLease. It reports whether
// held changed.
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

// recordMetrics updates the metrics after a lease request. If err is not nil, it
// also counts and logs the failure.
func (h *Holder) recordMetrics(err error) {
	if age, ok := h.Age(); ok {
		h.age.Update(age.Seconds())
	}
	h.revision.Update(float64(h.config.revision()))
	if err == nil {
		return
	}
	h.failures.Inc(1)
	h.cfg.Logger.Debug().Err(err).Str("step", "configuration lease").Str("peer", errs.Peer(err)).Msg("configuration lease request failed")
}
