// Package forward is the router's HTTP client for targets. It sends one request to
// one target over net/http's Transport. Reading the body of a response ends without
// an error only if the body is complete according to its framing (Content-Length or
// chunked encoding). A response without framing ends when its connection closes; it
// is complete only if the process that sent it lives on or leaves as planned.
// Response.Framed tells the two framings apart. A response whose head is broken is an
// error.
//
// Non-idempotent requests use new connections and are built so that the Transport
// cannot replay them. The package neither selects targets nor retries requests.
package forward
