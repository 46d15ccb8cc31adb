package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/relay"
)

// writeAnswer streams the answer to the caller and records the result. If the
// answer ends early, it aborts the connection after the record is written, so
// that the caller does not take the truncated answer for a complete one.
func (r *Router) writeAnswer(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	end := r.writeHeader(w, req, x)
	scanner := newUsageScanner(x)
	first, err := r.copyBody(w, x, scanner)
	if err == nil {
		err = end.Confirm(w)
	}
	if first.IsZero() {
		first = time.Now()
	}
	res.firstByte = first.Sub(x.Received)
	x.SetUsage(scanner.usage(err))
	res.complete = err == nil
	if err != nil {
		r.reportCut(w, x, err)
	}
	r.observe(x, res)
	if err != nil {
		x.End()
		x.Answer.Body.Close()
		panic(http.ErrAbortHandler)
	}
}

// writeHeader writes the status and headers of the answer. It returns the guard of the
// answer's end.
func (r *Router) writeHeader(w http.ResponseWriter, req *http.Request, x *filter.Exchange) relay.EndGuard {
	a := x.Answer
	h := w.Header()
	relay.SetHeader(h, a)
	h.Set(headerRequestID, x.ID)
	h.Set(headerOutcome, string(filter.OutcomeRun))
	if a.Replayed {
		h.Set(headerReplayed, "true")
	}
	r.drain.SetConnectionClose(h)
	r.setWriteDeadline(w)
	end, err := relay.GuardEnd(req, h)
	if err != nil {
		r.cfg.Logger.Warn().Str("step", relay.Step).Str("request_id", x.ID).Err(err).Msg("the end of an answer is not guarded")
	}
	w.WriteHeader(a.Status)
	return end
}

// copyBody streams the body and its trailers to the caller and returns the time
// of the first byte. Event streams and answers of unknown length are flushed
// after each piece.
func (r *Router) copyBody(w http.ResponseWriter, x *filter.Exchange, scanner *usageScanner) (first time.Time, err error) {
	body := relay.Body{
		Source: x.Answer.Body,
		Flush:  x.Answer.Length < 0 || x.Answer.Events,
		OnChunk: func(piece []byte) {
			scanner.scan(piece)
			r.setWriteDeadline(w)
		},
	}
	first, err = body.Copy(w)
	if err == nil {
		writeTrailer(w, x.Answer)
	}
	return first, err
}

// setWriteDeadline limits the next writes to the caller to WriteTimeout from now.
func (r *Router) setWriteDeadline(w http.ResponseWriter) {
	// The error is ignored since only writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Bounds.WriteTimeout))
}

// writeTrailer forwards the trailers. They are complete only after the body was
// read.
func writeTrailer(w http.ResponseWriter, a *filter.Answer) {
	if a.Trailer == nil {
		return
	}
	for name, values := range a.Trailer() {
		for _, value := range values {
			w.Header().Add(http.TrailerPrefix+name, value)
		}
	}
}

// reportCut logs that the answer ended early. On an event stream it also sends
// an error event to the caller.
func (r *Router) reportCut(w http.ResponseWriter, x *filter.Exchange, err error) {
	r.cutAnswers.Inc(1)
	peer := errs.Peer(err)
	x.AddReason(relay.Step, peer, err.Error())
	r.cfg.Logger.Warn().
		Str("step", errs.Step(err)).
		Str("peer", peer).
		Str("request_id", x.ID).
		Err(err).
		Msg("answer cut")
	if !x.Answer.Events || errors.Is(err, relay.ErrCallerWrite) {
		return
	}
	body, _ := json.Marshal(errorBody{Error: errorDetail{
		Code:      "cut",
		Message:   "the answer ends early: " + err.Error(),
		Step:      errs.Step(err),
		RequestID: x.ID,
		Outcome:   filter.OutcomeUnknown,
	}})
	r.setWriteDeadline(w)
	// The blank line terminates an event of which only a part was sent. A failed
	// write does not matter since writeAnswer aborts the connection next.
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", body)
	_ = http.NewResponseController(w).Flush()
}
