package router

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync/atomic"
)

// idSource makes request ids: a random part for this process and a number.
type idSource struct {
	prefix string
	n      atomic.Uint64
}

// idPrefixBytes is the length of the random part.
const idPrefixBytes = 8

func newIDSource() *idSource {
	var b [idPrefixBytes]byte
	rand.Read(b[:])
	return &idSource{prefix: hex.EncodeToString(b[:]) + "-"}
}

// next returns an id that no other request has.
func (s *idSource) next() string {
	return s.prefix + strconv.FormatUint(s.n.Add(1), 16)
}
