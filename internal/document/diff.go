package document

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// A delta is a sequence of copies and insertions. Each operation begins with an unsigned
// varint: its lowest bit is 1 for a copy and 0 for an insertion, and the other bits are
// the length in bytes. In a copy the offset in the base follows as an unsigned varint,
// in an insertion the inserted bytes.

// segmentTerminator is the last byte of a segment, the unit in which Diff compares
// documents. In the JSON text of a routing table each route and each team spans one or a
// few segments.
const segmentTerminator = '}'

// maxIndexedSegments bounds the number of different segments in the index that Diff
// builds of the base.
const maxIndexedSegments = 1 << 18

// ErrDelta means that a delta is malformed or does not apply to its base.
var ErrDelta = errors.New("the delta does not apply to its base")

// Diff returns a delta from which Patch reconstructs next, given base. Diff is greedy: it
// extends the current copy as long as the segments match, then copies from the first
// occurrence of a segment in base, and inserts the segments that base does not have.
func Diff(base, next []byte) []byte {
	index := make(map[string]int)
	for offset, segment := range segments(base) {
		if _, known := index[string(segment)]; !known && len(index) < maxIndexedSegments {
			index[string(segment)] = offset
		}
	}
	var out, insert []byte
	copyFrom, copyLen := 0, 0
	flush := func() {
		if len(insert) > 0 {
			out = binary.AppendUvarint(out, uint64(len(insert))<<1)
			out = append(out, insert...)
			insert = nil
		}
		if copyLen > 0 {
			out = binary.AppendUvarint(out, uint64(copyLen)<<1|1)
			out = binary.AppendUvarint(out, uint64(copyFrom))
			copyLen = 0
		}
	}
	for _, segment := range segments(next) {
		end := copyFrom + copyLen
		if copyLen > 0 && bytes.HasPrefix(base[end:], segment) {
			copyLen += len(segment)
			continue
		}
		offset, known := index[string(segment)]
		if !known {
			if copyLen > 0 {
				flush()
			}
			insert = append(insert, segment...)
			continue
		}
		flush()
		copyFrom, copyLen = offset, len(segment)
	}
	flush()
	return out
}

// segments returns an iterator over the segments of a document and their offsets.
func segments(text []byte) func(yield func(int, []byte) bool) {
	return func(yield func(int, []byte) bool) {
		offset := 0
		for offset < len(text) {
			length := bytes.IndexByte(text[offset:], segmentTerminator) + 1
			if length == 0 {
				length = len(text) - offset
			}
			if !yield(offset, text[offset:offset+length]) {
				return
			}
			offset += length
		}
	}
}

// Patch applies a delta to base and returns the resulting document.
func Patch(base, delta []byte) ([]byte, error) {
	// Most deltas change little, so the result is about as long as the base.
	out := make([]byte, 0, len(base)+len(delta))
	for len(delta) > 0 {
		head, n := binary.Uvarint(delta)
		if n <= 0 {
			return nil, fmt.Errorf("%w: truncated operation", ErrDelta)
		}
		delta = delta[n:]
		length := head >> 1
		if uint64(len(out))+length > maxDocumentBytes {
			return nil, fmt.Errorf("%w: the result exceeds %d bytes", ErrDelta, maxDocumentBytes)
		}
		if head&1 == 0 {
			if length > uint64(len(delta)) {
				return nil, fmt.Errorf("%w: truncated insertion", ErrDelta)
			}
			out = append(out, delta[:length]...)
			delta = delta[length:]
			continue
		}
		offset, n := binary.Uvarint(delta)
		if n <= 0 || offset > uint64(len(base)) || length > uint64(len(base))-offset {
			return nil, fmt.Errorf("%w: a copy reaches beyond the base", ErrDelta)
		}
		delta = delta[n:]
		out = append(out, base[offset:offset+length]...)
	}
	return out, nil
}
