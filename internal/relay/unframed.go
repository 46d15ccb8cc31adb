package relay

import (
	"net/http"
)

// unframed is the value of Transfer-Encoding with which net/http sends neither a length nor
// chunks.
const unframed = "identity"

// SetUnframed makes the end of the connection mark the end of an answer, because the answer's
// source marks it in no other way: a length or a last chunk would say that the answer is known
// to be complete. It must be called before the status is written.
func SetUnframed(h http.Header) {
	h.Set("Transfer-Encoding", unframed)
}
