// Package forward is the router's client of targets. It sends one request to
// one target over net/http's Transport and hands back an answer whose body
// never ends cleanly unless it is whole as framed.
//
// Non-idempotent requests go out on fresh connections and are built so that
// the transport can't replay them.
package forward
