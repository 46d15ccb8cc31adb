// Package relay passes the answers of targets on to callers.
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

// Step names the passing on of an answer in errors and notes.
const Step = "relay"

// bufferBytes is the most that is passed on at a time.
const bufferBytes = 16 << 10

var buffers = sync.Pool{New: func() any {
	b := make([]byte, bufferBytes)
	return &b
}}

// ErrCallerWrite marks a failed write to the caller.
var ErrCallerWrite = errors.New("the caller can't be written to")

// SetHeader sets the headers of an answer, and its length where the status may
// have one.
func SetHeader(h http.Header, a *filter.Answer) {
	for name, values := range a.Header {
		h[name] = values
	}
	h.Del("Content-Length")
	if a.Length >= 0 && allowsContentLength(a.Status) {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
}

// allowsContentLength tells whether answers of this status may declare a length.
func allowsContentLength(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// Body is the body of an answer.
type Body struct {
	Source io.Reader
	// Flush has each piece sent at once.
	Flush bool
	// OnChunk is called with each piece before it is written; may be nil.
	OnChunk func([]byte)
}

// Copy writes the body to the caller piece by piece until it ends. It returns
// when the first piece was written, zero if none was. Failed writes carry
// ErrCallerWrite, other errors are those of the reader.
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

func (b Body) write(w io.Writer, control *http.ResponseController, piece []byte) error {
	if b.OnChunk != nil {
		b.OnChunk(piece)
	}
	if _, err := w.Write(piece); err != nil {
		return err
	}
	if !b.Flush {
		return nil
	}
	return control.Flush()
}

// Drain asks callers to use other connections once it is set.
type Drain struct{ set atomic.Bool }

// Set begins the drain.
func (d *Drain) Set() { d.set.Store(true) }

// IsSet tells whether the drain has begun.
func (d *Drain) IsSet() bool { return d.set.Load() }

// SetConnectionClose has the caller's connection closed after this answer while the drain is
// set.
func (d *Drain) SetConnectionClose(h http.Header) {
	if d.IsSet() {
		h.Set("Connection", "close")
	}
}
