package transport

import (
	"errors"
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ErrNotSent marks a failed call of which no byte can have reached a handler.
var ErrNotSent = errors.New("the call was not sent")

// RemoteError is a failure that the peer's handler returned.
type RemoteError struct {
	Status  pb.CallStatus
	Message string
}

// Error returns the peer's message and status.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s (%s)", e.Message, e.Status)
}

// Status returns the call status that err carries, CALL_STATUS_FAILED if none.
func Status(err error) pb.CallStatus {
	var remote *RemoteError
	if errors.As(err, &remote) {
		return remote.Status
	}
	return pb.CallStatus_CALL_STATUS_FAILED
}

// NewStatusError makes a handler error with a status that the caller can tell apart.
func NewStatusError(status pb.CallStatus, message string) error {
	return &RemoteError{Status: status, Message: message}
}

// errorReply turns a handler's error into a reply.
func errorReply(err error) *pb.CallReply {
	reply := &pb.CallReply{
		Status:  Status(err),
		Message: err.Error(),
		Step:    errs.Step(err),
		Peer:    errs.Peer(err),
	}
	var remote *RemoteError
	if errors.As(err, &remote) {
		reply.Message = remote.Message
	}
	return reply
}
