package state

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

func pack(t *testing.T, text []byte) []byte {
	t.Helper()
	packed, err := document.Pack(text)
	if err != nil {
		t.Fatal(err)
	}
	return packed
}

// applyTable applies a routing table as the next log entry.
func applyTable(t *testing.T, m *Machine, index uint64, table *pb.RoutingTable) *pb.RoutingTableResult {
	t.Helper()
	data, err := proto.Marshal(&pb.Command{Body: &pb.Command_RoutingTable{RoutingTable: table}})
	if err != nil {
		t.Fatal(err)
	}
	result := &pb.CommandResult{}
	out := m.Apply(replica.Entry{Position: replica.Position{Term: 1, Index: index}, TimeMs: int64(index), Data: data})
	if err := proto.Unmarshal(out, result); err != nil {
		t.Fatal(err)
	}
	return result.GetRoutingTable()
}

func TestRoutingTables(t *testing.T) {
	m := New()
	whole := func(n uint64, text string) *pb.RoutingTable {
		return &pb.RoutingTable{Number: n, Document: pack(t, []byte(text))}
	}
	delta := func(n, base uint64, from, to string) *pb.RoutingTable {
		return &pb.RoutingTable{Number: n, Base: base, Delta: pack(t, document.Diff([]byte(from), []byte(to)))}
	}
	for i, c := range []struct {
		name        string
		table       *pb.RoutingTable
		number      uint64
		wholeNeeded bool
		text        string
	}{
		{"the first", whole(3, "{a}{b}"), 3, false, "{a}{b}"},
		{"an older one", whole(2, "{old}"), 3, false, "{a}{b}"},
		{"other content under the number held", whole(3, "{other}"), 3, false, "{a}{b}"},
		{"a delta to the table held", delta(5, 3, "{a}{b}", "{a}{c}"), 5, false, "{a}{c}"},
		{"a delta to another table", delta(7, 4, "{x}", "{y}"), 5, true, "{a}{c}"},
		{"a delta that does not fit", &pb.RoutingTable{Number: 7, Base: 5, Delta: pack(t, []byte{255, 255})}, 5, true, "{a}{c}"},
		{"a resend of an accepted one", delta(5, 3, "{a}{b}", "{a}{c}"), 5, false, "{a}{c}"},
		{"a document that is not packed", &pb.RoutingTable{Number: 8, Document: []byte("x")}, 5, false, "{a}{c}"},
	} {
		result := applyTable(t, m, uint64(i+1), c.table)
		if result.Number != c.number || result.WholeNeeded != c.wholeNeeded || string(m.RoutingTable().Document) != c.text {
			t.Errorf("%s: result %v, document %q, want %d, %t, %q", c.name, result, m.RoutingTable().Document, c.number, c.wholeNeeded, c.text)
		}
	}
	var first, second bytes.Buffer
	if err := m.Snapshot(&first); err != nil {
		t.Fatal(err)
	}
	restored := New()
	if err := restored.Restore(bytes.NewReader(first.Bytes())); err != nil {
		t.Fatal(err)
	}
	if got := restored.RoutingTable(); got.Number != 5 || string(got.Document) != "{a}{c}" {
		t.Errorf("restored %v", got)
	}
	if err := restored.Snapshot(&second); err != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Errorf("equal states give other snapshots: %v", err)
	}
}
