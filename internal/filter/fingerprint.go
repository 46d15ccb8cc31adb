package filter

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of a fingerprint before it is encoded.
const fingerprintBytes = 16

// Fingerprint identifies the request by what its target sees of it: host, method, path and
// query, team and body. All attempts of a caller at the same request have the same
// fingerprint, at each router. It must not be called before the route and team are known.
func (x *Exchange) Fingerprint() string {
	if x.fingerprint != "" {
		return x.fingerprint
	}
	h := sha256.New()
	team := ""
	if x.Team != nil {
		team = x.Team.Name
	}
	for _, field := range []string{x.Host, x.Method, x.URI, team} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		io.WriteString(h, field)
	}
	h.Write(x.Body)
	x.fingerprint = hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
	return x.fingerprint
}
