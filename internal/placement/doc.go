// Package placement decides which engine serves a chat. It is pure: callers
// pass the time and the state of the engines in, and no function blocks.
//
// A chat goes first to an engine that the directory knows to hold its prefix,
// then to its rendezvous engine, and past any engine that is at the load bound.
package placement
