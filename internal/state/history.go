package state

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// history holds the newest accepted changes, bounded by count and by encoded
// size.
type history struct {
	maxRecords int
	maxBytes   int
	records    []*pb.ChangeRecord
	bytes      int
}

func (h *history) add(r *pb.ChangeRecord) {
	h.records = append(h.records, r)
	h.bytes += proto.Size(r)
	for len(h.records) > h.maxRecords || h.bytes > h.maxBytes {
		h.bytes -= proto.Size(h.records[0])
		h.records[0] = nil
		h.records = h.records[1:]
	}
}

// at returns the change that created a revision, or nil if the change is no
// longer kept.
func (h *history) at(revision uint64) *pb.ChangeRecord {
	i, found := slices.BinarySearchFunc(h.records, revision, func(r *pb.ChangeRecord, revision uint64) int {
		return cmp.Compare(r.Revision, revision)
	})
	if !found {
		return nil
	}
	return h.records[i]
}

// newest returns up to limit records, newest first. A non-empty name selects
// the records of one customer or target.
func (h *history) newest(name string, limit int) []*pb.ChangeRecord {
	var out []*pb.ChangeRecord
	for i := len(h.records) - 1; i >= 0 && len(out) < limit; i-- {
		r := h.records[i]
		if name == "" || keyOf(r.Change).name == name {
			out = append(out, r)
		}
	}
	return out
}
