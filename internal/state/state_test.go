package state

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/replica"
	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func TestMain(m *testing.M) {
	testseed.Fix(20261203, 0)
	os.Exit(m.Run())
}

// testMachine is a Machine that receives commands as entries of a log.
type testMachine struct {
	*Machine
	index  uint64
	timeMs int64
}

func newTestMachine(b Bounds) *testMachine {
	return &testMachine{Machine: New(WithBounds(b)), timeMs: 1_000_000}
}

func (s *testMachine) apply(cmd *pb.Command) *pb.CommandResult {
	s.index++
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	out := &pb.CommandResult{}
	result := s.Apply(replica.Entry{Position: replica.Position{Term: 1, Index: s.index}, TimeMs: s.timeMs, Data: data})
	if err := proto.Unmarshal(result, out); err != nil {
		panic(err)
	}
	return out
}

func (s *testMachine) change(c *pb.ConfigChange) *pb.ChangeResult {
	return s.apply(&pb.Command{Body: &pb.Command_Change{Change: c}}).GetChange()
}

func (s *testMachine) claim(c *pb.Claim) *pb.ClaimResult {
	return s.apply(&pb.Command{Body: &pb.Command_Claim{Claim: c}}).GetClaim()
}

func (s *testMachine) resolve(r *pb.Resolve) bool {
	return s.apply(&pb.Command{Body: &pb.Command_Resolve{Resolve: r}}).GetResolve().GetApplied()
}

// advanceTime advances the elapsed log time by d, in steps of at most
// maxElapsedPerEntry, which count in full.
func (s *testMachine) advanceTime(d time.Duration) {
	for ; d > 0; d -= maxElapsedPerEntry {
		s.timeMs += min(d, maxElapsedPerEntry).Milliseconds()
		s.apply(&pb.Command{})
	}
}

// restart replaces the machine by one that is restored from its snapshot, and
// checks that both have the same snapshot.
func (s *testMachine) restart(t interface{ Fatal(...any) }) {
	var first, second bytes.Buffer
	if err := s.Snapshot(&first); err != nil {
		t.Fatal(err)
	}
	next := New(WithBounds(s.bounds))
	if err := next.Restore(bytes.NewReader(first.Bytes())); err != nil {
		t.Fatal(err)
	}
	if err := next.Snapshot(&second); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(first.Bytes(), second.Bytes()) {
		t.Fatal("the restored state differs from the one written")
	}
	s.Machine = next
}

func contractChange(operation, operator, customer string, replaces uint64) *pb.ConfigChange {
	return &pb.ConfigChange{
		OperationId: operation,
		Operator:    operator,
		Replaces:    replaces,
		Object:      &pb.ConfigChange_Contract{Contract: &pb.Contract{Customer: customer, Weight: 1}},
	}
}

func TestTwoOperatorsOnOneRevision(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	if r := s.change(contractChange("op-1", "aina", "harga", 0)); r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED || r.Revision != 1 {
		t.Fatalf("first change: %v", r)
	}
	winner := s.change(contractChange("op-2", "aina", "harga", 1))
	s.timeMs += 1000
	loser := s.change(contractChange("op-3", "bayani", "harga", 1))
	if winner.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		t.Fatalf("the first of two: %v", winner)
	}
	if loser.Status != pb.ChangeStatus_CHANGE_STATUS_CONFLICT || loser.PresentRevision != 2 ||
		loser.PresentOperator != "aina" || loser.PresentTimeUnixMs != 1_000_000 {
		t.Fatalf("the second of two: %v", loser)
	}
}

func TestResendAfterHundredsOfChangesAndRestart(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	first := s.change(contractChange("op-first", "aina", "harga", 0))
	revision := uint64(1)
	for i := range 500 {
		r := s.change(contractChange(fmt.Sprint("op-", i), "bayani", "harga", revision))
		if r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
			t.Fatalf("change %d: %v", i, r)
		}
		revision = r.Revision
	}
	s.restart(t)
	again := s.change(contractChange("op-first", "aina", "harga", 0))
	if !again.Resent {
		t.Fatal("the result of the resend does not have Resent set")
	}
	again.Resent = false
	if !proto.Equal(first, again) {
		t.Fatalf("first result %v, result of the resend %v", first, again)
	}
	other := s.change(contractChange("op-first", "aina", "batangas", 0))
	if other.Status != pb.ChangeStatus_CHANGE_STATUS_OPERATION_REUSED {
		t.Fatalf("same id, other content: %v", other)
	}
	if s.Revision() != revision {
		t.Fatalf("resends changed the revision from %d to %d", revision, s.Revision())
	}
}

// A resend that arrives after the result of its operation was evicted must not be
// accepted a second time.
func TestForgottenOperationIsNotAcceptedTwice(t *testing.T) {
	b := DefaultBounds()
	b.MaxOperations = 2
	s := newTestMachine(b)
	s.change(contractChange("op-a", "aina", "harga", 0))
	deletion := contractChange("op-b", "aina", "harga", 1)
	deletion.GetContract().Deleted = true
	s.change(deletion)
	s.change(contractChange("op-c", "aina", "batangas", 0))
	r := s.change(contractChange("op-a", "aina", "harga", 0))
	if r.Status != pb.ChangeStatus_CHANGE_STATUS_CONFLICT || r.PresentRevision != 2 {
		t.Fatalf("resend of a creation whose result was evicted, after the deletion: %v", r)
	}
}

func TestKeyBelongsToOneCustomer(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	sum := bytes.Repeat([]byte{7}, DigestBytes)
	a := contractChange("op-a", "aina", "harga", 0)
	a.GetContract().KeyHashes = [][]byte{sum}
	b := contractChange("op-b", "aina", "batangas", 0)
	b.GetContract().KeyHashes = [][]byte{sum}
	s.change(a)
	if r := s.change(b); r.Status != pb.ChangeStatus_CHANGE_STATUS_INVALID {
		t.Fatalf("a key that belongs to another customer: %v", r)
	}
	s.change(contractChange("op-c", "aina", "harga", 1))
	if r := s.change(b); r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		t.Fatalf("a key that its customer no longer uses: %v", r)
	}
}

func TestInvalidChanges(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	long := contractChange("op", "aina", strings.Repeat("x", MaxNameBytes+1), 0)
	negative := contractChange("op", "aina", "harga", 0)
	negative.GetContract().Limits = &pb.Limits{RequestsPerSecond: -1}
	shortSum := contractChange("op", "aina", "harga", 0)
	shortSum.GetContract().KeyHashes = [][]byte{{1}}
	for _, c := range []*pb.ConfigChange{
		{},
		contractChange("", "aina", "harga", 0),
		contractChange("op", "", "harga", 0),
		contractChange("op", "aina", "", 0),
		long, negative, shortSum,
		{OperationId: "op", Operator: "aina"},
		{OperationId: "op", Operator: "aina", Object: &pb.ConfigChange_Intent{Intent: &pb.TargetIntent{Target: "e1"}}},
	} {
		if r := s.change(c); r.Status != pb.ChangeStatus_CHANGE_STATUS_INVALID || r.Message == "" {
			t.Errorf("change %v: %v", c, r)
		}
	}
	if s.Revision() != 0 {
		t.Fatal("an invalid change increased the revision")
	}
}

func TestDeltaInParts(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	for i := range 100 {
		s.change(contractChange(fmt.Sprint("op-", i), "aina", fmt.Sprint("customer-", i%40), uint64(max(0, i-39))))
	}
	held, got := uint64(0), map[string]uint64{}
	for parts := 1; ; parts++ {
		d := s.Delta(held, 100)
		for _, k := range d.Contracts {
			if k.Revision <= held || k.Revision > d.UpTo {
				t.Fatalf("revision %d in the part (%d, %d]", k.Revision, held, d.UpTo)
			}
			got[k.Customer] = k.Revision
		}
		held = d.UpTo
		if !d.Partial {
			break
		}
		if parts > 100 {
			t.Fatal("the delta is still partial after 100 parts")
		}
	}
	if held != 100 || len(got) != 40 {
		t.Fatalf("held %d, %d customers", held, len(got))
	}
	for _, k := range s.Contracts("") {
		if got[k.Customer] != k.Revision {
			t.Fatalf("%s: delta %d, state %d", k.Customer, got[k.Customer], k.Revision)
		}
	}
}

func TestDamagedSnapshotIsRefused(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	for i := range 10 {
		s.change(contractChange(fmt.Sprint("op-", i), "aina", fmt.Sprint("customer-", i), 0))
		s.claim(&pb.Claim{Customer: "harga", Key: fmt.Sprint(i), Router: "r1", Digest: make([]byte, DigestBytes)})
	}
	var buf bytes.Buffer
	if err := s.Snapshot(&buf); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{0, 1, buf.Len() / 2, buf.Len() - 1} {
		m := New()
		if err := m.Restore(bytes.NewReader(buf.Bytes()[:n])); err == nil {
			t.Fatalf("a snapshot truncated to %d of %d bytes was restored", n, buf.Len())
		}
		if m.Revision() != 0 {
			t.Fatal("a rejected snapshot left state in the machine")
		}
	}
}
