package document

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
)

// A difference is a list of operations. Each begins with a varint: the length
// doubled, plus one for a copy. A copy is followed by its offset in the base as
// a varint, an insertion by its bytes.

// segmentTerminator ends the pieces in which documents are compared: each route and team
// of a JSON document is one or a few of them.
const segmentTerminator = '}'

// maxIndexedSegments bounds the pieces of the base that are indexed.
const maxIndexedSegments = 1 << 18

// ErrDelta means that a difference doesn't fit its base.
var ErrDelta = errors.New("the difference does not fit its base")

// Diff returns the difference that Patch applies to base to get next.
func Diff(base, next []byte) []byte {
	index := make(map[string]int)
	for offset, piece := range segments(base) {
		if _, known := index[string(piece)]; !known && len(index) < maxIndexedSegments {
			index[string(piece)] = offset
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
	for _, piece := range segments(next) {
		end := copyFrom + copyLen
		if copyLen > 0 && bytes.HasPrefix(base[end:], piece) {
			copyLen += len(piece)
			continue
		}
		offset, known := index[string(piece)]
		if !known {
			if copyLen > 0 {
				flush()
			}
			insert = append(insert, piece...)
			continue
		}
		flush()
		copyFrom, copyLen = offset, len(piece)
	}
	flush()
	return out
}

// segments yields the pieces of a document with their offsets.
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

// Patch applies a difference to base.
func Patch(base, delta []byte) ([]byte, error) {
	// Most differences change little, so the result is about as long as the base.
	out := make([]byte, 0, len(base)+len(delta))
	for len(delta) > 0 {
		head, n := binary.Uvarint(delta)
		if n <= 0 {
			return nil, fmt.Errorf("%w: a length is cut", ErrDelta)
		}
		delta = delta[n:]
		length := head >> 1
		if uint64(len(out))+length > maxDocumentBytes {
			return nil, fmt.Errorf("%w: the result is over %d bytes", ErrDelta, maxDocumentBytes)
		}
		if head&1 == 0 {
			if length > uint64(len(delta)) {
				return nil, fmt.Errorf("%w: an insertion is cut", ErrDelta)
			}
			out = append(out, delta[:length]...)
			delta = delta[length:]
			continue
		}
		offset, n := binary.Uvarint(delta)
		if n <= 0 || offset > uint64(len(base)) || length > uint64(len(base))-offset {
			return nil, fmt.Errorf("%w: a copy is outside the base", ErrDelta)
		}
		delta = delta[n:]
		out = append(out, base[offset:offset+length]...)
	}
	return out, nil
}
