package fleetcache

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// maxTargets limits the number of statuses that are saved in and loaded from one file.
	maxTargets = 16384
	// checksumBytes is the size of the checksum over the rest of the file.
	checksumBytes = 8
)

// ErrDamaged is returned for a file that is truncated or corrupted.
var ErrDamaged = errors.New("the file is damaged")

// loadStatuses returns the statuses of targets saved in a file, none if there is no file. The file
// has a checksum and then the statuses, each preceded by its length. loadStatuses returns
// ErrDamaged and no statuses if the file is truncated or corrupted.
func loadStatuses(dir, name string) ([]*pb.TargetStatus, error) {
	data, err := readFile(dir, name)
	if err != nil || data == nil {
		return nil, err
	}
	return decodeTargets(data)
}

func decodeTargets(data []byte) ([]*pb.TargetStatus, error) {
	if len(data) < checksumBytes {
		return nil, ErrDamaged
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, ErrDamaged
	}
	var statuses []*pb.TargetStatus
	for in := bytes.NewReader(body); len(statuses) < maxTargets; {
		st := &pb.TargetStatus{}
		err := protodelim.UnmarshalFrom(in, st)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(ErrDamaged, err)
		}
		statuses = append(statuses, st)
	}
	return statuses, nil
}

// saveStatuses replaces the statuses saved in a file. If writing fails, the old ones stay.
func saveStatuses(fsys journal.FS, name string, statuses []*pb.TargetStatus) error {
	body := bytes.NewBuffer(make([]byte, checksumBytes))
	for _, st := range statuses[:min(maxTargets, len(statuses))] {
		if _, err := protodelim.MarshalTo(body, st); err != nil {
			return err
		}
	}
	data := body.Bytes()
	binary.BigEndian.PutUint64(data, xxhash.Sum64(data[checksumBytes:]))
	return replaceFile(fsys, name, data)
}
