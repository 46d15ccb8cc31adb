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

// logError gives a replica.Log error the status that callers act on. Whatever
// isn't known to have had no effect counts as unknown.
func logError(err error) error {
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return notLeader(err.Error())
	case errors.Is(err, replica.ErrOverloaded):
		return overloaded(err.Error())
	}
	return outcomeUnknown(err.Error())
}

// nothingHappened tells whether a failed call had no effect anywhere.
func nothingHappened(err error) bool {
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

// passedOn translates the failure of a call that was passed on.
func passedOn(err error) error {
	if err == nil {
		return nil
	}
	if nothingHappened(err) {
		return notLeader(err.Error())
	}
	return outcomeUnknown(err.Error())
}

func overloaded(message string) error {
	return transport.NewStatusError(pb.CallStatus_CALL_STATUS_OVERLOADED, message)
}
