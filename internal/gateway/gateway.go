// Package gateway serves the requests that a routing table decides on: it runs each of
// them through filter.RoutedSpec, writes the answer or the rejection to the caller, and
// counts, logs and reports the result. It does not read requests from connections, and
// it does not build routing tables or select targets.
package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/idle"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/relay"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// Config configures a Gateway. All fields but Observer are required.
type Config struct {
	Tables filter.Tables
	Picker filter.Picker
	// Loads provides the loads by which overload is recognised. If it is nil, no request is
	// rejected for overload.
	Loads filter.ServiceLoads
	// Guard withholds requests with parts of prompts that crash targets.
	Guard   filter.PartGuard
	Retries filter.RetryLimiter
	Forward forward.Config
	// Prepare sets the headers for one target on an exchange.
	Prepare func(x *filter.Exchange, target, holder *pb.TargetStatus)
	// NotRun reports whether a response declares that its request did not run.
	NotRun func(status int, h http.Header) bool
	// Hints returns the drain, backpressure and rate limit signals in a response. OnHints is
	// called with them for each response.
	Hints   func(status int, h http.Header) filter.Hints
	OnHints func(target *pb.TargetStatus, requestID string, h filter.Hints)
	// Life returns what is known of the process that announced a target.
	Life func(target *pb.TargetStatus) forward.Life
	// Observer receives the records of finished requests; may be nil.
	Observer filter.Observer
	Logger   *log.Logger
	Scope    tally.Scope
}

// firstByteBuckets are the histogram buckets of the time to the first byte, from 10 ms
// to 20 s.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(10*time.Millisecond, 2, 12)

// Gateway serves routed requests.
type Gateway struct {
	cfg      Config
	client   *forward.Client
	chain    *filter.Chain
	drain    relay.Drain
	inFlight atomic.Int64

	requests   tally.Counter
	cutAnswers tally.Counter
	panics     tally.Counter
	tries      tally.Counter
	firstByte  tally.Histogram
	// outcomes is the scope of the counter of finished requests, which is tagged with
	// the outcome.
	outcomes tally.Scope
}

// New returns a gateway that serves the requests that the routing tables of c decide on.
func New(c Config) (*Gateway, error) {
	scope := c.Scope.SubScope("gateway")
	g := &Gateway{
		cfg:        c,
		client:     forward.New(c.Forward),
		requests:   scope.Counter("requests"),
		cutAnswers: scope.Counter("cut_answers"),
		panics:     scope.Counter("panics"),
		tries:      scope.Counter("tries"),
		firstByte:  scope.Histogram("first_byte", firstByteBuckets),
		outcomes:   scope,
	}
	warmup := filter.NewWarmup(time.Now())
	chain, err := filter.Build(filter.RoutedSpec,
		&filter.Route{Tables: c.Tables, Warmup: warmup},
		&filter.Team{SurgeDetector: balance.NewSurgeDetector(), Warmup: warmup},
		&filter.Body{},
		&filter.Quarantine{Guard: c.Guard},
		&filter.Dispatch{
			Picker:     c.Picker,
			Guard:      c.Guard,
			Retries:    c.Retries,
			Prepare:    c.Prepare,
			OnHints:    c.OnHints,
			Warmup:     warmup,
			WaitLimits: filter.NewWaitLimits(),
			Overload:   filter.NewOverload(c.Loads, c.Logger, c.Scope),
		},
		&filter.Trial{Guard: c.Guard},
		&filter.Forward{
			Sender:   g.client,
			Timeouts: func(x *filter.Exchange) filter.Timeouts { return filter.TryTimeouts(x, time.Now()) },
			NotRun:   c.NotRun,
			Hints:    c.Hints,
			Life:     c.Life,
		},
	)
	g.chain = chain
	return g, err
}

// Limits returns the limits of the active routing table; zeros before the first one.
func (g *Gateway) Limits() routing.Limits {
	if x := g.cfg.Tables.Current(); x != nil {
		return x.Table.Limits
	}
	return routing.Limits{}
}

// IdleBounds returns how long a caller's connection may wait for its first and for each
// further request.
func (g *Gateway) IdleBounds() idle.Timeouts {
	limits := g.Limits()
	return idle.Timeouts{First: limits.HeaderTimeout, Next: limits.IdleTimeout}
}

// SetDraining makes answers ask callers to use another connection for their next
// request.
func (g *Gateway) SetDraining() { g.drain.Set() }

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Close closes the idle connections to targets.
func (g *Gateway) Close() { g.client.Close() }

// Serve runs x, the exchange of req, through the chain and writes the answer or the
// rejection. An answer that ends early aborts the caller's connection.
func (g *Gateway) Serve(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer relay.ReportPanic(g.cfg.Logger, g.panics, x.ID)
	defer x.End()
	g.requests.Inc(1)
	if err := g.chain.Run(req.Context(), x); err != nil {
		g.writeRejection(w, x, rejectionOf(x, err))
		return
	}
	defer x.Answer.Body.Close()
	g.writeAnswer(w, req, x)
}

// Refuse rejects a request that could not be read or is too large, without the chain.
func (g *Gateway) Refuse(w http.ResponseWriter, x *filter.Exchange, r filter.Rejection) {
	g.writeRejection(w, x, x.Reject(r))
}

// rejectionOf returns the rejection in err, or else one with status 500.
func rejectionOf(x *filter.Exchange, err error) *filter.Rejection {
	var r *filter.Rejection
	if errors.As(err, &r) {
		return r
	}
	return x.Reject(filter.Rejection{
		Status:  http.StatusInternalServerError,
		Code:    "internal",
		Message: err.Error(),
		Step:    errs.Step(err),
	})
}

// writeRejection writes r to the caller and finishes the request.
func (g *Gateway) writeRejection(w http.ResponseWriter, x *filter.Exchange, r *filter.Rejection) {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	g.drain.SetConnectionClose(h)
	w.WriteHeader(r.Status)
	_, err := w.Write([]byte(r.Code + ": " + r.Message + "\n"))
	g.finish(x, result{status: r.Status, outcome: r.Outcome(), refused: true, code: r.Code, step: r.Step, err: err})
}
