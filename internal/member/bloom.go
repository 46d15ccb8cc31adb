package member

import "github.com/wigeonwood/wigeonwood/internal/fleet"

const (
	// bloomBitsPerEntry is the filter's size per entry in bits. maxBloomBytes limits
	// the filter so that a sync request fits in one datagram.
	bloomBitsPerEntry = 16
	maxBloomBytes     = 800
	// minBloomEntries is the number of entries from which on a sync request carries a
	// filter. A request without a filter gets a full reply, so that a joining router,
	// whose view is small, receives all entries at once.
	minBloomEntries = 64
	// bloomHashes is the number of bits set per entry. With 2 bits, the false positive
	// rate is 1% in views of up to 400 entries, 8% in views of 1,100 and 41% in views
	// of 3,300.
	bloomHashes = 2
)

// bloomFilter is a Bloom filter over the entries of a view, by their hashes. When two
// views of thousands of entries differ in some entries, the reply to a sync request
// need not repeat entries that the requester has. A false positive leaves a missing
// entry out of the reply; the salt differs from request to request, so that the reply
// to a later request includes the entry.
type bloomFilter struct {
	bits []byte
	salt uint64
}

// newBloomFilter returns an empty filter for the given number of entries; below
// minBloomEntries it has no bits.
func newBloomFilter(entries int, salt uint32) bloomFilter {
	if entries < minBloomEntries {
		return bloomFilter{}
	}
	size := min((entries*bloomBitsPerEntry+7)/8, maxBloomBytes)
	return bloomFilter{bits: make([]byte, size), salt: uint64(salt)}
}

// add adds an entry by its hash. It has no effect on a filter without bits.
func (f bloomFilter) add(hash uint32) {
	if len(f.bits) == 0 {
		return
	}
	for i := range bloomHashes {
		bit := f.bit(hash, i)
		f.bits[bit/8] |= 1 << (bit % 8)
	}
}

// mayContain reports whether the filter may contain the entry. A filter without bits
// contains nothing.
func (f bloomFilter) mayContain(hash uint32) bool {
	if len(f.bits) == 0 {
		return false
	}
	for i := range bloomHashes {
		bit := f.bit(hash, i)
		if f.bits[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}

// bit returns the index of the entry's i-th bit.
func (f bloomFilter) bit(hash uint32, i int) uint64 {
	return fleet.Hash("", uint64(hash), f.salt, uint64(i)) % uint64(8*len(f.bits))
}
