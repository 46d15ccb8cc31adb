package state

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
)

// applyOrder applies an order as the next log entry.
func applyOrder(t *testing.T, m *Machine, index uint64, dataCentre string, evacuated bool) *pb.SetEvacuationResult {
	t.Helper()
	order := &pb.SetEvacuation{DataCentre: dataCentre, Evacuated: evacuated, Operator: "op"}
	data, err := proto.Marshal(&pb.Command{Body: &pb.Command_SetEvacuation{SetEvacuation: order}})
	if err != nil {
		t.Fatal(err)
	}
	result := &pb.CommandResult{}
	out := m.Apply(replica.Entry{Position: replica.Position{Term: 1, Index: index}, TimeMs: int64(index), Data: data})
	if err := proto.Unmarshal(out, result); err != nil {
		t.Fatal(err)
	}
	return result.GetSetEvacuation()
}

func evacuatedNames(m *Machine) string {
	var names []string
	for _, e := range m.Evacuations().GetEvacuated() {
		names = append(names, fmt.Sprintf("%s@%d", e.DataCentre, e.SinceUnixMs))
	}
	return strings.Join(names, " ")
}

// A repeated order must not raise the revision or replace the time of the first one, and
// a snapshot must keep the set and its revision, also when the set is empty again:
// otherwise instances that hold a higher revision would ignore later orders.
func TestEvacuations(t *testing.T) {
	m := New()
	for i, c := range []struct {
		dataCentre string
		evacuated  bool
		revision   uint64
		changed    bool
		set        string
	}{
		{"b", false, 0, false, ""},
		{"b", true, 1, true, "b@2"},
		{"b", true, 1, false, "b@2"},
		{"a", true, 2, true, "a@4 b@2"},
		{"c", false, 2, false, "a@4 b@2"},
		{"b", false, 3, true, "a@4"},
		{"b", false, 3, false, "a@4"},
		{"a", false, 4, true, ""},
	} {
		before := m.Evacuations()
		kept := proto.CloneOf(before)
		result := applyOrder(t, m, uint64(i+1), c.dataCentre, c.evacuated)
		if result.Revision != c.revision || result.Changed != c.changed || result.Invalid != "" || evacuatedNames(m) != c.set {
			t.Errorf("order %d: result %v, set %q; want %+v", i+1, result, evacuatedNames(m), c)
		}
		if !proto.Equal(before, kept) {
			t.Errorf("order %d modified the set that a reader holds", i+1)
		}
		var first, second bytes.Buffer
		if err := m.Snapshot(&first); err != nil {
			t.Fatal(err)
		}
		restored := New()
		if err := restored.Restore(bytes.NewReader(first.Bytes())); err != nil {
			t.Fatal(err)
		}
		if !proto.Equal(restored.Evacuations(), m.Evacuations()) {
			t.Errorf("order %d: restored %v, want %v", i+1, restored.Evacuations(), m.Evacuations())
		}
		if err := restored.Snapshot(&second); err != nil || !bytes.Equal(first.Bytes(), second.Bytes()) {
			t.Errorf("the snapshot of the restored state differs or failed: %v", err)
		}
	}
}

// Guards against orders that grow the replicated state without bound or that no instance
// could apply.
func TestInvalidEvacuationsChangeNothing(t *testing.T) {
	m := New()
	for i, name := range []string{"", strings.Repeat("x", 65), "a/b", "a\nb", "a\x7f"} {
		if result := applyOrder(t, m, uint64(i+1), name, true); result.Invalid == "" || m.Evacuations() != nil {
			t.Errorf("%q: result %v, set %v", name, result, m.Evacuations())
		}
	}
	if CheckDataCentre("a\xff") == "" || CheckDataCentre(strings.Repeat("é", 32)) != "" {
		t.Error("the encoding of a name is not checked")
	}
	for i := range maxEvacuations {
		applyOrder(t, m, uint64(i+10), fmt.Sprintf("dc-%02d", i), true)
	}
	if result := applyOrder(t, m, 100, "more", true); result.Invalid == "" || result.Revision != maxEvacuations {
		t.Errorf("beyond the limit: %v", result)
	}
	if result := applyOrder(t, m, 101, "dc-07", true); result.Invalid != "" || result.Changed {
		t.Errorf("an order that is repeated at the limit: %v", result)
	}
	if result := applyOrder(t, m, 102, "dc-07", false); !result.Changed || Evacuated(m.Evacuations(), "dc-07") || !Evacuated(m.Evacuations(), "dc-08") {
		t.Errorf("an end at the limit: %v", result)
	}
	if !slices.IsSortedFunc(m.Evacuations().Evacuated, func(a, b *pb.Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) }) {
		t.Error("the set is not ordered")
	}
}
