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

// writeAnswer writes the answer to the caller. It writes a rejection instead if the answer fails
// before its body begins, and aborts the connection if it is truncated later, so that the caller
// can't take the truncated answer for a complete one.
func (g *Gateway) writeAnswer(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	last := time.Now()
	if err := x.Answer.AwaitBody(); err != nil {
		x.SetUsage(filter.Usage{Failed: targetFailed(err, time.Since(last))})
		g.writeRejection(w, x, filter.RejectUnbegun(x, err))
		return
	}
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	// The error can be ignored: only the response writers of tests don't support
	// deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(x.Deadline.Add(writeGrace))
	relay.SetHeader(w.Header(), x.Answer)
	g.drain.SetConnectionClose(w.Header())
	if !x.Answer.Framed {
		relay.SetUnframed(w.Header())
	}
	end, err := relay.GuardEnd(req, w.Header())
	if err != nil {
		g.cfg.Logger.Warn().Str("step", relay.Step).Str("request_id", x.ID).Err(err).Msg("the end of an answer is not guarded")
	}
	w.WriteHeader(x.Answer.Status)
	body := relay.Body{
		Source:  x.Answer.Body,
		Flush:   x.Answer.Events,
		OnChunk: func([]byte) { last = time.Now() },
	}
	first, err := body.Copy(w)
	if err == nil {
		err = end.Confirm(w)
	}
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

// abandonSilence is the pause in a response after which the target counts as failed if
// the caller leaves.
const abandonSilence = 1500 * time.Millisecond

// targetFailed reports whether a response that ended with err counts as a failure of the
// target. silence is the time since the last data of the response. A caller that leaves
// during a stream does not count as a failure, unless the stream had stalled.
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
