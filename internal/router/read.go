package router

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// stepRead names the reading of requests in refusals.
const stepRead = "read"

// Headers that callers send.
const (
	headerChatID   = "X-Chat-Id"
	headerPriority = "X-Priority"
	headerTimeout  = "X-Timeout-Ms"
	headerKey      = "Idempotency-Key"
)

// bodyRetryAfter is when a router that holds too many bodies may take more.
const bodyRetryAfter = time.Second

// bodyBudget bounds the bytes of all bodies held at a time.
type bodyBudget struct {
	max  int64
	used atomic.Int64
}

// reserve reserves n bytes.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) > b.max {
		b.used.Add(-n)
		return false
	}
	return true
}

// release returns n bytes.
func (b *bodyBudget) release(n int64) { b.used.Add(-n) }

// invalid rejects a request that can't be understood.
func invalid(x *filter.Exchange, status int, code, message string) *filter.Rejection {
	return x.Reject(filter.Rejection{Status: status, Code: code, Message: message, Step: stepRead})
}

// readBody reads the body into x within its bounds of size and time. Bodies are
// held for customers only: the chain asks again, once the request is read.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request, x *filter.Exchange) error {
	if !req.ProtoAtLeast(1, 1) {
		return invalid(x, http.StatusHTTPVersionNotSupported, "http-version", "a cut answer can't be shown in HTTP/1.0; use HTTP/1.1")
	}
	if err := r.lease.Check(x, filter.StepLease); err != nil {
		return err
	}
	if _, err := r.identify.Contract(x); err != nil {
		return err
	}
	limit := r.cfg.Bounds.MaxBodyBytes
	if req.ContentLength > limit {
		return tooLarge(x, limit)
	}
	reserve := req.ContentLength
	if reserve < 0 {
		reserve = limit
	}
	if !r.bodies.reserve(reserve) {
		return x.Reject(filter.Rejection{
			Code:       "bodies-full",
			Message:    "this router holds as many request bodies as it may",
			Step:       stepRead,
			RetryAfter: bodyRetryAfter,
		})
	}
	x.OnEnd(func(filter.Usage) { r.bodies.release(reserve) })
	if reserve == 0 {
		return nil
	}
	body, err := readAll(http.MaxBytesReader(w, req.Body, limit), req.ContentLength)
	if err != nil {
		return rejectBody(x, err, limit)
	}
	setReadDeadline(w, 0)
	x.Body = body
	r.bodies.release(reserve - int64(len(body)))
	reserve = int64(len(body))
	return nil
}

// readKey sets the caller's Idempotency-Key. A key that was meant and can't be
// read must not count as none.
func readKey(req *http.Request, x *filter.Exchange) error {
	values := req.Header.Values(headerKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" {
		return invalid(x, http.StatusBadRequest, "bad-key", headerKey+" is empty or given more than once")
	}
	x.Key = values[0]
	return nil
}

// setReadDeadline bounds further reads of the request; zero lifts the bound.
func setReadDeadline(w http.ResponseWriter, d time.Duration) {
	var end time.Time
	if d > 0 {
		end = time.Now().Add(d)
	}
	// Writers that know no deadlines are those of tests.
	_ = http.NewResponseController(w).SetReadDeadline(end)
}

// readAll reads a body whose size may be known.
func readAll(body io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(body)
	}
	var b bytes.Buffer
	b.Grow(int(size) + bytes.MinRead)
	_, err := b.ReadFrom(body)
	return b.Bytes(), err
}

// rejectBody rejects a body that could not be read.
func rejectBody(x *filter.Exchange, err error, limit int64) error {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return tooLarge(x, limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return invalid(x, http.StatusRequestTimeout, "slow-body", "the body did not arrive in time")
	default:
		return invalid(x, http.StatusBadRequest, "bad-body", "the body could not be read: "+err.Error())
	}
}

func tooLarge(x *filter.Exchange, limit int64) error {
	return invalid(x, http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body is larger than %d bytes", limit))
}

// maxTimeoutMs is the longest time that callers may ask for, in milliseconds.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// readTimeout sets the caller's deadline from its header.
func readTimeout(req *http.Request, x *filter.Exchange) error {
	text := req.Header.Get(headerTimeout)
	if text == "" {
		return nil
	}
	ms, err := strconv.Atoi(text)
	if err != nil || ms <= 0 || ms > maxTimeoutMs {
		return invalid(x, http.StatusBadRequest, "bad-timeout", headerTimeout+" is not a number of milliseconds")
	}
	x.Deadline = x.Received.Add(time.Duration(ms) * time.Millisecond)
	return nil
}

// priorities maps the priority header's values to classes.
var priorities = map[string]filter.Class{
	"check": filter.ClassCheck,
	"note":  filter.ClassNote,
	"draft": filter.ClassDraft,
}

// className is the priority header's value for a class.
func className(c filter.Class) string {
	for name, class := range priorities {
		if class == c {
			return name
		}
	}
	return ""
}

// readPriority sets the class from its header, or else to fallback.
func readPriority(req *http.Request, x *filter.Exchange, fallback filter.Class) error {
	x.Demand.Class = fallback
	text := req.Header.Get(headerPriority)
	if text == "" {
		x.AddReason(stepRead, "", "class "+className(fallback)+" from the kind of request")
		return nil
	}
	class, ok := priorities[text]
	if !ok {
		return invalid(x, http.StatusBadRequest, "bad-priority", headerPriority+" is none of check, note, draft")
	}
	x.Demand.Class = class
	return nil
}
