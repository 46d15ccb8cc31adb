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
	// HeaderCustomer names the customer to a target.
	HeaderCustomer = headerPrefix + "Customer"
	// HeaderChat names the chat to an engine, which names it so in its cache
	// events.
	HeaderChat = headerPrefix + "Chat"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// replayHeaders are the headers that make net/http's transport replay a request.
var replayHeaders = []string{HeaderIdempotencyKey, "X-Idempotency-Key"}

// Dialect names the headers that one kind of targets understands.
type Dialect struct {
	// RequestID is the header of the request's id, in its canonical form.
	RequestID string
	// Customer and Chat are the headers that name the customer and the chat;
	// empty if targets are not told.
	Customer string
	Chat     string
	// IsReservedRequestHeader and OwnAnswer tell whether only routers set a header of a
	// request or an answer, so that the values of callers and targets are
	// dropped.
	IsReservedRequestHeader  func(name string) bool
	IsReservedResponseHeader func(name string) bool
	// RequireEcho tells that each answer bears the id of its request.
	RequireEcho bool
	// IsTargetResponse tells whether an answer bears the marks of a target's own; nil
	// accepts all.
	IsTargetResponse func(*http.Response) bool
}

// defaultDialect is that of the product's own targets.
var defaultDialect = &Dialect{
	RequestID:                HeaderRequestID,
	Customer:                 HeaderCustomer,
	Chat:                     HeaderChat,
	IsReservedRequestHeader:  hasHeaderPrefix,
	IsReservedResponseHeader: hasHeaderPrefix,
}

func hasHeaderPrefix(name string) bool { return strings.HasPrefix(name, headerPrefix) }

// copyEndToEnd returns h without hop-by-hop headers, those that Connection
// names and those that only routers set.
func copyEndToEnd(h http.Header, own func(name string) bool) http.Header {
	named := connectionHeaders(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if named[name] || own(name) {
			continue
		}
		out[name] = values
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// connectionHeaders returns the headers that the Connection header names.
func connectionHeaders(h http.Header) map[string]bool {
	var named map[string]bool
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if named == nil {
				named = make(map[string]bool)
			}
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// requestHeader builds the header that goes to a target.
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
		// An explicit empty value keeps the transport from adding its own.
		h["User-Agent"] = nil
	}
	lowercaseReplayHeaders(h)
	return h
}

// lowercaseReplayHeaders spells the idempotency keys in lower case: the same header
// to the target, but not one that the transport takes as leave to replay.
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
