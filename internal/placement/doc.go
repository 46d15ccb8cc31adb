// Package placement selects the engine that serves a chat, by rendezvous hashing with
// bounded loads and a directory of cached prefixes.
//
// A request of a chat is assigned to an engine that has the chat's prefix cached
// according to the Directory, or else to the least loaded of the engines with the highest
// rendezvous scores (power of d choices). Engines at the load bound are passed over. A
// joining engine receives a growing share of the chats (slow start). An EventTracker
// updates the directory from the cache events that engines report.
//
// The package has no clock, I/O or goroutine: callers pass in the time and the state of
// the engines. It does not queue or send requests.
package placement
