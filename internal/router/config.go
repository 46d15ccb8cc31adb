package router

import (
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// Bounds of what callers may send and hold.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxBodiesBytes = 96 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxConns       = 8192
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 20 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	// DefaultEntryTTL is how long callers keep an entry address.
	DefaultEntryTTL = 10 * time.Second
	// DefaultUnlistDelay is how long other instances may go on listing this one.
	DefaultUnlistDelay = 5 * time.Second
)

// Bounds bound callers; zero values take the defaults.
type Bounds struct {
	// MaxBodyBytes bounds one body, MaxBodiesBytes all bodies held at a time.
	MaxBodyBytes   int64
	MaxBodiesBytes int64
	MaxHeaderBytes int
	MaxConns       int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
	// WriteTimeout bounds each write to a caller.
	WriteTimeout time.Duration
}

// ClassTimeouts bound the requests of one class.
type ClassTimeouts struct {
	// FirstByte bounds the wait of a streamed request for its first byte, Plain
	// that of any other.
	FirstByte    time.Duration
	Plain        time.Duration
	BetweenBytes time.Duration
	// Total bounds the whole request.
	Total time.Duration
}

// Timeouts are the bounds by class.
type Timeouts [filter.ClassDraft + 1]ClassTimeouts

// DefaultTimeouts are the bounds by class.
var DefaultTimeouts = Timeouts{
	filter.ClassCheck: {FirstByte: 5 * time.Second, Plain: 10 * time.Second, BetweenBytes: 3 * time.Second, Total: 30 * time.Second},
	filter.ClassNote:  {FirstByte: 10 * time.Second, Plain: 60 * time.Second, BetweenBytes: 5 * time.Second, Total: 2 * time.Minute},
	filter.ClassDraft: {FirstByte: 30 * time.Second, Plain: 5 * time.Minute, BetweenBytes: 10 * time.Second, Total: 10 * time.Minute},
}

// Config sets up a Router. View, Config, Ledger, Scheduler and Limiter are
// needed.
type Config struct {
	View      fleet.View
	Config    filter.ConfigView
	Ledger    filter.Ledger
	Scheduler filter.Scheduler
	Limiter   filter.Limiter
	// Observer takes the records of finished requests; may be nil.
	Observer filter.Observer
	// Entries serves GET /v1/entries; may be nil.
	Entries http.Handler
	// PeerEntries returns addresses of other routers for a customer; may be
	// nil.
	PeerEntries func(customer string) []string
	// SetDraining is called when a shutdown starts, to unlist this router; may
	// be nil.
	SetDraining func()
	// EntryTTL and UnlistDelay say how long an address may be kept.
	EntryTTL    time.Duration
	UnlistDelay time.Duration
	Bounds      Bounds
	Timeouts    Timeouts
	// Forward sets up the client of targets.
	Forward forward.Config
	// Spec is the chain; empty means filter.DefaultSpec.
	Spec   filter.Spec
	Logger *log.Logger
	Scope  tally.Scope
}

// withDefaults fills in what c leaves open.
func (c Config) withDefaults() Config {
	c.Bounds = c.Bounds.withDefaults()
	if c.Timeouts == (Timeouts{}) {
		c.Timeouts = DefaultTimeouts
	}
	if c.Spec == nil {
		c.Spec = filter.DefaultSpec
	}
	if c.Logger == nil {
		c.Logger = &log.Logger{Level: log.PanicLevel}
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Forward.Scope == nil {
		c.Forward.Scope = c.Scope
	}
	setDefault(&c.EntryTTL, DefaultEntryTTL)
	setDefault(&c.UnlistDelay, DefaultUnlistDelay)
	return c
}

func (b Bounds) withDefaults() Bounds {
	setDefault(&b.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&b.MaxBodiesBytes, DefaultMaxBodiesBytes)
	setDefault(&b.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&b.MaxConns, DefaultMaxConns)
	setDefault(&b.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&b.BodyTimeout, DefaultBodyTimeout)
	setDefault(&b.IdleTimeout, DefaultIdleTimeout)
	setDefault(&b.WriteTimeout, DefaultWriteTimeout)
	return b
}

// setDefault sets *v to d if it is zero.
func setDefault[T comparable](v *T, d T) {
	var zero T
	if *v == zero {
		*v = d
	}
}
