package fleet

import "github.com/cespare/xxhash/v2"

// Hash hashes a name and numbers.
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

// TargetKey identifies one incarnation of a target in messages.
func TargetKey(id string, incarnation uint64) uint64 { return Hash(id, incarnation) }
