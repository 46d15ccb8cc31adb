package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/wigeonwood/wigeonwood/internal/errs"
)

// connKey is the context key of a caller's connection.
type connKey struct{}

// WithConn returns a context that holds a caller's connection. Servers for callers use it as
// their http.Server.ConnContext, so that GuardEnd finds the connection.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// errNoLinger means that the end of the connection can't be turned into a reset.
var errNoLinger = errors.New("the caller's connection has no linger option; its early end may look like the end of the answer")

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(seconds int) error }

const (
	// lingerReset makes the kernel reset a connection when it is closed, whoever closes it:
	// the server, a timeout or the end of the process.
	lingerReset = 0
	// lingerDefault makes the kernel send what it holds and close the connection in order.
	lingerDefault = -1
)

// EndGuard makes an early end of an answer visible to its caller. An answer that ends with the
// caller's connection looks complete if the connection closes in order. Under the guard each
// close is a reset, until Confirm. The zero EndGuard guards an answer that marks its own end.
type EndGuard struct{ conn lingerer }

// GuardEnd guards the end of the answer to the request req whose header is h. It must be
// called before the status is written. An answer that has a length, or a last chunk for
// callers that read chunks, needs no guard.
func GuardEnd(req *http.Request, h http.Header) (EndGuard, error) {
	if marksEnd(req, h) {
		return EndGuard{}, nil
	}
	conn, ok := req.Context().Value(connKey{}).(lingerer)
	if !ok {
		return EndGuard{}, errs.Wrap(errNoLinger, Step, req.RemoteAddr)
	}
	if err := conn.SetLinger(lingerReset); err != nil {
		return EndGuard{}, errs.Wrap(fmt.Errorf("%w: %w", errNoLinger, err), Step, req.RemoteAddr)
	}
	return EndGuard{conn: conn}, nil
}

// marksEnd reports whether the caller can tell the end of an answer with the header h from an
// early end of its connection. Without a length the server sends chunks, but not to callers of
// HTTP/1.0, which don't read them, nor with SetUnframed.
func marksEnd(req *http.Request, h http.Header) bool {
	if h.Get("Content-Length") != "" {
		return true
	}
	return req.ProtoAtLeast(1, 1) && h.Get("Transfer-Encoding") != unframed
}

// Confirm lets the connection close in order, after the whole answer was written to w: it
// flushes the answer first, so that no part of it is left in the process. Errors wrap
// ErrCallerWrite; the connection is then still reset when it closes.
func (g EndGuard) Confirm(w http.ResponseWriter) error {
	if g.conn == nil {
		return nil
	}
	err := http.NewResponseController(w).Flush()
	if err == nil {
		err = g.conn.SetLinger(lingerDefault)
	}
	if err != nil {
		return errs.Wrap(fmt.Errorf("%w: %w", ErrCallerWrite, err), Step, "")
	}
	return nil
}
