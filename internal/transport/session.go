package transport

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// pingInterval and pingTimeout bound the time for which a session stays in use
	// after its peer stopped replying.
	pingInterval = 1 * time.Second
	pingTimeout  = 1 * time.Second
	// streamCloseTimeout bounds how long a stream may stay half-closed. It also
	// bounds the wait until the peer accepts a new stream; yamux closes the session
	// after that.
	streamCloseTimeout = 5 * time.Second
	// streamBacklog bounds the streams of a session that the peer has not yet
	// accepted.
	streamBacklog = 1024
)

// sessionConfig returns the yamux configuration of both sides. Keep-alive is off,
// since Pool.monitorSession pings the sessions in use. ConnectionWriteTimeout is also
// the time for which yamux waits for a ping reply.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = streamBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = streamCloseTimeout
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}
