// Package transport carries typed calls between instances: protobuf messages
// over yamux streams, one stream a call. Each call has a deadline; sessions
// that stop answering pings are closed, so that a dead connection costs at
// most the ping interval plus its timeout.
package transport
