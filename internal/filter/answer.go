package filter

import (
	"io"
	"net/http"
)

// Answer is the answer to pass on to the caller. Reading its body to io.EOF
// means that it is whole.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body in bytes, -1 if unknown.
	Length int64
	// Framed tells that the end of the body is marked on the wire.
	Framed bool
	Body   io.ReadCloser
	// Trailer returns the trailers after the end of the body; may be nil.
	Trailer func() http.Header
	// Events tells that the body is a stream of server-sent events.
	Events bool
	// Replayed tells that the body comes from the ledger.
	Replayed bool
	// NotRun tells that the target declares not to have run the request.
	NotRun bool
	// Hints are what the target says of itself.
	Hints Hints
}
