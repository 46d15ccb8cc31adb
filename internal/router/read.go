package router

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/wigeonwood/wigeonwood/internal/bodybuffer"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// stepRead is the step name in refusals of requests that the router did not read
// or could not read, because they are invalid or a limit is reached.
const stepRead = "read"

// Request headers of callers.
const (
	headerChatID   = "X-Chat-Id"
	headerPriority = "X-Priority"
	headerTimeout  = "X-Timeout-Ms"
	headerKey      = "Idempotency-Key"
)

// bodyRetryAfter is the Retry-After of a request that was refused because the
// body budget is used up.
const bodyRetryAfter = time.Second

// invalid returns the rejection of a malformed or unsupported request.
func invalid(x *filter.Exchange, status int, code, message string) *filter.Rejection {
	return x.Reject(filter.Rejection{Status: status, Code: code, Message: message, Step: stepRead})
}

// readBody reads the body into x within the size and time limits, and returns it, or nil
// if there is none. The lease and the customer's key are checked first, so that no memory
// is used for unknown callers. The filter chain repeats both checks after the request is
// read, since the lease and the contract may change while the body arrives.
func (r *Router) readBody(w http.ResponseWriter, req *http.Request, x *filter.Exchange) (*bodybuffer.Body, error) {
	if !req.ProtoAtLeast(1, 1) {
		return nil, invalid(x, http.StatusHTTPVersionNotSupported, "http-version", "HTTP/1.0 can't signal a truncated response; use HTTP/1.1")
	}
	if err := r.lease.Check(x, filter.StepLease); err != nil {
		return nil, err
	}
	contract, err := r.identify.Contract(x)
	if err != nil {
		return nil, err
	}
	limit := r.cfg.Bounds.MaxBodyBytes
	if req.ContentLength > limit {
		return nil, tooLarge(x, limit)
	}
	if req.ContentLength == 0 {
		return nil, nil
	}
	body, err := r.bodies.Read(bodybuffer.Source{
		Owner:     contract.GetCustomer(),
		Reader:    http.MaxBytesReader(w, req.Body, limit),
		Size:      req.ContentLength,
		Limit:     limit,
		Interrupt: func() { setReadDeadline(w, -time.Second) },
	})
	if err != nil {
		return nil, rejectBody(x, err, limit)
	}
	x.OnEnd(func(filter.Usage) { body.Release() })
	setReadDeadline(w, 0)
	x.Body = body.Bytes
	return body, nil
}

// readKey sets the caller's Idempotency-Key. An empty or repeated header is an
// error: handling it as no key would drop the protection that the caller wanted.
func readKey(req *http.Request, x *filter.Exchange) error {
	values := req.Header.Values(headerKey)
	if len(values) == 0 {
		return nil
	}
	if len(values) > 1 || values[0] == "" {
		return invalid(x, http.StatusBadRequest, "bad-key", headerKey+" is empty or given more than once")
	}
	if !utf8.ValidString(values[0]) {
		return invalid(x, http.StatusBadRequest, "bad-key", headerKey+" is not valid UTF-8")
	}
	x.Key = values[0]
	return nil
}

// setReadDeadline limits further reads of the request to d from now. A zero d
// removes the limit; a negative d makes reads fail.
func setReadDeadline(w http.ResponseWriter, d time.Duration) {
	var end time.Time
	if d != 0 {
		end = time.Now().Add(d)
	}
	// The error is ignored since only writers in tests do not support deadlines.
	_ = http.NewResponseController(w).SetReadDeadline(end)
}

// rejectBody returns the rejection for a body that could not be read.
func rejectBody(x *filter.Exchange, err error, limit int64) error {
	var large *http.MaxBytesError
	var limited *bodybuffer.LimitError
	switch {
	case errors.As(err, &limited):
		return x.Reject(filter.Rejection{
			Code:       limitCode(limited),
			Message:    limited.Error(),
			Step:       stepRead,
			RetryAfter: bodyRetryAfter,
		})
	case errors.As(err, &large):
		return tooLarge(x, limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return invalid(x, http.StatusRequestTimeout, "slow-body", "the body did not arrive in time")
	default:
		return invalid(x, http.StatusBadRequest, "bad-body", "the body could not be read: "+err.Error())
	}
}

// limitCode returns the code of the rejection for a limit on bodies in memory.
func limitCode(e *bodybuffer.LimitError) string {
	if e.Closed {
		return codeBodyClosed
	}
	return codeBodiesFull
}

// tooLarge returns the rejection of a body over the limit.
func tooLarge(x *filter.Exchange, limit int64) error {
	return invalid(x, http.StatusRequestEntityTooLarge, "body-too-large", fmt.Sprintf("the body is larger than %d bytes", limit))
}

// maxTimeoutMs is the largest timeout that a caller may request, 24 hours.
const maxTimeoutMs = 24 * 60 * 60 * 1000

// readTimeout sets the caller's deadline from the timeout header.
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

// priorities maps the values of the priority header to classes.
var priorities = map[string]filter.Class{
	"check": filter.ClassCheck,
	"note":  filter.ClassNote,
	"draft": filter.ClassDraft,
}

// className returns the priority header's value for a class.
func className(c filter.Class) string {
	for name, class := range priorities {
		if class == c {
			return name
		}
	}
	return ""
}

// readPriority sets the class from the priority header, or to fallback if there
// is none.
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
