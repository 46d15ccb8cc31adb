package transport

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// pingInterval and pingTimeout bound how long a silent session stays in use.
	pingInterval = 1 * time.Second
	pingTimeout  = 1 * time.Second
	// streamCloseTimeout bounds a half-closed stream.
	streamCloseTimeout = 5 * time.Second
	// streamBacklog bounds the streams that a session holds unaccepted.
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
