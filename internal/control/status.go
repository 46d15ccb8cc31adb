package control

import (
	"errors"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// notLeader returns an error that says that the call had no effect and may succeed
// at another replica.
func notLeader(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, message)
}

// outcomeUnknown returns an error that says that the call may have had an effect.
func outcomeUnknown(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_OUTCOME_UNKNOWN, message)
}

// proposalError converts an error of replica.RaftNode to one with the call status that
// clients act on. The outcome counts as unknown unless the error says that the
// proposal had no effect.
func proposalError(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return notLeader(err.Error())
	case errors.Is(err, replica.ErrOverloaded):
		return overloaded(err.Error())
	}
	return outcomeUnknown(err.Error())
}

// hadNoEffect reports whether a failed call is known to have had no effect
// anywhere.
func hadNoEffect(err error) bool {
	if errors.Is(err, transport.ErrNotSent) {
		return true
	}
	switch transport.Status(err) {
	case pb.CallStatus_CALL_STATUS_NOT_LEADER,
		pb.CallStatus_CALL_STATUS_NO_METHOD,
		pb.CallStatus_CALL_STATUS_UNAUTHORIZED,
		pb.CallStatus_CALL_STATUS_OVERLOADED:
		return true
	}
	return false
}

// forwardedError converts the error of a forwarded call to one that says whether
// the call may have had an effect.
func forwardedError(err error) error {
	if err == nil {
		return nil
	}
	if hadNoEffect(err) {
		return notLeader(err.Error())
	}
	return outcomeUnknown(err.Error())
}

func overloaded(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_OVERLOADED, message)
}
