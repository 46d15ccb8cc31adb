package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// Record layout, little endian:
//
//	length of payload  uint32
//	checksum           uint32  CRC-32C of the length and of all bytes after the checksum
//	kind               uint8
//	index              uint64
//	synced             uint64  bytes of the segment that were synced before this record
//	payload
const recordHeaderBytes = 4 + 4 + 1 + 8 + 8

// maxRecordBytes bounds the payload of one record.
const maxRecordBytes = 16 << 20

type recordKind uint8

const (
	// recordFileHeader is the header record of a segment; its index is the segment number.
	// The identity file, the formation file and the metadata of a snapshot are records
	// of this kind too.
	recordFileHeader recordKind = iota + 1
	// recordEntry holds a log entry and replaces all entries from its index on.
	recordEntry
	recordHardState
	// recordReset removes all entries; the next entry follows its index.
	recordReset
	// recordClose is the last record of a process that ended with Close. It proves that
	// all records before it were synced.
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

// recordSum returns the checksum of the length field and of all bytes after the
// checksum field.
func recordSum(rec []byte) uint32 {
	sum := crc32.Checksum(rec[:4], castagnoli)
	return crc32.Update(sum, castagnoli, rec[8:])
}

// parseRecord parses the record at the start of data and returns it with its size. The
// error describes what is wrong with the record.
func parseRecord(data []byte) (record, int, error) {
	if len(data) < recordHeaderBytes {
		return record{}, 0, fmt.Errorf("truncated record header: %d of %d bytes", len(data), recordHeaderBytes)
	}
	length := binary.LittleEndian.Uint32(data)
	if length > maxRecordBytes {
		return record{}, 0, fmt.Errorf("record length %d exceeds the maximum of %d", length, maxRecordBytes)
	}
	size := recordHeaderBytes + int(length)
	if len(data) < size {
		return record{}, 0, fmt.Errorf("truncated record: %d of %d bytes", len(data), size)
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

// syncedBeyond reports whether data contains, at any position, a complete record that
// was written when more than offset bytes of its segment were synced. If so, an invalid
// record at offset is corruption and not a torn write, since it had been synced.
func syncedBeyond(data []byte, offset uint64) bool {
	for i := range data {
		rest := data[i:]
		if len(rest) < recordHeaderBytes {
			return false
		}
		kind := recordKind(rest[8])
		if kind < recordFileHeader || kind > recordClose || binary.LittleEndian.Uint64(rest[17:]) <= offset {
			continue
		}
		if r, _, err := parseRecord(rest); err == nil && r.synced > offset {
			return true
		}
	}
	return false
}
