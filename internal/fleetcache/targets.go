package fleetcache

import (
	"fmt"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// targetsFile is the name of the file of targets, noticesFile that of the file of
	// notices of targets that leave.
	targetsFile = "targets"
	noticesFile = "notices"
)

// LoadTargets returns the targets saved in a directory, none if there is no file. It
// returns ErrDamaged and no targets if the file is truncated or corrupted.
func LoadTargets(dir string) ([]*pb.TargetStatus, error) {
	targets, err := loadStatuses(dir, targetsFile)
	if err != nil {
		return nil, fmt.Errorf("load targets: %w", err)
	}
	return targets, nil
}

// SaveTargets replaces the targets saved in a directory. If writing fails, the old
// targets stay.
func SaveTargets(fsys journal.FS, targets []*pb.TargetStatus) error {
	if err := saveStatuses(fsys, targetsFile, targets); err != nil {
		return fmt.Errorf("save targets: %w", err)
	}
	return nil
}

// LoadNotices returns the notices of targets that leave saved in a directory, none if there is no
// file. It returns ErrDamaged and no notices if the file is truncated or corrupted.
func LoadNotices(dir string) ([]*pb.TargetStatus, error) {
	notices, err := loadStatuses(dir, noticesFile)
	if err != nil {
		return nil, fmt.Errorf("load notices: %w", err)
	}
	return notices, nil
}

// SaveNotices replaces the notices saved in a directory, and returns once they are durable. If
// writing fails, the old notices stay.
func SaveNotices(fsys journal.FS, notices []*pb.TargetStatus) error {
	if err := saveStatuses(fsys, noticesFile, notices); err != nil {
		return fmt.Errorf("save notices: %w", err)
	}
	return nil
}
