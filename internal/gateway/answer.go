package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// writeGrace is how long after a request's deadline its answer may still be written.
const writeGrace = 2 * time.Second

// writeAnswer writes the answer to the caller. It aborts the connection if the answer
// is cut, so that the caller can't mistake the cut for the end.
func (g *Gateway) writeAnswer(w http.ResponseWriter, x *filter.Exchange) {
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	// Only the writers of tests don't support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(x.Deadline.Add(writeGrace))
	relay.SetHeader(w.Header(), x.Answer)
	g.drain.SetConnectionClose(w.Header())
	w.WriteHeader(x.Answer.Status)
	last := time.Now()
	body := relay.Body{
		Source:  x.Answer.Body,
		Flush:   x.Answer.Events,
		OnChunk: func([]byte) { last = time.Now() },
	}
	first, err := body.Copy(w)
	res.err = err
	if !first.IsZero() {
		res.firstByte = first.Sub(x.Received)
	}
	x.SetUsage(filter.Usage{Failed: targetFailed(res.err, time.Since(last))})
	if res.err == nil {
		g.finish(x, res)
		return
	}
	g.cutAnswers.Inc(1)
	g.finish(x, res)
	x.Answer.Body.Close()
	x.End()
	panic(http.ErrAbortHandler)
}

// abandonSilence is the pause in a response after which a caller's leaving counts
// against the target.
const abandonSilence = 1500 * time.Millisecond

// targetFailed reports whether err, the end of a response, is a failure of the target.
// silence is the time since the response's last piece.
func targetFailed(err error, silence time.Duration) bool {
	switch {
	case err == nil, errors.Is(err, relay.ErrCallerWrite):
		return false
	case errors.Is(err, forward.ErrCallerGone):
		return silence > abandonSilence
	default:
		return true
	}
}
