// Package announce implements the HTTP interface between targets and routers: a
// target announces itself to one router at a time, reports the changes of its
// prefix cache and leaves. The package contains both sides, the router's handler
// and the target's client. It does not maintain the membership: the handler passes
// announcements to a Registry. The interface is described in
// docs/interfaces/targets.md.
package announce
