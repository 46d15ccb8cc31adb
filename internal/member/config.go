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

// DefaultSyncDatagrams is the most datagrams that answer one comparison.
const DefaultSyncDatagrams = 6

// Intervals are the periods of the protocol; zero fields take the defaults.
type Intervals struct {
	// Probe is the time between two probes of a router.
	Probe time.Duration
	// ProbeTimeout is how long a router waits for a direct answer before it
	// asks helpers, and then for theirs.
	ProbeTimeout time.Duration
	// Suspect is how long a suspected router has to refute. It is multiplied
	// by the logarithm of the fleet's size above ten routers.
	Suspect time.Duration
	// TargetLease is how long a target stays listed without fresh news.
	TargetLease time.Duration
	// Sync is the least time between two syncs that a difference starts.
	Sync time.Duration
	// Join is the time between tries to join while no other router is known.
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

// Config sets up membership of one router.
type Config struct {
	// Self is this router's status; its incarnation must grow with each start.
	Self *pb.RouterStatus
	// Seeds are peer addresses (IP number and port) to join through. The
	// router's own address may be among them.
	Seeds []string
	// Remembered are peer addresses at which routers were before this start. They are
	// told of this router at once.
	Remembered []string
	// RememberedTargets are targets that were known before this start.
	RememberedTargets []*pb.TargetStatus
	// Conn receives datagrams at Self's peer address. Close closes it.
	Conn net.PacketConn
	// Token authenticates datagrams within the fleet.
	Token string
	// Budget bounds what is sent; nil makes one with the defaults.
	Budget *budget.Budget
	Logger *log.Logger
	// OnInFlight is told of other routers' requests in flight; optional.
	OnInFlight func(router string, f InFlight)
	// OnPlacing is told of messages about places, with their sender and its peer
	// address; optional.
	OnPlacing func(router, addr string, p *pb.Placing)
	// Scope takes the metrics; nil drops them.
	Scope     tally.Scope
	Intervals Intervals
	// SyncDatagrams bounds the answer to one comparison of views that differ; zero
	// means the default. What doesn't fit follows at the next one.
	SyncDatagrams int
}

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
