package router

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idSource generates request IDs: a random prefix of this process and a counter.
type idSource struct {
	prefix string
	n      atomic.Uint64
}

// idPrefixBytes is the length of the random prefix before hex encoding.
const idPrefixBytes = 8

func newIDSource() *idSource {
	var b [idPrefixBytes]byte
	rand.Read(b[:])
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

// next returns a unique request ID.
func (s *idSource) next() string {
	return s.prefix + strconv.FormatUint(s.n.Add(1), 16)
}
