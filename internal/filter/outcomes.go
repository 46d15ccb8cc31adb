package filter

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/balance"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

// declinedOutcome returns the outcome of a try whose target declared with this status
// that it did not run the request. With status 421, another target responds at the
// address, so the selected one is unreachable.
func declinedOutcome(status int) balance.Outcome {
	if status == http.StatusMisdirectedRequest {
		return balance.Unreachable
	}
	return balance.NotRun
}

// answerOutcome returns the outcome of an answered request.
func answerOutcome(a *Answer, u Usage) balance.Outcome {
	if u.Failed || a.Status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Served
}

// abandonAfterGoals times the latency objective is how long a target may leave a caller
// without an answer before the caller's leaving counts against the target.
const abandonAfterGoals = 3

// failedTryOutcome returns the outcome of a try that failed with err after the time
// lasted.
func failedTryOutcome(err error, lasted, goal time.Duration) balance.Outcome {
	switch {
	case errors.Is(err, forward.ErrCallerGone) && lasted > abandonAfterGoals*goal:
		return balance.Failed
	case errors.Is(err, forward.ErrCallerGone):
		return balance.Abandoned
	case errors.Is(err, forward.ErrDial), errors.Is(err, forward.ErrSilent):
		return balance.Unreachable
	case errors.Is(err, forward.ErrReusedConnection):
		return balance.Abandoned
	default:
		return balance.Failed
	}
}
