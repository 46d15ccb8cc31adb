// Package relay writes answers, usually the responses of targets, to callers. It sets
// the headers, copies the body with optional flushing, makes an early end of an answer
// visible, and has callers' connections closed after their current answer while the
// router drains. It does not send requests to targets.
package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// Step is this package's step name in errors and in an exchange's reasons
// (filter.Exchange.AddReason), which explain to operators how a request was handled.
const Step = "relay"

// bufferBytes is the size of a copy buffer and thus the maximum size of a chunk.
const bufferBytes = 16 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// ErrCallerWrite marks a failed write or flush to the caller.
var ErrCallerWrite = errors.New("the caller can't be written to")

// SetHeader copies the headers of the answer to h. Content-Length is set from the
// answer's Length if that is known and the status allows it, and removed otherwise.
func SetHeader(h http.Header, a *filter.Answer) {
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if a.Length >= 0 && allowsContentLength(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
}

// allowsContentLength reports whether answers with this status may declare a
// length.
func allowsContentLength(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Body is the body of an answer.
type Body struct {
	Source io.Reader
	// Flush is set if each chunk must be flushed to the caller at once.
	Flush bool
	// OnChunk, if not nil, is called with each chunk before it is written.
	OnChunk func([]byte)
}

// Copy writes the body to the caller chunk by chunk until Source ends. first is the
// time at which the first chunk was written, or zero if none was. Errors of writes
// and flushes wrap ErrCallerWrite; other errors are those of Source.
func (b Body) Copy(w http.ResponseWriter) (first time.Time, err error) {
	control := http.NewResponseController(w)
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for {
		n, err := b.Source.Read(*buf)
		if n > 0 {
			if werr := b.write(w, control, (*buf)[:n]); werr != nil {
				return first, errs.Wrap(fmt.Errorf("%w: %w", ErrCallerWrite, werr), Step, "")
			}
			if first.IsZero() {
				first = time.Now()
			}
		}
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return first, err
		}
	}
}

// write writes one chunk to the caller and flushes it if Flush is set.
func (b Body) write(w io.Writer, control *http.ResponseController, chunk []byte) error {
	if b.OnChunk != nil {
		b.OnChunk(chunk)
	}
	if _, err := w.Write(chunk); err != nil {
		return err
	}
	if !b.Flush {
		return nil
	}
	return control.Flush()
}

// Drain is a switch for the shutdown of a router. After it is set, each answer asks
// for its connection to be closed, so that callers open connections elsewhere.
type Drain struct{ set atomic.Bool }

// Set starts the drain.
func (d *Drain) Set() { d.set.Store(true) }

// IsSet reports whether the drain has started.
func (d *Drain) IsSet() bool { return d.set.Load() }

// SetConnectionClose sets "Connection: close" if the drain has started. The server
// then closes the caller's connection after this answer.
func (d *Drain) SetConnectionClose(h http.Header) {
	if d.IsSet() {
		h.Set("Connection", "close")
	}
}
