package fleetcache

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// targetsFile is the name of the file of targets, which has a checksum and then the
	// targets' statuses, each preceded by its length.
	targetsFile = "targets"
	// maxTargets limits the number of targets that are saved and loaded.
	maxTargets = 16384
	// checksumBytes is the size of the checksum over the rest of the file.
	checksumBytes = 8
)

// ErrDamaged is returned for a file that is truncated or corrupted.
var ErrDamaged = errors.New("the file is damaged")

// LoadTargets returns the targets saved in a directory, none if there is no file. It
// returns ErrDamaged and no targets if the file is truncated or corrupted.
func LoadTargets(dir string) ([]*pb.TargetStatus, error) {
	data, err := readFile(dir, targetsFile)
	if err != nil {
		return nil, fmt.Errorf("load targets: %w", err)
	}
	if data == nil {
		return nil, nil
	}
	targets, err := decodeTargets(data)
	if err != nil {
		return nil, fmt.Errorf("load targets: %w", err)
	}
	return targets, nil
}

func decodeTargets(data []byte) ([]*pb.TargetStatus, error) {
	if len(data) < checksumBytes {
		return nil, ErrDamaged
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, ErrDamaged
	}
	var targets []*pb.TargetStatus
	for in := bytes.NewReader(body); len(targets) < maxTargets; {
		st := &pb.TargetStatus{}
		err := protodelim.UnmarshalFrom(in, st)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Join(ErrDamaged, err)
		}
		targets = append(targets, st)
	}
	return targets, nil
}

// SaveTargets replaces the targets saved in a directory. If writing fails, the old
// targets stay.
func SaveTargets(fsys journal.FS, targets []*pb.TargetStatus) error {
	body := bytes.NewBuffer(make([]byte, checksumBytes))
	for _, st := range targets[:min(maxTargets, len(targets))] {
		if _, err := protodelim.MarshalTo(body, st); err != nil {
			return fmt.Errorf("save targets: %w", err)
		}
	}
	data := body.Bytes()
	binary.BigEndian.PutUint64(data, xxhash.Sum64(data[checksumBytes:]))
	if err := replaceFile(fsys, targetsFile, data); err != nil {
		return fmt.Errorf("save targets: %w", err)
	}
	return nil
}
