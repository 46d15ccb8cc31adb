package document

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
)

// maxDocumentBytes bounds an unpacked document.
const maxDocumentBytes = 16 << 20

// expectedRatio is how much longer than its packed form a document is taken to be.
const expectedRatio = 8

// decompressors holds decompressors, each of which has a window of 32 KiB.
var decompressors = sync.Pool{New: func() any { return flate.NewReader(nil) }}

// Pack compresses a document by DEFLATE.
func Pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(document); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// Unpack reverses Pack.
func Unpack(packed []byte) ([]byte, error) {
	r := decompressors.Get().(io.Reader)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(packed), nil); err != nil {
		return nil, fmt.Errorf("unpacking a document: %w", err)
	}
	var document bytes.Buffer
	document.Grow(min(maxDocumentBytes, expectedRatio*len(packed)))
	if _, err := document.ReadFrom(io.LimitReader(r, maxDocumentBytes+1)); err != nil {
		return nil, fmt.Errorf("unpacking a document: %w", err)
	}
	if document.Len() > maxDocumentBytes {
		return nil, fmt.Errorf("a document is over the bound of %d bytes", maxDocumentBytes)
	}
	return document.Bytes(), nil
}
