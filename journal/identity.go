package journal

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	identityName  = "identity"
	formationName = "formation"
	// identityBytes is the length of an identity before hex encoding.
	identityBytes = 8
)

// formatName returns the name of a segment or snapshot file: the prefix and n in 20
// decimal digits, so that names sort by number.
func formatName(prefix string, n uint64) string { return fmt.Sprintf("%s%020d", prefix, n) }

// parseName returns the number in a file name and reports whether name has the prefix
// and a number.
func parseName(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// loadIdentity reads the identity. It returns "" if there is none yet.
func (j *Journal) loadIdentity(names []string) (string, error) {
	if !slices.Contains(names, identityName) {
		return "", nil
	}
	rec, err := j.readRecordFile(identityName)
	return string(rec.payload), err
}

// initialise creates the first segment and then the identity in an empty directory.
// Because of this order, an identity without a log shows that files were removed. A
// replica that lost its log must not continue under its old identity, since it no
// longer holds the votes and entries that it acknowledged.
func (j *Journal) initialise(names []string) (string, error) {
	first := formatName(segmentPrefix, 1)
	for _, name := range names {
		if name != lockName && name != first {
			return "", fmt.Errorf("the journal directory holds %s but no identity file", name)
		}
	}
	if slices.Contains(names, first) {
		if err := j.requireEmptySegment(first); err != nil {
			return "", err
		}
	}
	if err := j.rotateSegment(); err != nil {
		return "", err
	}
	var raw [identityBytes]byte
	if _, err := io.ReadFull(j.random, raw[:]); err != nil {
		return "", err
	}
	id := hex.EncodeToString(raw[:])
	return id, j.writeRecordFile(identityName, []byte(id))
}

// requireEmptySegment returns an error if a segment holds more than its header record.
func (j *Journal) requireEmptySegment(name string) error {
	f, err := j.fs.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	size, err := f.Size()
	if err == nil && size > recordHeaderBytes {
		err = fmt.Errorf("the journal directory holds records in %s but no identity file", name)
	}
	return err
}

// replaceFile atomically replaces the file name: it writes a temporary file, syncs it,
// renames it and syncs the directory. It returns the new file, open.
func (j *Journal) replaceFile(name string, data []byte) (File, error) {
	f, err := j.fs.Create(name + tempSuffix)
	if err != nil {
		return nil, err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = j.fs.Rename(name+tempSuffix, name)
	}
	if err == nil {
		err = j.fs.SyncDir()
	}
	if err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (j *Journal) writeRecordFile(name string, payload []byte) error {
	f, err := j.replaceFile(name, appendRecord(nil, record{kind: recordFileHeader, payload: payload}))
	if err != nil {
		return err
	}
	return f.Close()
}

func (j *Journal) readRecordFile(name string) (record, error) {
	f, err := j.fs.Open(name)
	if err != nil {
		return record{}, err
	}
	defer f.Close()
	data, err := readAll(f)
	if err != nil {
		return record{}, err
	}
	rec, _, err := parseRecord(data)
	if err != nil {
		return record{}, &DamageError{File: name, Reason: err.Error()}
	}
	return rec, nil
}

// SaveFormation stores the founding membership that this replica accepts while the
// founders agree on the first membership of a new cluster.
func (j *Journal) SaveFormation(m *pb.Membership) error {
	return j.guard("save formation", func() error {
		payload, err := proto.Marshal(m)
		if err != nil {
			return err
		}
		return j.writeRecordFile(formationName, payload)
	})
}

// Formation returns the stored founding membership, or nil if there is none.
func (j *Journal) Formation() (*pb.Membership, error) {
	names, err := j.fs.List()
	if err != nil || !slices.Contains(names, formationName) {
		return nil, err
	}
	rec, err := j.readRecordFile(formationName)
	if err != nil {
		return nil, err
	}
	m := &pb.Membership{}
	return m, proto.Unmarshal(rec.payload, m)
}

// RemoveFormation removes the stored founding membership of a replica that joins an
// existing cluster instead.
func (j *Journal) RemoveFormation() error {
	return j.guard("remove formation", func() error {
		if err := j.fs.Remove(formationName); err != nil {
			return err
		}
		return j.fs.SyncDir()
	})
}
