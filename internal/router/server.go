package router

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// stepDrain names the shutdown in errors and logs.
const stepDrain = "drain"

// connsRetryAfter is when a router with too many connections may take more.
const connsRetryAfter = time.Second

// connKey finds a request's connection in its context.
type connKey struct{}

// newServer makes the HTTP server for callers. Bodies and answers have their
// own deadlines, since a stream may last longer than any fixed time.
func (r *Router) newServer() *http.Server {
	b := r.cfg.Bounds
	return &http.Server{
		Handler:           http.HandlerFunc(r.serveConn),
		ReadHeaderTimeout: b.HeaderTimeout,
		IdleTimeout:       b.IdleTimeout,
		MaxHeaderBytes:    b.MaxHeaderBytes,
		ErrorLog:          r.cfg.Logger.Std("", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// Serve serves callers on ln until Drain or Abort. It returns nil after them.
func (r *Router) Serve(ln net.Listener) error {
	err := r.server.Serve(newLimitListener(ln, r.cfg.Bounds.MaxConns))
	if err == http.ErrServerClosed {
		return nil
	}
	return errs.Wrap(err, "serve", ln.Addr().String())
}

// serveConn refuses requests on connections beyond the bound and serves all
// others.
func (r *Router) serveConn(w http.ResponseWriter, req *http.Request) {
	// The deadline of an earlier answer on this connection must not end this
	// one; each further write sets its own.
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
		Message:    "this router holds as many connections as it may",
		Step:       stepRead,
		RetryAfter: connsRetryAfter,
		Entries:    r.peerEntries(),
	}))
}

// peerEntries returns other routers' addresses for a caller not yet known.
func (r *Router) peerEntries() []string {
	if r.cfg.PeerEntries == nil {
		return nil
	}
	return r.cfg.PeerEntries("")
}

// Drain shuts the router down without cutting off a request. It unlists the
// router, goes on accepting while an address that was given out may still be
// kept, then finishes what is in flight, claimed requests whose caller left
// included. If ctx ends first, what is left is cut and an error says how much.
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

// waitEntriesExpired waits until no caller can still keep this router's address.
func (r *Router) waitEntriesExpired(ctx context.Context) {
	timer := time.NewTimer(r.cfg.UnlistDelay + r.cfg.EntryTTL)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitInFlight closes the listener and waits for what is in flight.
func (r *Router) waitInFlight(ctx context.Context) error {
	if err := r.server.Shutdown(ctx); err != nil {
		return err
	}
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		r.claim.Wait()
	}()
	select {
	case <-settled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort closes all connections at once; it cuts what is in flight.
func (r *Router) Abort() {
	r.server.Close()
	r.client.Close()
}
