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

// abandonAfterGoals is a number of latency objectives. If a caller has waited for an
// answer longer than that and leaves, the try counts as a failure of the target.
const abandonAfterGoals = 3

// failedTryOutcome returns the outcome of a try that failed with err after elapsed. The
// end of a kept connection counts as abandoned, because the target may have closed the
// idle connection.
func failedTryOutcome(err error, elapsed, goal time.Duration) balance.Outcome {
	switch {
	case errors.Is(err, forward.ErrCallerGone) && elapsed > abandonAfterGoals*goal:
		return balance.Failed
	case errors.Is(err, forward.ErrCallerGone), errors.Is(err, forward.ErrAbandoned):
		return balance.Abandoned
	case errors.Is(err, forward.ErrDial), errors.Is(err, forward.ErrSilent):
		return balance.Unreachable
	case errors.Is(err, forward.ErrReusedConnection):
		return balance.Abandoned
	default:
		return balance.Failed
	}
}
