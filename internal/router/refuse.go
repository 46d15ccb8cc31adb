package router

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/filter"
)

// Response headers, and error codes of the router itself.
const (
	headerOutcome        = "X-Wigeonwood-Outcome"
	headerReplayed       = "X-Wigeonwood-Replayed"
	headerEntries        = "X-Wigeonwood-Entries"
	headerRequestID      = "X-Request-Id"
	headerRetryAfter     = "Retry-After"
	contentTypeJSON      = "application/json"
	codeInternal         = "internal"
	codeNotFound         = "not-found"
	codeMethodNotAllowed = "method-not-allowed"
	// codeBodiesFull is the code of a request whose body finds no memory.
	codeBodiesFull = "bodies-full"
	// codeBodyClosed is the code of a body that was closed to free memory.
	codeBodyClosed = "body-closed"
)

// discardTimeout limits how long net/http may read the rest of a refused
// request's body before it writes the response.
const discardTimeout = time.Second

// errorBody is the JSON body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      string         `json:"code"`
	Message   string         `json:"message"`
	Step      string         `json:"step"`
	RequestID string         `json:"request_id"`
	Outcome   filter.Outcome `json:"outcome"`
	Entries   []string       `json:"entries,omitempty"`
}

// newErrorDetail returns the part of a rejection that the caller sees.
func newErrorDetail(x *filter.Exchange, r *filter.Rejection) errorDetail {
	return errorDetail{
		Code:      r.Code,
		Message:   r.Message,
		Step:      r.Step,
		RequestID: x.ID,
		Outcome:   r.Outcome(),
		Entries:   r.Entries,
	}
}

// asRejection returns the rejection that err wraps, or else a new one with
// codeInternal.
func asRejection(x *filter.Exchange, err error) *filter.Rejection {
	var rejection *filter.Rejection
	if errors.As(err, &rejection) {
		return rejection
	}
	return x.Reject(filter.Rejection{
		Status:  http.StatusInternalServerError,
		Code:    codeInternal,
		Message: err.Error(),
		Step:    errs.Step(err),
	})
}

// refuse writes the rejection of a request that does not reach the filter chain and ends
// its exchange.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, x *filter.Exchange, err error) {
	defer x.End()
	rejection := asRejection(x, err)
	if req.ContentLength != 0 && x.Body == nil && rejection.Code != codeBodyClosed {
		setReadDeadline(w, min(discardTimeout, r.cfg.Bounds.BodyTimeout))
	}
	r.writeRejection(w, req, x, rejection)
}

// writeRejection writes a rejection to the caller, logs it and records it.
func (r *Router) writeRejection(w http.ResponseWriter, req *http.Request, x *filter.Exchange, rejection *filter.Rejection) {
	r.refusals.Tagged(map[string]string{"code": rejection.Code, "outcome": string(rejection.Outcome())}).Counter("refused").Inc(1)
	r.logRejection(x, rejection)
	h := w.Header()
	h.Set("Content-Type", contentTypeJSON)
	h.Set(headerRequestID, x.ID)
	h.Set(headerOutcome, string(rejection.Outcome()))
	if rejection.RetryAfter > 0 {
		h.Set(headerRetryAfter, retryAfterSeconds(rejection.RetryAfter))
	}
	for _, entry := range rejection.Entries {
		h.Add(headerEntries, entry)
	}
	if closesConnection(rejection) {
		h.Set("Connection", "close")
	}
	r.drain.SetConnectionClose(h)
	r.setWriteDeadline(w)
	w.WriteHeader(rejection.Status)
	complete := true
	if req.Method != http.MethodHead {
		// Encoding strings can't fail; an error comes from the writer.
		complete = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(x, rejection)}) == nil
	}
	r.observe(x, result{
		status:    rejection.Status,
		outcome:   rejection.Outcome(),
		refused:   true,
		complete:  complete,
		firstByte: time.Since(x.Received),
	})
}

// closesConnection reports whether the rest of the request body may still arrive
// after this rejection, so that the connection can't be reused.
func closesConnection(r *filter.Rejection) bool {
	switch r.Status {
	case http.StatusRequestTimeout, http.StatusRequestEntityTooLarge:
		return true
	}
	return r.Code == codeBodiesFull || r.Code == codeBodyClosed
}

// retryAfterSeconds formats d for the Retry-After header, rounded up to seconds.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// logRejection logs a rejection under the message "refused".
func (r *Router) logRejection(x *filter.Exchange, rejection *filter.Rejection) {
	peer := ""
	if x.Grant != nil {
		peer = x.Grant.Target.GetId()
	}
	r.cfg.Logger.Info().
		Str("step", rejection.Step).
		Str("peer", peer).
		Str("request_id", x.ID).
		Str("code", rejection.Code).
		Str("outcome", string(rejection.Outcome())).
		Msg("refused")
}

// serveNotFound refuses requests for unknown paths.
func (r *Router) serveNotFound(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	r.refuse(w, req, x, invalid(x, http.StatusNotFound, codeNotFound, "nothing is served on this path"))
}

// serveWrongMethod refuses requests with a method that the path does not
// support.
func (r *Router) serveWrongMethod(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	r.refuse(w, req, x, invalid(x, http.StatusMethodNotAllowed, codeMethodNotAllowed, "this path does not support the method "+req.Method))
}
