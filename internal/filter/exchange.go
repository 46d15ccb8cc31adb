package filter

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// Exchange is one request on its way through the chain, with its answer. Only one
// goroutine at a time uses it.
type Exchange struct {
	ID       string
	Received time.Time
	// Method, URI and Header are sent to the target. Path is the decoded path that
	// routes are matched against.
	Method string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// ReadBody reads the body of a routed request into Body once its route and team are
	// known; nil if there is nothing to read.
	ReadBody func() error
	// Bearer is the caller's key.
	Bearer string
	// Key is the caller's Idempotency-Key.
	Key string
	// Stream is set if the caller of a chat requested server-sent events, which end with
	// the published end marker, or if the route is one of streams.
	Stream bool
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Deadline is when the caller stops waiting; zero if the caller named no time limit.
	// The route filter sets Deadline to the end of the route's timeout if that is
	// earlier, or if Deadline is zero.
	Deadline time.Time
	// WaitLimit is the time limit that the caller named, zero if none.
	WaitLimit time.Duration
	Demand    Demand
	// OnSilence is called when the target of the current try has been silent for longer than
	// the try's timeouts; see forward.Request. It may be nil.
	OnSilence func() time.Duration
	// OnSend is called before the request is sent to the target of a try. It may be nil.
	OnSend func()
	// Revision is the configuration revision, or the number of the routing table, by
	// which the request is served.
	Revision uint64

	// Host is the host of the caller's request. Host and the fields up to Extra are set
	// for routed requests only.
	Host string
	// Index is the routing table that decides on the request; Route and Team are its
	// entries for the request. Team is nil for a public route without a known key.
	Index *routing.Index
	Route *routing.Route
	Team  *routing.Team
	// Priority is the team's priority, or else the route's; zero is the most urgent. A
	// surging request, whose team has far more requests in flight than the others,
	// ranks behind others of the same priority.
	Priority int
	Surging  bool
	// Promoted is set if the request is admitted so that its kind or team does not starve.
	Promoted bool
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEvent is the id of the last event that the caller received of the stream that
	// it resumes; empty for a new stream.
	LastEvent string
	// Extra headers are sent to the target unchanged.
	Extra http.Header

	// Token is unspent until a byte of the request can leave this router.
	Token Token
	// Grant is the right to send the current try and names its target. Tries counts the
	// tries, including the current one.
	Grant *Grant
	Tries int
	// OtherTargets is the number of other targets that could take the request.
	OtherTargets int
	// Answer is the answer for the caller.
	Answer *Answer

	// firstEvent is when the first byte of the answer's body was read; nil before that, or if
	// Overload does not observe the answer.
	firstEvent atomic.Pointer[time.Time]
	// claimed is set once the ledger has granted the claim, which permits one dispatch
	// of this request.
	claimed bool
	// fingerprint is the result of Fingerprint once it was called.
	fingerprint string

	mu      sync.Mutex
	reasons []Reason
	ends    []func(Usage)
	usage   Usage
}

// PromptPart is one part of a prompt; equal ids mean equal text.
type PromptPart struct {
	ID     string
	Tokens int
}

// AddReason adds a reason for operators.
func (x *Exchange) AddReason(step, target, text string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reasons = append(x.reasons, Reason{Step: step, Target: target, Text: text})
}

// AddReasons adds reasons that another package returned.
func (x *Exchange) AddReasons(rs []Reason) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reasons = append(x.reasons, rs...)
}

// Reasons returns the reasons added so far.
func (x *Exchange) Reasons() []Reason {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reasons
}

// OnEnd registers f to be called at the end of the exchange.
func (x *Exchange) OnEnd(f func(Usage)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ends = append(x.ends, f)
}

// SetUsage sets the argument of the functions registered by OnEnd.
func (x *Exchange) SetUsage(u Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.usage = u
}

// End calls the functions registered by OnEnd once, the last one first.
func (x *Exchange) End() {
	x.mu.Lock()
	ends, usage := x.ends, x.usage
	x.ends = nil
	x.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i](usage)
	}
}

// Reject returns a rejection with the outcome that the token proves, and adds it to the
// reasons.
func (x *Exchange) Reject(r Rejection) *Rejection {
	x.AddReason(r.Step, "", r.Code+": "+r.Message)
	return x.Token.Reject(r)
}

// forwardRequest returns the current try as a request to package forward. fresh demands
// a new connection.
func (x *Exchange) forwardRequest(t Timeouts, fresh bool) *forward.Request {
	target := x.Grant.Target
	return &forward.Request{
		Target:        target.GetId(),
		Addr:          target.GetAddr(),
		Method:        x.Method,
		URI:           x.URI,
		Host:          x.Host,
		Header:        x.Header,
		Extra:         x.Extra,
		Body:          x.Body,
		RequestID:     x.ID,
		Customer:      x.Demand.Contract.GetCustomer(),
		Chat:          x.Demand.Chat,
		Idempotent:    x.Idempotent,
		NewConnection: fresh,
		FirstByte:     t.FirstByte,
		OnSilence:     x.OnSilence,
		BetweenBytes:  t.BetweenBytes,
		OnSend:        x.onSend,
	}
}

// deadlinePassed reports whether the caller has stopped waiting. The context of the request may
// notice that a moment later.
func (x *Exchange) deadlinePassed() bool {
	return !x.Deadline.IsZero() && !time.Now().Before(x.Deadline)
}

// onSend is called before a byte of the request can leave this router.
func (x *Exchange) onSend() {
	x.Token.Spend()
	if x.OnSend != nil {
		x.OnSend()
	}
}
