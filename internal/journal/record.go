package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Record layout, little endian:
//
//	length of payload  uint32
//	checksum           uint32  CRC-32C of all that follows
//	kind               uint8
//	index              uint64
//	synced             uint64  bytes of the segment synced before this record
//	payload
const recordHeaderBytes = 4 + 4 + 1 + 8 + 8

// maxRecordBytes bounds one record's payload.
const maxRecordBytes = 16 << 20

type recordKind uint8

const (
	// recordSegment opens a segment; its index is the segment's number.
	recordSegment recordKind = iota + 1
	// recordEntry holds a log entry and replaces all from its index on.
	recordEntry
	recordHardState
	// recordReset drops all entries; the next one follows its index.
	recordReset
	// recordClose is the last record of a process that ended in order. It
	// proves that what lies before it was synced.
	recordClose
)

type record struct {
	kind    recordKind
	index   uint64
	synced  uint64
	payload []byte
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(buf []byte, r record) []byte {
	start := len(buf)
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(r.payload)))
	buf = append(buf, 0, 0, 0, 0)
	buf = append(buf, byte(r.kind))
	buf = binary.LittleEndian.AppendUint64(buf, r.index)
	buf = binary.LittleEndian.AppendUint64(buf, r.synced)
	buf = append(buf, r.payload...)
	sum := recordSum(buf[start:])
	binary.LittleEndian.PutUint32(buf[start+4:], sum)
	return buf
}

// recordSum covers the length and all after the checksum field.
func recordSum(rec []byte) uint32 {
	sum := crc32.Checksum(rec[:4], castagnoli)
	return crc32.Update(sum, castagnoli, rec[8:])
}

// parseRecord reads the record at the start of data and its size; the error
// says what is wrong with it.
func parseRecord(data []byte) (record, int, error) {
	if len(data) < recordHeaderBytes {
		return record{}, 0, fmt.Errorf("%d bytes are left of a record header of %d", len(data), recordHeaderBytes)
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxRecordBytes {
		return record{}, 0, fmt.Errorf("record length %d is over the bound of %d", length, maxRecordBytes)
	}
	size := recordHeaderBytes + int(length)
	if len(data) < size {
		return record{}, 0, fmt.Errorf("%d bytes are left of a record of %d", len(data), size)
	}
	if sum := recordSum(data[:size]); sum != binary.LittleEndian.Uint32(data[4:]) {
		return record{}, 0, fmt.Errorf("checksum is %08x, expected %08x", sum, binary.LittleEndian.Uint32(data[4:]))
	}
	return record{
		kind:    recordKind(data[8]),
		index:   binary.LittleEndian.Uint64(data[9:]),
		synced:  binary.LittleEndian.Uint64(data[17:]),
		payload: data[recordHeaderBytes:size:size],
	}, size, nil
}

// syncedBeyond tells whether a whole record lies somewhere in data that was
// written when more than offset bytes of its segment were synced.
func syncedBeyond(data []byte, offset uint64) bool {
	for i := range data {
		rest := data[i:]
		if len(rest) < recordHeaderBytes {
			return false
		}
		kind := recordKind(rest[8])
		if kind < recordSegment || kind > recordClose || binary.LittleEndian.Uint64(rest[17:]) <= offset {
			continue
		}
		if r, _, err := parseRecord(rest); err == nil && r.synced > offset {
			return true
		}
	}
	return false
}
