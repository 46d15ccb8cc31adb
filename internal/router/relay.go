package router

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// stepRelay names the passing on of answers.
const stepRelay = "relay"

// relayBufferBytes is the most that is passed on at a time.
const relayBufferBytes = 32 << 10

var relayBuffers = sync.Pool{New: func() any {
	b := make([]byte, relayBufferBytes)
	return &b
}}

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("the caller can't be written to")

// answer passes the answer on. A cut aborts the connection once the record is
// written, so that no caller takes it for the end.
func (r *Router) answer(w http.ResponseWriter, req *http.Request, x *filter.Exchange) {
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	r.writeHeader(w, x)
	use := newUsageScanner(x)
	err := r.copyBody(w, x, use, &res.first)
	if res.first == 0 {
		res.first = time.Since(x.Received)
	}
	x.SetUsage(use.usage(err))
	res.whole = err == nil
	if err != nil {
		r.cut(w, x, err)
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
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if a.Length >= 0 && hasLength(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	h.Set(headerRequestID, x.ID)
	h.Set(headerOutcome, string(filter.OutcomeRun))
	if a.Replayed {
		h.Set(headerReplayed, "true")
	}
	r.closeWhileDraining(h)
	r.setWriteDeadline(w)
	w.WriteHeader(a.Status)
}

// hasLength tells whether answers of this status may declare a length.
func hasLength(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// closeWhileDraining asks the caller to look for another entry next time.
func (r *Router) closeWhileDraining(h http.Header) {
	if r.draining.Load() {
		h.Set("Connection", "close")
	}
}

// copyBody passes the body on piece by piece; an answer of unknown length is
// flushed after each piece.
func (r *Router) copyBody(w http.ResponseWriter, x *filter.Exchange, use *usageScanner, first *time.Duration) error {
	control := http.NewResponseController(w)
	buf := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buf)
	stream := x.Answer.Length < 0 || x.Answer.Events
	for {
		n, err := x.Answer.Body.Read(*buf)
		if n > 0 {
			use.scan((*buf)[:n])
			r.setWriteDeadline(w)
			if werr := write(w, control, (*buf)[:n], stream); werr != nil {
				return errs.Wrap(fmt.Errorf("%w: %w", errCallerWrite, werr), stepRelay, "")
			}
			if *first == 0 {
				*first = time.Since(x.Received)
			}
		}
		if errors.Is(err, io.EOF) {
			writeTrailer(w, x.Answer)
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// setWriteDeadline bounds the next writes to the caller.
func (r *Router) setWriteDeadline(w http.ResponseWriter) {
	// Writers that know no deadlines are those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(r.cfg.Bounds.WriteTimeout))
}

// write writes p and flushes it if it belongs to a stream.
func write(w io.Writer, control *http.ResponseController, p []byte, flush bool) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return control.Flush()
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

// cut tells the caller of a stream that it ends early.
func (r *Router) cut(w http.ResponseWriter, x *filter.Exchange, err error) {
	r.cuts.Inc(1)
	peer := errs.Peer(err)
	x.Note(stepRelay, peer, err.Error())
	r.cfg.Logger.Warn().
		Str("step", errs.Step(err)).
		Str("peer", peer).
		Str("request_id", x.ID).
		Err(err).
		Msg("answer cut")
	if !x.Answer.Events || errors.Is(err, errCallerWrite) {
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
