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
	ownPrefix            = "X-Wigeonwood-"
	// HeaderCustomer names the customer to a target.
	HeaderCustomer = ownPrefix + "Customer"
	// HeaderChat names the chat to an engine, which names it so in its cache
	// events.
	HeaderChat = ownPrefix + "Chat"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// replayKeys are the headers that make net/http's transport replay a request.
var replayKeys = []string{HeaderIdempotencyKey, "X-Idempotency-Key"}

// copyEndToEnd returns h without hop-by-hop headers, those that Connection
// names and those that only routers set.
func copyEndToEnd(h http.Header) http.Header {
	named := connectionNames(h)
	out := make(http.Header, len(h))
	for name, values := range h {
		if named[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		out[name] = values
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}

// connectionNames returns the headers that the Connection header names.
func connectionNames(h http.Header) map[string]bool {
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
func requestHeader(r *Request) http.Header {
	h := copyEndToEnd(r.Header)
	delete(h, "Authorization")
	delete(h, "Cookie")
	delete(h, "Expect")
	delete(h, "Content-Length")
	h[HeaderRequestID] = []string{r.RequestID}
	if r.Customer != "" {
		h[HeaderCustomer] = []string{r.Customer}
	}
	if r.Chat != "" {
		h[HeaderChat] = []string{r.Chat}
	}
	if _, ok := h["User-Agent"]; !ok {
		// An explicit empty value keeps the transport from adding its own.
		h["User-Agent"] = nil
	}
	hideReplayKeys(h)
	return h
}

// hideReplayKeys spells the idempotency keys in lower case: the same header
// to the target, but not one that the transport takes as leave to replay.
func hideReplayKeys(h http.Header) {
	for _, name := range replayKeys {
		values, ok := h[name]
		if !ok {
			continue
		}
		delete(h, name)
		h[strings.ToLower(name)] = values
	}
}
