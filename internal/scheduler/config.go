package scheduler

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wigeonwood/wigeonwood/internal/fairqueue"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// refreshInterval is how often the scheduler reads the targets from the
	// view.
	refreshInterval = 200 * time.Millisecond
	// absentTargetTTL is how long the state of a target that disappeared is
	// kept, so that a flapping target keeps its chats.
	absentTargetTTL = 2 * time.Minute
	// hintDirectorySize bounds the chats whose last engine is cached for
	// placement hints.
	hintDirectorySize = 16384
	// cacheEventBytesPerSecond and hintBurstBytes bound the cache events that are
	// forwarded to other routers.
	cacheEventBytesPerSecond = 512
	cacheEventBurstBytes     = 4096
	// resyncInterval is the minimum time between two resyncs of one engine.
	resyncInterval = 1 * time.Minute
)

// maxWaits holds the wait limits in the queue by class. The deadline of a request
// may shorten its wait limit further.
var maxWaits = map[filter.Class]time.Duration{
	filter.ClassCheck: 5 * time.Second,
	filter.ClassNote:  20 * time.Second,
	filter.ClassDraft: 50 * time.Second,
}

// Config holds the dependencies and settings of a scheduler. View, Config, Pool
// and Server are required. Zero values of the settings mean their defaults.
type Config struct {
	// Self is this router's id.
	Self       string
	View       fleet.View
	ConfigView filter.ConfigView
	// Peers makes calls to other routers; Server receives their calls. New
	// registers the scheduler's methods, so New must run before the server
	// serves.
	Peers  *transport.Pool
	Server *transport.Server
	Logger *log.Logger
	Scope  tally.Scope
	// BoundFactor is the factor c of the load bound.
	BoundFactor float64
	// Takeover is the slow-start period over which a joining engine takes over
	// its part of the chats.
	Takeover time.Duration
	// QueueLength bounds the requests that wait for one model or service.
	QueueLength int
	// DirectorySize bounds the chats in the directory of prefix holders.
	DirectorySize int
	// ReconcileInterval is how often this router reports the slots that it
	// holds to each owner router.
	ReconcileInterval time.Duration
	// AllowCacheEvents reports whether the control budget permits forwarding cache
	// events of this many bytes to another router. Events that it does not
	// permit are dropped. Nil means a rate limit of hintBytesPerSecond.
	AllowCacheEvents func(bytes int) bool
}

func (c *Config) setDefaults() {
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.BoundFactor == 0 {
		c.BoundFactor = placement.DefaultBoundFactor
	}
	if c.Takeover == 0 {
		c.Takeover = placement.DefaultTakeover
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
		Takeover:        c.Takeover,
		Reserve:         pool.DefaultReserve,
		QueueLength:     c.QueueLength,
		DirectorySize:   c.DirectorySize,
		AbsentTargetTTL: absentTargetTTL,
	}
}
