package transport

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one encoded message.
const MaxFrameBytes = 8 << 20

// frameHeaderBytes is the size of the length that precedes each message.
const frameHeaderBytes = 4

// writeFrame writes a message preceded by its length and returns the bytes written.
func writeFrame(w io.Writer, m proto.Message) (int, error) {
	size := proto.Size(m)
	if size > MaxFrameBytes {
		return 0, fmt.Errorf("message of %d bytes is over the bound of %d", size, MaxFrameBytes)
	}
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+size)
	binary.BigEndian.PutUint32(buf, uint32(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, m)
	if err != nil {
		return 0, err
	}
	return w.Write(buf)
}

// readFrame reads one message into m and returns the bytes read.
func readFrame(r io.Reader, m proto.Message) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return frameHeaderBytes, fmt.Errorf("peer announces a message of %d bytes, over the bound of %d", size, MaxFrameBytes)
	}
	buf := make([]byte, size)
	if _, err := io.ReadFull(r, buf); err != nil {
		return frameHeaderBytes, err
	}
	return frameHeaderBytes + int(size), proto.Unmarshal(buf, m)
}
