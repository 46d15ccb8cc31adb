package router

import (
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// Default limits on what callers may send and how long they may take.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxConns       = 8192
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultBodyTimeout    = 20 * time.Second
	DefaultIdleTimeout    = 60 * time.Second
	DefaultWriteTimeout   = 30 * time.Second
	// DefaultEntryTTL is how long callers may cache an entry address, which is an
	// address at which a router serves callers.
	DefaultEntryTTL = 10 * time.Second
	// DefaultUnlistDelay is how long other instances may still list this one as
	// an entry address after it starts to drain.
	DefaultUnlistDelay = 5 * time.Second
)

// Bounds are the limits on callers. Zero values take the defaults.
type Bounds struct {
	// MaxBodyBytes limits one request body.
	MaxBodyBytes int64
	// Bodies limits the request bodies in memory.
	Bodies         bodybuffer.Limits
	MaxHeaderBytes int
	MaxConns       int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	IdleTimeout    time.Duration
	// WriteTimeout limits each write to a caller.
	WriteTimeout time.Duration
}

// ClassTimeouts are the time limits for requests of one class.
type ClassTimeouts struct {
	// FirstByte limits the wait for the first byte of a streamed response.
	FirstByte time.Duration
	// Plain limits the wait for the first byte of any other response.
	Plain time.Duration
	// BetweenBytes limits the wait for further bytes of a response.
	BetweenBytes time.Duration
	// Total limits the request from receipt to the end of its response.
	Total time.Duration
}

// Timeouts are the time limits by class.
type Timeouts [filter.ClassDraft + 1]ClassTimeouts

// DefaultTimeouts are the default time limits by class.
var DefaultTimeouts = Timeouts{
	filter.ClassCheck: {FirstByte: 5 * time.Second, Plain: 10 * time.Second, BetweenBytes: 3 * time.Second, Total: 30 * time.Second},
	filter.ClassNote:  {FirstByte: 10 * time.Second, Plain: 60 * time.Second, BetweenBytes: 5 * time.Second, Total: 2 * time.Minute},
	filter.ClassDraft: {FirstByte: 30 * time.Second, Plain: 5 * time.Minute, BetweenBytes: 10 * time.Second, Total: 10 * time.Minute},
}

// Config configures a Router. View, Config, Ledger, Scheduler and Limiter are
// required.
type Config struct {
	View      fleet.View
	Config    filter.ConfigView
	Ledger    filter.Ledger
	Scheduler filter.Scheduler
	Limiter   filter.Limiter
	// Observer receives a record of each finished request; may be nil.
	Observer filter.Observer
	// Entries serves GET /v1/entries; may be nil.
	Entries http.Handler
	// PeerEntries returns entry addresses of other routers for a customer, or for
	// any caller if the customer is empty; may be nil.
	PeerEntries func(customer string) []string
	// SetDraining is called when a shutdown starts, so that other instances stop
	// listing this router; may be nil.
	SetDraining func()
	// EntryTTL is how long a caller may cache this router's address. A draining
	// router goes on accepting for UnlistDelay plus EntryTTL, since a caller may
	// get the address until the end of UnlistDelay and cache it from then on.
	EntryTTL time.Duration
	// UnlistDelay is how long other instances may still list this router's address
	// after it starts to drain.
	UnlistDelay time.Duration
	Bounds      Bounds
	Timeouts    Timeouts
	// Forward configures the HTTP client for targets.
	Forward forward.Config
	// Spec lists the filters of the chain; nil means filter.DefaultSpec.
	Spec   filter.Spec
	Logger *log.Logger
	Scope  tally.Scope
}

// withDefaults replaces zero fields of c by their defaults.
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

// withDefaults replaces zero fields of b by their defaults.
func (b Bounds) withDefaults() Bounds {
	setDefault(&b.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&b.Bodies, bodybuffer.LimitsFor(0, 0))
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
