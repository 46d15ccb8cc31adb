package filter

import (
	"net/http"
	"sync"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/forward"
	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// Exchange is one request on its way through the chain. One goroutine at a
// time uses it.
type Exchange struct {
	ID       string
	Received time.Time
	// Method, URI and Header go to the target. Path is the decoded path that
	// routes are matched on.
	Method string
	URI    string
	Path   string
	Header http.Header
	Body   []byte
	// Bearer is the caller's key.
	Bearer string
	// Key is the caller's Idempotency-Key.
	Key string
	// Stream tells that the caller asked for server-sent events that end with
	// the published end mark.
	Stream bool
	// Idempotent work may be tried more than once.
	Idempotent bool
	// Deadline is the end of the caller's patience; zero if not told. Patience is
	// how long the caller said that it waits.
	Deadline  time.Time
	WaitLimit time.Duration
	Demand    Demand
	Revision  uint64

	// Host is the host that the caller asked; set for routed requests only, like
	// the fields up to Extra.
	Host string
	// Index is the routing table that decides on the request; Route and Team are
	// what it says of it. Team is nil on public routes.
	Index *routing.Index
	Route *routing.Route
	Team  *routing.Team
	// Priority is the rank of the request, zero first: the team's, or else the
	// route's. Surging requests go behind others of their rank.
	Priority int
	Surging  bool
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEvent is the id of the last event that the caller has of a stream
	// that it resumes; empty for a new one.
	LastEvent string
	// Extra headers go to the target as they are.
	Extra http.Header

	// Token is unspent until a byte can leave.
	Token Token
	// Grant is the target of the present try, Tries the number of tries that
	// were sent.
	Grant *Grant
	Tries int
	// OtherTargets is the number of other targets that could take the request.
	OtherTargets int
	// Answer is what the chain has for the caller.
	Answer *Answer

	// claimed tells that the ledger granted this request its one dispatch.
	claimed bool

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

// AddReasons adds reasons that another package gave.
func (x *Exchange) AddReasons(rs []Reason) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.reasons = append(x.reasons, rs...)
}

// Reasons returns the reasons so far.
func (x *Exchange) Reasons() []Reason {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.reasons
}

// OnEnd registers f for the end of the exchange.
func (x *Exchange) OnEnd(f func(Usage)) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.ends = append(x.ends, f)
}

// SetUsage sets what the functions of OnEnd are given.
func (x *Exchange) SetUsage(u Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.usage = u
}

// End runs the functions of OnEnd once, the last one first.
func (x *Exchange) End() {
	x.mu.Lock()
	ends, usage := x.ends, x.usage
	x.ends = nil
	x.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i](usage)
	}
}

// Reject makes a rejection with the outcome that the token proves.
func (x *Exchange) Reject(r Rejection) *Rejection {
	x.AddReason(r.Step, "", r.Code+": "+r.Message)
	return x.Token.Reject(r)
}

// forwardRequest is the present try as the forwarder takes it.
func (x *Exchange) forwardRequest(t Timeouts, fresh bool) *forward.Request {
	target := x.Grant.Target
	return &forward.Request{
		Target:       target.GetId(),
		Addr:         target.GetAddr(),
		Method:       x.Method,
		URI:          x.URI,
		Host:         x.Host,
		Header:       x.Header,
		Extra:        x.Extra,
		Body:         x.Body,
		RequestID:    x.ID,
		Customer:     x.Demand.Contract.GetCustomer(),
		Chat:         x.Demand.Chat,
		Idempotent:   x.Idempotent,
		Fresh:        fresh,
		FirstByte:    t.FirstByte,
		BetweenBytes: t.BetweenBytes,
		OnSend:       x.Token.Spend,
	}
}
