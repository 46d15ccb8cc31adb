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

// writeAnswer passes the answer on. A cut aborts the connection once the record is
// written, so that no caller takes it for the end.
func (r *Router) writeAnswer(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	r.writeHeader(w, x)
	use := newUsageScanner(x)
	first, err := r.copyBody(w, x, use)
	if first.IsZero() {
		first = time.Now()
	}
	res.firstByte = first.Sub(x.Received)
	x.SetUsage(use.usage(err))
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

// writeHeader writes the answer's status and headers.
func (r *Router) writeHeader(w http.ResponseWriter, x *filter.Exchange) {
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
	w.WriteHeader(a.Status)
}

// copyBody passes the body and its trailers on; an answer of unknown length is
// flushed after each piece.
func (r *Router) copyBody(w http.ResponseWriter, x *filter.Exchange, use *usageScanner) (first time.Time, err error) {
	body := relay.Body{
		Source: x.Answer.Body,
		Flush:  x.Answer.Length < 0 || x.Answer.Events,
		OnChunk: func(piece []byte) {
			use.scan(piece)
			r.setWriteDeadline(w)
		},
	}
	first, err = body.Copy(w)
	if err == nil {
		writeTrailer(w, x.Answer)
	}
	return first, err
}

// setWriteDeadline bounds the next writes to the caller.
func (r *Router) setWriteDeadline(w http.ResponseWriter) {
	// Writers that know no deadlines are those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Bounds.WriteTimeout))
}

// writeTrailer passes the trailers on; they are complete after the body.
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

// reportCut tells the caller of a stream that it ends early.
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
	// The blank line ends an event that was cut in the middle. The connection
	// is aborted next, so a failed write is of no matter.
	_, _ = fmt.Fprintf(w, "\n\nevent: error\ndata: %s\n\n", body)
	_ = http.NewResponseController(w).Flush()
}
