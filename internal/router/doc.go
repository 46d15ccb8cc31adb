// Package router is the HTTP front end for callers. It reads requests within
// size and time limits, runs each through the filter chain and streams the
// target's response to the caller. A response that can't be completed is
// aborted, so that the caller never takes it for a complete one. The package
// also serves the model list and the health checks, and shuts down gracefully.
//
// The package does not select targets, enforce quotas or store claims: the
// filters do so through the interfaces in Config.
package router
