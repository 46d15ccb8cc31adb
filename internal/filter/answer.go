package filter

import (
	"io"
	"net/http"
)

// Answer is the answer for the caller: a target's response or one stored in the ledger.
// It is complete once its body is read to io.EOF.
type Answer struct {
	Status int
	Header http.Header
	// Length is the size of the body in bytes, -1 if unknown.
	Length int64
	// Framed is set if the framing on the wire marks the end of the body.
	Framed bool
	Body   io.ReadCloser
	// Trailer returns the trailers once the body is read to its end; may be nil.
	Trailer func() http.Header
	// Events is set if the body is a stream of server-sent events.
	Events bool
	// Replayed is set if the body comes from the ledger.
	Replayed bool
	// NotRun is set if the target declares that it did not run the request.
	NotRun bool
	// Hints are the drain and backpressure signals of the target.
	Hints Hints

	// begun is set once AwaitBody has read the first bytes of the body, or its end.
	begun bool
}

// AwaitBody waits for the first bytes of the body, or its end, unless it has done so before. It
// returns an error if the body fails before them: the answer can then still be replaced.
func (a *Answer) AwaitBody() error {
	if a.begun {
		return nil
	}
	head, end, err := readFirst(a.Body)
	if err != nil {
		return err
	}
	a.Body = &prefixedBody{prefix: head, end: end, body: a.Body}
	a.begun = true
	return nil
}
