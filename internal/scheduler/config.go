package scheduler

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wigeonwood/wigeonwood/internal/fairqueue"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// refreshInterval is how often the scheduler reads the targets from the
	// view.
	refreshInterval = 200 * time.Millisecond
	// absentTargetTTL is how long the state of an absent target is kept, so that
	// the chats of a target that is absent only for a short time stay assigned to
	// the target.
	absentTargetTTL = 2 * time.Minute
	// hintDirectorySize bounds the chats for which this router caches the engine
	// of the last request, see Scheduler.recentPlacements.
	hintDirectorySize = 16384
	// cacheEventBytesPerSecond and cacheEventBurstBytes bound the cache events
	// that are forwarded to other routers if Config.AllowCacheEvents is nil.
	cacheEventBytesPerSecond = 512
	cacheEventBurstBytes     = 4096
	// resyncInterval is the minimum time between two resyncs of one engine. In a
	// resync the engine sends the full content of its prefix cache.
	resyncInterval = 1 * time.Minute
)

// maxWaits holds the wait limits in the queue by class. The deadline of a request
// may reduce its limit, see maxWait.
var maxWaits = map[filter.Class]time.Duration{
	filter.ClassCheck: 5 * time.Second,
	filter.ClassNote:  20 * time.Second,
	filter.ClassDraft: 50 * time.Second,
}

// Config holds the dependencies and settings of a scheduler. Self, View,
// ConfigView, Peers, Server and Logger are required. A zero value of another field
// means its default.
type Config struct {
	// Self is this router's id.
	Self string
	// View provides the routers and targets of the fleet.
	View fleet.View
	// ConfigView provides the configuration lease and the intents of targets.
	ConfigView filter.ConfigView
	// Peers makes calls to other routers; Server receives their calls. New
	// registers the scheduler's methods, so New must run before the server
	// serves.
	Peers  *transport.Pool
	Server *transport.Server
	Logger *log.Logger
	Scope  tally.Scope
	// BoundFactor, SlowStart, QueueLength and DirectorySize are settings of the
	// pool of each group that this router owns, see pool.Config. BoundFactor is
	// pool.Config.Factor.
	BoundFactor   float64
	SlowStart     time.Duration
	QueueLength   int
	DirectorySize int
	// ReconcileInterval is how often this router reports the slots that it
	// holds to each owner.
	ReconcileInterval time.Duration
	// AllowCacheEvents reports whether the bandwidth budget for control traffic
	// permits forwarding cache events of the given size to another router. The
	// scheduler drops events that are not permitted. Nil means a rate limit of
	// cacheEventBytesPerSecond.
	AllowCacheEvents func(bytes int) bool
	// Evacuations returns the set of evacuated data centres, whose targets take no new
	// work. Nil means that there never is one.
	Evacuations func() *pb.Evacuations
}

func (c *Config) setDefaults() {
	if c.Evacuations == nil {
		c.Evacuations = func() *pb.Evacuations { return nil }
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.BoundFactor == 0 {
		c.BoundFactor = placement.DefaultBoundFactor
	}
	if c.SlowStart == 0 {
		c.SlowStart = placement.DefaultSlowStart
	}
	if c.QueueLength == 0 {
		c.QueueLength = fairqueue.DefaultQueueLength
	}
	if c.DirectorySize == 0 {
		c.DirectorySize = placement.DefaultDirectorySize
	}
	if c.AllowCacheEvents == nil {
		limiter := rate.NewLimiter(cacheEventBytesPerSecond, cacheEventBurstBytes)
		c.AllowCacheEvents = func(bytes int) bool { return limiter.AllowN(time.Now(), bytes) }
	}
	if c.ReconcileInterval == 0 {
		c.ReconcileInterval = defaultReconcileInterval
	}
}

func (c *Config) poolConfig() pool.Config {
	return pool.Config{
		Factor:          c.BoundFactor,
		Spread:          placement.DefaultSpread,
		SlowStart:       c.SlowStart,
		Reserve:         pool.DefaultReserve,
		QueueLength:     c.QueueLength,
		DirectorySize:   c.DirectorySize,
		AbsentTargetTTL: absentTargetTTL,
	}
}
