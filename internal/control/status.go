package control

import (
	"errors"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

func notLeader(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_NOT_LEADER, message)
}

func outcomeUnknown(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_OUTCOME_UNKNOWN, message)
}

// proposalError gives a replica.Log error the status that callers act on. Whatever
// isn't known to have had no effect counts as unknown.
func proposalError(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return notLeader(err.Error())
	case errors.Is(err, replica.ErrOverloaded):
		return overloaded(err.Error())
	}
	return outcomeUnknown(err.Error())
}

// hadNoEffect tells whether a failed call had no effect anywhere.
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

// forwardedError translates the failure of a call that was passed on.
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
