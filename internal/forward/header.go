package forward

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that routers and targets exchange.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "X-Wigeonwood-"
	// HeaderCustomer carries the customer's name to a target.
	HeaderCustomer = headerPrefix + "Customer"
	// HeaderChat carries the chat's name to an engine, which uses that name in its
	// cache events.
	HeaderChat = headerPrefix + "Chat"
)

// hopByHop lists the headers that concern a single connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// replayHeaders lists the headers that allow net/http's Transport to replay a
// request.
var replayHeaders = []string{HeaderIdempotencyKey, "X-Idempotency-Key"}

// Dialect defines the headers that one kind of targets uses.
type Dialect struct {
	// RequestID is the canonical name of the header with the request's id.
	RequestID string
	// Customer and Chat are the headers that carry the customer and the chat. If
	// one is empty, targets do not receive the value.
	Customer string
	Chat     string
	// IsReservedRequestHeader and IsReservedResponseHeader report whether only
	// routers set a header of a request or a response. Values from callers and
	// targets are then dropped.
	IsReservedRequestHeader  func(name string) bool
	IsReservedResponseHeader func(name string) bool
	// RequireEcho is set if each response must carry the id of its request.
	// Otherwise a response may lack an id, but must not carry another one.
	RequireEcho bool
	// IsTargetResponse reports whether the headers of the response show that the
	// target itself sent it; nil accepts all responses.
	IsTargetResponse func(*http.Response) bool
}

// defaultDialect is the dialect of Wigeonwood's own targets.
var defaultDialect = &Dialect{
	RequestID:                HeaderRequestID,
	Customer:                 HeaderCustomer,
	Chat:                     HeaderChat,
	IsReservedRequestHeader:  hasHeaderPrefix,
	IsReservedResponseHeader: hasHeaderPrefix,
}

func hasHeaderPrefix(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// copyEndToEnd returns a copy of h without the hop-by-hop headers, the headers that
// Connection lists and the reserved headers.
func copyEndToEnd(h http.Header, reserved func(name string) bool) http.Header {
	listed := connectionHeaders(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if listed[name] || reserved(name) {
			continue
		}
		out[name] = values
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// connectionHeaders returns the headers that the Connection header lists.
func connectionHeaders(h http.Header) map[string]bool {
	var listed map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if listed == nil {
				listed = make(map[string]bool)
			}
			listed[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}

// requestHeader returns the header to send to a target.
func (d *Dialect) requestHeader(r *Request) http.Header {
	h := copyEndToEnd(r.Header, d.IsReservedRequestHeader)
	delete(h, "Authorization")
	delete(h, "Cookie")
	delete(h, "Expect")
	delete(h, "Content-Length")
	h[d.RequestID] = []string{r.RequestID}
	if r.Customer != "" && d.Customer != "" {
		h[d.Customer] = []string{r.Customer}
	}
	if r.Chat != "" && d.Chat != "" {
		h[d.Chat] = []string{r.Chat}
	}
	for name, values := range r.Extra {
		h[name] = values
	}
	if _, ok := h["User-Agent"]; !ok {
		// The entry without a value prevents the Transport from adding its own
		// User-Agent.
		h["User-Agent"] = nil
	}
	lowercaseReplayHeaders(h)
	return h
}

// lowercaseReplayHeaders stores the idempotency keys under lower-case names. For
// the target these are the same headers, but the Transport does not recognise them
// as a permission to replay the request.
func lowercaseReplayHeaders(h http.Header) {
	for _, name := range replayHeaders {
		values, ok := h[name]
		if !ok {
			continue
		}
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}
