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
	// streamCloseTimeout bounds how long a stream may stay half-closed, and the
	// wait for the peer to accept a new stream.
	streamCloseTimeout = 5 * time.Second
	// streamBacklog bounds the streams of a session that the peer has not yet
	// accepted.
	streamBacklog = 1024
)

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
