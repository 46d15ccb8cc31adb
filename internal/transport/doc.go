// Package transport implements remote procedure calls between instances: protobuf
// messages over yamux streams, one stream per call. Each call has a deadline and
// carries a token that authenticates the caller. A session whose peer does not reply
// to a ping is closed, so that a dead connection delays calls by at most the ping
// interval plus the ping timeout. The package does not retry calls.
package transport
