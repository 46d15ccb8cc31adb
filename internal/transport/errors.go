package transport

import (
	"errors"
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ErrNotSent marks a call that failed before any part of it was sent, so that no
// handler can have received it.
var ErrNotSent = errors.New("the call was not sent")

// StatusError is an error with a call status. A handler returns one to set the status of
// its reply, and a caller receives one if the reply's status is not OK.
type StatusError struct {
	Status  pb.CallStatus
	Message string
}

// Error returns the message and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Message, e.Status)
}

// Status returns the call status that err carries, or CALL_STATUS_FAILED if it
// carries none.
func Status(err error) pb.CallStatus {
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		return statusErr.Status
	}
	return pb.CallStatus_CALL_STATUS_FAILED
}

// NewStatusError returns an error for a handler to return. Its status is sent to
// the caller of the method.
func NewStatusError(status pb.CallStatus, message string) error {
	return &StatusError{Status: status, Message: message}
}

// errorReply converts a handler's error to a reply.
func errorReply(err error) *pb.CallReply {
	reply := &pb.CallReply{
		Status:  Status(err),
		Message: err.Error(),
		Step:    errs.Step(err),
		Peer:    errs.Peer(err),
	}
	var statusErr *StatusError
	if errors.As(err, &statusErr) {
		reply.Message = statusErr.Message
	}
	return reply
}
