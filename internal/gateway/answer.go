package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
	"github.com/wigeonwood/wigeonwood/internal/forward"
)

const (
	// copyBytes is the most that is passed on at a time.
	copyBytes = 16 << 10
	// writeGrace is how long after a request's deadline its answer may still be
	// written.
	writeGrace = 2 * time.Second
)

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// errCallerWrite marks a failed write to the caller.
var errCallerWrite = errors.New("the caller can't be written to")

// answer passes the target's answer on. A cut aborts the connection, so that no
// caller takes it for the end.
func (g *Gateway) answer(w http.ResponseWriter, x *filter.Exchange) {
	res := result{status: x.Answer.Status, outcome: filter.OutcomeRun}
	// Writers that know no deadlines are those of tests.
	_ = http.NewResponseController(w).SetWriteDeadline(x.Deadline.Add(writeGrace))
	g.writeHeader(w, x)
	last := time.Now()
	res.err = g.copyBody(w, x, &res.first, &last)
	x.SetUsage(filter.Usage{Failed: targetFailed(res.err, time.Since(last))})
	if res.err == nil {
		g.finish(x, res)
		return
	}
	g.cuts.Inc(1)
	g.finish(x, res)
	x.Answer.Body.Close()
	x.End()
	panic(http.ErrAbortHandler)
}

func (g *Gateway) writeHeader(w http.ResponseWriter, x *filter.Exchange) {
	h := w.Header()
	for name, values := range x.Answer.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if x.Answer.Length >= 0 && x.Answer.Status != http.StatusNoContent && x.Answer.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(x.Answer.Length, 10))
	}
	g.closeWhileDraining(h)
	w.WriteHeader(x.Answer.Status)
}

// silenceBound is the pause in an answer from which a caller's leaving counts
// against the target.
const silenceBound = 1500 * time.Millisecond

// targetFailed tells whether the end of an answer says that its target failed;
// silence is the time since its last piece.
func targetFailed(err error, silence time.Duration) bool {
	switch {
	case err == nil, errors.Is(err, errCallerWrite):
		return false
	case errors.Is(err, forward.ErrCallerGone):
		return silence > silenceBound
	default:
		return true
	}
}

// copyBody passes the body on piece by piece; a stream's pieces are flushed. last
// is set to the time of the last piece.
func (g *Gateway) copyBody(w http.ResponseWriter, x *filter.Exchange, first *time.Duration, last *time.Time) error {
	control := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := x.Answer.Body.Read(*buf)
		if n > 0 {
			*last = time.Now()
			if werr := write(w, control, (*buf)[:n], x.Answer.Events); werr != nil {
				return errs.Wrap(fmt.Errorf("%w: %w", errCallerWrite, werr), "answer", "")
			}
			if *first == 0 {
				*first = time.Since(x.Received)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func write(w io.Writer, control *http.ResponseController, p []byte, flush bool) error {
	if _, err := w.Write(p); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return control.Flush()
}
