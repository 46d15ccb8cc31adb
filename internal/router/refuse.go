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

// Headers that routers add to answers.
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
)

// discardTimeout bounds the reading of what is left of a refused request's
// body, before the answer.
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

// newErrorDetail is what callers are told of a rejection.
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

// asRejection returns err as a rejection.
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

// refuse answers a request that did not enter the chain.
func (r *Router) refuse(w http.ResponseWriter, req *http.Request, x *filter.Exchange, err error) {
	defer x.End()
	if req.ContentLength != 0 && x.Body == nil {
		setReadDeadline(w, min(discardTimeout, r.cfg.Bounds.BodyTimeout))
	}
	r.writeRejection(w, req, x, asRejection(x, err))
}

// writeRejection writes a rejection and records it.
func (r *Router) writeRejection(w http.ResponseWriter, req *http.Request, x *filter.Exchange, rejection *filter.Rejection) {
	r.refusals.Tagged(map[string]string{"code": rejection.Code, "outcome": string(rejection.Outcome())}).Counter("refused").Inc(1)
	r.logRefusal(x, rejection)
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
	if closesConnection(rejection.Status) {
		h.Set("Connection", "close")
	}
	r.drain.SetConnectionClose(h)
	r.setWriteDeadline(w)
	w.WriteHeader(rejection.Status)
	whole := true
	if req.Method != http.MethodHead {
		// Encoding a struct of strings can only fail at the writer.
		whole = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(x, rejection)}) == nil
	}
	r.observe(x, result{
		status:    rejection.Status,
		outcome:   rejection.Outcome(),
		refused:   true,
		complete:  whole,
		firstByte: time.Since(x.Received),
	})
}

// closesConnection tells whether the rest of the request may still be on its way.
func closesConnection(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusRequestEntityTooLarge
}

// retryAfterSeconds rounds up to whole seconds, as Retry-After wants them.
func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatInt(int64((d+time.Second-1)/time.Second), 10)
}

// logRefusal writes one event for a refusal.
func (r *Router) logRefusal(x *filter.Exchange, rejection *filter.Rejection) {
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

// serveNotFound answers paths that nothing is served on.
func (r *Router) serveNotFound(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	r.refuse(w, req, x, invalid(x, http.StatusNotFound, codeNotFound, "nothing is served on this path"))
}

// serveWrongMethod answers methods that a path doesn't take.
func (r *Router) serveWrongMethod(w http.ResponseWriter, req *http.Request) {
	x := r.newExchange(req)
	r.refuse(w, req, x, invalid(x, http.StatusMethodNotAllowed, codeMethodNotAllowed, "this path does not take the method "+req.Method))
}
