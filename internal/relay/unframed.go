package relay

import (
	"net/http"
)

// SetUnframed makes the end of the connection mark the end of an answer, because the answer's
// source marks it in no other way: a length or a last chunk would say that the answer is known
// to be complete. It must be called before the status is written.
func SetUnframed(h http.Header) {
	h.Set("Transfer-Encoding", "identity")
}

// lingerer is implemented by TCP connections.
type lingerer interface{ SetLinger(seconds int) error }

// Reset resets the caller's connection, so that the caller does not take its end for the end
// of an answer without framing. The handler must not use w afterwards.
func Reset(w http.ResponseWriter) error {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	defer conn.Close()
	if tcp, ok := conn.(lingerer); ok {
		return tcp.SetLinger(0)
	}
	return nil
}
