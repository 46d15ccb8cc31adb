package member

import "github.com/wigeonwood/wigeonwood/internal/fleet"

const (
	// knownBits is the size of a knownSet for each entry, in bits, and maxKnownBytes
	// its bound, which leaves a question within one datagram.
	knownBits     = 16
	maxKnownBytes = 800
	// minKnown is the number of entries from which on a question says what is known:
	// smaller views are answered whole, so that a joiner has them at once.
	minKnown = 64
	// knownProbes is the number of bits that are set for each entry. With it 1% of
	// the missing entries look known in views of up to 400, 8% in views of 1,100 and
	// 41% in views of 3,300.
	knownProbes = 2
)

// knownSet is a Bloom filter over the entries of a view, by their hashes. It answers
// views of thousands of entries that differ in a part: the answer to a comparison need
// not repeat what the asker has. An entry that is missing there may look known; the
// salt differs from question to question, so that a later one finds it.
type knownSet struct {
	bits []byte
	salt uint64
}

// newKnownSet makes an empty set for so many entries, one without bits for few.
func newKnownSet(entries int, salt uint32) knownSet {
	if entries < minKnown {
		return knownSet{}
	}
	size := min((entries*knownBits+7)/8, maxKnownBytes)
	return knownSet{bits: make([]byte, size), salt: uint64(salt)}
}

// add puts an entry into the set if it has bits.
func (k knownSet) add(hash uint32) {
	if len(k.bits) == 0 {
		return
	}
	for i := range knownProbes {
		bit := k.bit(hash, i)
		k.bits[bit/8] |= 1 << (bit % 8)
	}
}

// has tells whether the entry may be known. A set without bits knows nothing.
func (k knownSet) has(hash uint32) bool {
	if len(k.bits) == 0 {
		return false
	}
	for i := range knownProbes {
		bit := k.bit(hash, i)
		if k.bits[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bit returns the place of one of an entry's bits.
func (k knownSet) bit(hash uint32, i int) uint64 {
	return fleet.Hash("", uint64(hash), k.salt, uint64(i)) % uint64(8*len(k.bits))
}
