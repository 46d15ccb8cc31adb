package scheduler

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"github.com/wigeonwood/wigeonwood/internal/admission"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// refreshInterval is how often the targets are taken from the view.
	refreshInterval = 200 * time.Millisecond
	// absentTargetTTL is how long a vanished target keeps its chats.
	absentTargetTTL = 2 * time.Minute
	// hintDirectorySize bounds the chats of which an entry router remembers
	// where it placed them.
	hintDirectorySize = 16384
	// hintBytesPerSecond and hintBurstBytes bound the cache events passed on.
	hintBytesPerSecond = 512
	hintBurstBytes     = 4096
	// resyncInterval is the least time between two resyncs of one engine.
	resyncInterval = 1 * time.Minute
)

// The longest waits in a queue by class; a request's own deadline shortens
// them.
var maxWaits = map[filter.Class]time.Duration{
	filter.ClassCheck: 5 * time.Second,
	filter.ClassNote:  20 * time.Second,
	filter.ClassDraft: 50 * time.Second,
}

// Config holds what a scheduler needs. View, Config, Pool and Server are
// required; zero values of the others mean their defaults.
type Config struct {
	// Self is this router's id.
	Self   string
	View   fleet.View
	Config filter.ConfigView
	// Pool calls other routers; Server takes their calls. The scheduler
	// registers its methods in New, before the server serves.
	Pool   *transport.Pool
	Server *transport.Server
	Logger *log.Logger
	Scope  tally.Scope
	// BoundFactor is the c of the load bound.
	BoundFactor float64
	// Takeover is the time over which a joining engine takes over chats.
	Takeover time.Duration
	// QueueLength bounds the requests that wait for one model or service.
	QueueLength int
	// DirectorySize bounds the chats remembered.
	DirectorySize int
	// ReconcileInterval is how often a router confirms to each home what it
	// holds there.
	ReconcileInterval time.Duration
	// AllowHint asks the control budget for bytes before cache events are
	// passed on to another router; those that it refuses are dropped. Nil
	// stands for a rate of hintBytesPerSecond.
	AllowHint func(bytes int) bool
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
		c.QueueLength = admission.DefaultQueueLength
	}
	if c.DirectorySize == 0 {
		c.DirectorySize = placement.DefaultDirectorySize
	}
	if c.AllowHint == nil {
		limiter := rate.NewLimiter(hintBytesPerSecond, hintBurstBytes)
		c.AllowHint = func(bytes int) bool { return limiter.AllowN(time.Now(), bytes) }
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
