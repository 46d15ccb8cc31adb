package member

import (
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/budget"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// Defaults of the intervals.
const (
	DefaultProbeInterval  = 150 * time.Millisecond
	DefaultProbeTimeout   = 200 * time.Millisecond
	DefaultSuspectTimeout = 1500 * time.Millisecond
	DefaultTargetLease    = 2500 * time.Millisecond
	DefaultSyncInterval   = 500 * time.Millisecond
	DefaultJoinInterval   = 500 * time.Millisecond
)

// DefaultSyncDatagrams is the maximum number of datagrams in the reply to one sync
// request.
const DefaultSyncDatagrams = 6

// Intervals are the periods of the protocol; zero fields take the defaults.
type Intervals struct {
	// Probe is the time between two probes that a router sends.
	Probe time.Duration
	// ProbeTimeout is how long a router waits for the acknowledgement of a direct probe
	// before it requests indirect probes. It waits twice as long for the result of the
	// indirect probes.
	ProbeTimeout time.Duration
	// Suspect is how long a suspected router has to refute the suspicion. Above ten
	// routers it is multiplied by the base-10 logarithm of their number.
	Suspect time.Duration
	// TargetLease is how long a target stays listed after the last proof that it
	// announced itself.
	TargetLease time.Duration
	// Sync is the minimum time between two syncs that differing views trigger.
	Sync time.Duration
	// Join is the time between attempts to join while no other router is known or
	// cached peers are still to be notified of the start. It is also the minimum time
	// between two syncs that follow referrals (replies to a sync request that only name
	// other routers to sync with).
	Join time.Duration
}

func (i Intervals) withDefaults() Intervals {
	setDefault(&i.Probe, DefaultProbeInterval)
	setDefault(&i.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&i.Suspect, DefaultSuspectTimeout)
	setDefault(&i.TargetLease, DefaultTargetLease)
	setDefault(&i.Sync, DefaultSyncInterval)
	setDefault(&i.Join, DefaultJoinInterval)
	return i
}

func setDefault(d *time.Duration, def time.Duration) {
	if *d == 0 {
		*d = def
	}
}

// Config configures the membership of one router.
type Config struct {
	// Self is this router's status; its incarnation must increase with each start.
	Self *pb.RouterStatus
	// Seeds are peer addresses (IP address and port) to join through. This router's
	// address may be among them.
	Seeds []string
	// CachedPeers are peer addresses of routers that were known before this start. This
	// router announces its start to them at once.
	CachedPeers []string
	// CachedTargets are targets that were known before this start.
	CachedTargets []*pb.TargetStatus
	// CachedNotices name the targets, and their incarnations, that were known to leave before
	// this start.
	CachedNotices []*pb.TargetStatus
	// Conn receives datagrams at the peer address in Self. Close closes it.
	Conn net.PacketConn
	// Token authenticates datagrams within the fleet.
	Token string
	// Budget limits the bytes sent; if it is nil, a budget with the defaults is used.
	Budget *budget.Budget
	Logger *log.Logger
	// OnInFlight receives the in-flight counts that other routers send; optional.
	OnInFlight func(router string, f InFlight)
	// OnPlacing receives each placement message, which concerns a slot at a target,
	// with the sending router's id and the peer address that it was sent from;
	// optional.
	OnPlacing func(router, addr string, p *pb.Placing)
	// OnQuarantine receives each message about parts of prompts that crash targets, with
	// the sending router's id and the peer address that it was sent from; optional.
	OnQuarantine func(router, addr string, q *pb.Quarantine)
	// NoticeCopies is the number of other routers that must hold the notice that a target
	// leaves before HandOffLeaving returns.
	NoticeCopies int
	// Scope receives the metrics; if it is nil, they are dropped.
	Scope     tally.Scope
	Intervals Intervals
	// SyncDatagrams limits the datagrams in the reply to one sync request; zero means
	// the default. Entries that do not fit are left to the reply to a later request.
	SyncDatagrams int
}

// complete validates the configuration and sets the defaults.
func (c *Config) complete() error {
	const step = "membership settings"
	switch {
	case c.Self.GetId() == "":
		return errs.New(step, "", "the router's id is empty")
	case c.Self.Incarnation == 0:
		return errs.New(step, "", "the router's incarnation is zero")
	case c.Conn == nil:
		return errs.New(step, "", "no datagram connection")
	case c.Token == "":
		return errs.New(step, "", "the peer token is empty")
	case c.Logger == nil:
		return errs.New(step, "", "no logger")
	}
	if c.Budget == nil {
		c.Budget = budget.New(budget.Config{Scope: c.Scope})
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	c.Intervals = c.Intervals.withDefaults()
	return nil
}
