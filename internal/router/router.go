package router

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// Router is the HTTP server for callers.
type Router struct {
	cfg      Config
	client   *forward.Client
	identify *filter.Identify
	lease    *filter.Lease
	claim    *filter.Claim
	chain    *filter.Chain
	handler  http.Handler
	server   *http.Server
	ids      *idSource
	bodies   *bodybuffer.Pool
	drain    relay.Drain
	inFlight atomic.Int64

	requests   tally.Counter
	cutAnswers tally.Counter
	panics     tally.Counter
	tries      tally.Counter
	firstToken tally.Timer
	refusals   tally.Scope
}

// New returns a router. It fails if the chain's spec names an unknown filter.
func New(c Config) (*Router, error) {
	c = c.withDefaults()
	self := c.View.Self()
	scope := c.Scope.SubScope("router")
	r := &Router{
		cfg:      c,
		client:   forward.New(c.Forward),
		identify: &filter.Identify{Config: c.Config},
		lease:    &filter.Lease{Config: c.Config, Entries: c.PeerEntries},
		claim: &filter.Claim{
			Ledger:       c.Ledger,
			Router:       self.GetId(),
			Incarnation:  self.GetIncarnation(),
			TotalTimeout: func(d filter.Demand) time.Duration { return c.Timeouts[d.Class].Total },
		},
		ids:    newIDSource(),
		bodies: bodybuffer.New(c.Bounds.Bodies, c.Logger, c.Scope),

		requests:   scope.Counter("requests"),
		cutAnswers: scope.Counter("cut_answers"),
		panics:     scope.Counter("panics"),
		tries:      scope.Counter("tries"),
		firstToken: scope.Timer("first_token"),
		refusals:   scope,
	}
	// A claimed request is detached, that is, continues without its caller, if the caller
	// leaves or the deadline passes before the request ends.
	r.claim.OnDetachedEnd = r.finishDetached
	chain, err := r.buildChain()
	if err != nil {
		return nil, err
	}
	r.chain = chain
	r.handler = r.routes()
	r.server = r.newServer()
	return r, nil
}

// buildChain builds the filter chain that the spec describes.
func (r *Router) buildChain() (*filter.Chain, error) {
	return filter.Build(r.cfg.Spec,
		r.lease,
		r.identify,
		filter.NewCatalog(r.cfg.View),
		&filter.Limits{Limiter: r.cfg.Limiter},
		r.claim,
		&filter.Schedule{
			Scheduler:  r.cfg.Scheduler,
			Lease:      r.lease,
			Budget:     filter.NewRetryBudget(filter.RetryShare, filter.RetryBurst),
			Idempotent: idempotentAt,
		},
		&filter.Check{},
		&filter.Forward{Sender: r.client, Timeouts: r.timeouts},
	)
}

// routes maps paths to handlers. Paths are matched in their escaped form and
// are not cleaned.
func (r *Router) routes() http.Handler {
	m := mux.NewRouter().SkipClean(true).UseEncodedPath()
	m.HandleFunc("/v1/chat/completions", r.serveChat).Methods(http.MethodPost)
	m.HandleFunc("/v1/models", r.serveModels).Methods(http.MethodGet)
	m.HandleFunc("/v1/services/{service}", r.serveService)
	m.HandleFunc("/v1/services/{service}/{path:.*}", r.serveService)
	if r.cfg.Entries != nil {
		m.Handle("/v1/entries", r.cfg.Entries).Methods(http.MethodGet)
	}
	m.HandleFunc("/healthz", serveHealth).Methods(http.MethodGet, http.MethodHead)
	m.HandleFunc("/readyz", r.serveReady).Methods(http.MethodGet, http.MethodHead)
	m.NotFoundHandler = http.HandlerFunc(r.serveNotFound)
	m.MethodNotAllowedHandler = http.HandlerFunc(r.serveWrongMethod)
	return m
}

// Handler returns the handler for callers.
func (r *Router) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.inFlight.Add(1)
		defer r.inFlight.Add(-1)
		r.drain.SetConnectionClose(w.Header())
		if req.ContentLength != 0 {
			// The deadline also covers bodies that no handler reads: net/http
			// reads part of them before it writes the response.
			setReadDeadline(w, r.cfg.Bounds.BodyTimeout)
		}
		r.handler.ServeHTTP(w, req)
	})
}

// InFlight returns the number of requests being served.
func (r *Router) InFlight() int { return int(r.inFlight.Load()) }

// timeouts returns the time limits of one attempt.
func (r *Router) timeouts(x *filter.Exchange) filter.Timeouts {
	t := r.cfg.Timeouts[x.Demand.Class]
	first := t.Plain
	if x.Stream {
		first = t.FirstByte
	}
	return filter.Timeouts{FirstByte: first, BetweenBytes: t.BetweenBytes}
}

// newExchange returns the exchange for a request that has just arrived.
func (r *Router) newExchange(req *http.Request) *filter.Exchange {
	id := r.ids.next()
	return &filter.Exchange{
		ID:       id,
		Received: time.Now(),
		Method:   req.Method,
		Header:   req.Header,
		Bearer:   bearer(req),
		Demand:   filter.Demand{RequestID: id},
	}
}

// bearer returns the bearer key of the Authorization header, or "" if there is
// none.
func bearer(req *http.Request) string {
	scheme, key, ok := strings.Cut(req.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

// serve runs x through the filter chain and writes the response or the
// rejection.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	r.requests.Inc(1)
	defer relay.ReportPanic(r.cfg.Logger, r.panics, x.ID)
	ctx, cancel := r.withDeadline(req.Context(), x)
	defer cancel()
	err := r.chain.Run(ctx, x)
	var detached *filter.DetachedError
	if errors.As(err, &detached) {
		// x continues without its caller; finishDetached ends it.
		r.writeRejection(w, req, detached.Exchange, detached.Rejection)
		return
	}
	defer x.End()
	if err != nil {
		r.writeRejection(w, req, x, asRejection(x, err))
		return
	}
	defer x.Answer.Body.Close()
	r.writeAnswer(w, req, x)
}

// withDeadline limits x to the earlier of the caller's deadline and its class's
// total time limit.
func (r *Router) withDeadline(ctx context.Context, x *filter.Exchange) (context.Context, context.CancelFunc) {
	end := x.Received.Add(r.cfg.Timeouts[x.Demand.Class].Total)
	if x.Deadline.IsZero() || end.Before(x.Deadline) {
		x.Deadline = end
	}
	return context.WithDeadline(ctx, x.Deadline)
}
