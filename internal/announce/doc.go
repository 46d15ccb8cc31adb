// Package announce is the interface of targets: they announce themselves to a
// router over HTTP, report their cache's changes and leave. It holds both
// sides, the router's handler and the announcing client. The interface is
// described in docs/interfaces/targets.md.
package announce
