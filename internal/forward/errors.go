package forward

import (
	"context"
	"errors"
	"fmt"
)

// Step names this package's step in errors, logs and refusals.
const Step = "forward"

var (
	// ErrDial means that no connection to the target came about.
	ErrDial = errors.New("no connection to the target")
	// ErrSilent means that the target sent nothing for longer than allowed.
	ErrSilent = errors.New("the target sent nothing in time")
	// ErrTruncated means that the target's answer ended early.
	ErrTruncated = errors.New("the target's answer was cut")
	// ErrRequestIDMismatch means that the answer carried another request's id.
	ErrRequestIDMismatch = errors.New("the target answered another request")
	// ErrProtocol means an answer that a caller can't be given.
	ErrProtocol = errors.New("the target broke the protocol")
	// ErrReusedConnection marks a failure before the answer on a connection that was kept
	// from an earlier request: a new connection may do better.
	ErrReusedConnection = errors.New("on a kept connection")
	// ErrCallerGone means that the caller left or its deadline passed.
	ErrCallerGone = errors.New("the caller went away")
)

// classify turns an error of the transport into one of this package. sent
// tells that a connection had been handed to the request.
func classify(err, cause error, sent bool) error {
	switch {
	case errors.Is(cause, ErrSilent):
		return ErrSilent
	case errors.Is(cause, context.Canceled), errors.Is(cause, context.DeadlineExceeded):
		return ErrCallerGone
	case !sent:
		return fmt.Errorf("%w: %w", ErrDial, err)
	default:
		return fmt.Errorf("%w: %w", ErrTruncated, err)
	}
}
