package filter

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// declinedOutcome tells what it says of a target that it did not run a request. Where
// another one answers at its address, the target is gone.
func declinedOutcome(status int) balance.Outcome {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.NotRun
}

// answerOutcome tells how a request that was answered went.
func answerOutcome(a *Answer, u Usage) balance.Outcome {
	if u.Failed || a.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Served
}

// abandonAfterGoals times the latency objective is how long a target may leave a
// caller without an answer until the caller's leaving counts against it.
const abandonAfterGoals = 3

// failedTryOutcome tells what a failed try that lasted so long says of its target.
func failedTryOutcome(err error, lasted, goal time.Duration) balance.Outcome {
	switch {
	case errors.Is(err, forward.ErrCallerGone) && lasted > abandonAfterGoals*goal:
		return balance.Failed
	case errors.Is(err, forward.ErrCallerGone):
		return balance.Abandoned
	case errors.Is(err, forward.ErrDial), errors.Is(err, forward.ErrSilent):
		return balance.Unreachable
	case errors.Is(err, forward.ErrKept):
		return balance.Abandoned
	default:
		return balance.Failed
	}
}
