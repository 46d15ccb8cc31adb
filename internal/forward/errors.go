package forward

import (
	"context"
	"errors"
	"fmt"
)

// Step is this package's step name in errors, logs and refusals.
const Step = "forward"

var (
	// ErrDial means that no connection to the target could be opened.
	ErrDial = errors.New("no connection to the target")
	// ErrSilent means that the target sent nothing within the time limit.
	ErrSilent = errors.New("the target sent nothing in time")
	// ErrTruncated means that the response could not be read to its end: the
	// connection failed or closed early, or the response was malformed.
	ErrTruncated = errors.New("the target's answer was cut")
	// ErrRequestIDMismatch means that the response carries the id of another
	// request, or none where the dialect requires one.
	ErrRequestIDMismatch = errors.New("the response does not carry the id of the request")
	// ErrProtocol means that the response cannot be passed to a caller.
	ErrProtocol = errors.New("protocol violation by the target")
	// ErrReusedConnection marks a failure before the response header on a reused
	// connection. An attempt on a new connection may succeed.
	ErrReusedConnection = errors.New("on a reused connection")
	// ErrAbandoned means that the router gave up the attempt because it needs no response to
	// it. It is set as the cause of the context.
	ErrAbandoned = errors.New("the router gave up the attempt")
	// ErrCallerGone means that the caller disconnected or its deadline passed.
	ErrCallerGone = errors.New("the caller went away")
)

// classify converts an error of the Transport to one of this package. cause is
// context.Cause of the request's context. connected is set if the request had a
// connection.
func classify(err, cause error, connected bool) error {
	switch {
	case errors.Is(cause, ErrSilent):
		return ErrSilent
	case errors.Is(cause, ErrAbandoned) && !connected:
		return fmt.Errorf("%w: %w", ErrAbandoned, ErrDial)
	case errors.Is(cause, ErrAbandoned):
		return ErrAbandoned
	case errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded):
		return ErrCallerGone
	case !connected:
		return fmt.Errorf("%w: %w", ErrDial, err)
	default:
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
}
