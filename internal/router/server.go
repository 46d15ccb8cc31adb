package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// stepDrain is the step name of the shutdown in errors and logs.
const stepDrain = "drain"

// connsRetryAfter is the Retry-After of requests on connections over the limit.
const connsRetryAfter = time.Second

// connKey is the context key of a request's connection.
type connKey struct{}

// newServer returns the HTTP server for callers. It sets no fixed read or write
// timeout, since a stream may outlast any; bodies and writes set their own
// deadlines.
func (r *Router) newServer() *http.Server {
	b := r.cfg.Bounds
	return &http.Server{
		Handler:           http.HandlerFunc(r.serveConn),
		ReadHeaderTimeout: b.HeaderTimeout,
		IdleTimeout:       b.IdleTimeout,
		MaxHeaderBytes:    b.MaxHeaderBytes,
		ErrorLog:          r.cfg.Logger.Std("", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(relay.WithConn(ctx, c), connKey{}, c)
		},
	}
}

// Serve serves callers on ln until Drain or Abort, and then returns nil.
func (r *Router) Serve(ln net.Listener) error {
	err := r.server.Serve(newLimitListener(ln, r.cfg.Bounds.MaxConns))
	if err == http.ErrServerClosed {
		return nil
	}
	return errs.Wrap(err, "serve", ln.Addr().String())
}

// serveConn refuses requests on connections over the limit and serves all
// others.
func (r *Router) serveConn(w http.ResponseWriter, req *http.Request) {
	// The write deadline of an earlier response on this connection must not
	// apply to this one. Each further write sets its own.
	r.setWriteDeadline(w)
	c, ok := req.Context().Value(connKey{}).(*limitConn)
	if !ok || !c.overLimit {
		r.Handler().ServeHTTP(w, req)
		return
	}
	x := r.newExchange(req)
	w.Header().Set("Connection", "close")
	r.refuse(w, req, x, x.Reject(filter.Rejection{
		Code:       "connections-full",
		Message:    "this router is at its connection limit",
		Step:       stepRead,
		RetryAfter: connsRetryAfter,
		Entries:    r.peerEntries(),
	}))
}

// peerEntries returns entry addresses of other routers for a caller that is not
// yet identified.
func (r *Router) peerEntries() []string {
	if r.cfg.PeerEntries == nil {
		return nil
	}
	return r.cfg.PeerEntries("")
}

// Drain shuts the router down gracefully. It unlists the router, goes on
// accepting while callers may have its entry address cached, and then waits for
// the requests in flight, including claimed requests whose caller has left. If
// ctx ends first, Drain closes all connections to callers and returns an error
// with the number of requests that this aborts. The number does not include claimed
// requests whose caller has left.
func (r *Router) Drain(ctx context.Context) error {
	r.drain.Set()
	if r.cfg.SetDraining != nil {
		r.cfg.SetDraining()
	}
	r.cfg.Logger.Info().Str("step", stepDrain).Int("in_flight", r.InFlight()).Msg("draining")
	r.waitEntriesExpired(ctx)
	err := r.waitInFlight(ctx)
	r.client.Close()
	if err != nil {
		left := r.InFlight()
		r.server.Close()
		return errs.Wrap(fmt.Errorf("%d requests were cut: %w", left, err), stepDrain, "")
	}
	r.cfg.Logger.Info().Str("step", stepDrain).Msg("drained")
	return nil
}

// waitEntriesExpired waits until every cached copy of this router's entry
// address has expired.
func (r *Router) waitEntriesExpired(ctx context.Context) {
	timer := time.NewTimer(r.cfg.UnlistDelay + r.cfg.EntryTTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitInFlight closes the listener and waits for the requests in flight and for
// detached claimed requests.
func (r *Router) waitInFlight(ctx context.Context) error {
	if err := r.server.Shutdown(ctx); err != nil {
		return err
	}
	claimsDone := make(chan struct{})
	go func() {
		defer close(claimsDone)
		r.claim.Wait()
	}()
	select {
	case <-claimsDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort closes all connections immediately, which aborts the requests in flight.
func (r *Router) Abort() {
	r.server.Close()
	r.client.Close()
}
