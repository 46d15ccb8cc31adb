package fleet

import "github.com/cespare/xxhash/v2"

// Hash returns the xxHash64 of a name followed by numbers. Each number is encoded
// as 8 bytes in little-endian order.
func Hash(name string, numbers ...uint64) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(name)
	for _, n := range numbers {
		var b [8]byte
		for i := range b {
			b[i] = byte(n >> (8 * i))
		}
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// TargetKey returns the key that identifies one incarnation of a target in
// messages between routers.
func TargetKey(id string, incarnation uint64) uint64 { return Hash(id, incarnation) }
