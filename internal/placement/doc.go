// Package placement selects the engine that serves a chat. It is pure: callers pass in
// the time and the state of the engines, and no function blocks.
//
// A chat is assigned to an engine that has its prefix cached according to the
// directory, or else to the engine with the highest rendezvous score. Engines at the
// load bound are passed over (rendezvous hashing with bounded loads). The package does
// not queue or send requests.
package placement
