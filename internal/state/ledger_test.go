package state

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	granted    = pb.ClaimStatus_CLAIM_STATUS_GRANTED
	inProgress = pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS
	done       = pb.ClaimStatus_CLAIM_STATUS_DONE
	unknown    = pb.ClaimStatus_CLAIM_STATUS_UNKNOWN
)

func claimOf(key, router string, incarnation, attempt uint64) *pb.Claim {
	return &pb.Claim{
		Customer:          "harga",
		Key:               key,
		Digest:            make([]byte, DigestBytes),
		Router:            router,
		RouterIncarnation: incarnation,
		Attempt:           attempt,
		RequestId:         fmt.Sprint(router, "-", incarnation, "-", attempt),
	}
}

func resolveOf(c *pb.Claim, outcome pb.ClaimOutcome) *pb.Resolve {
	return &pb.Resolve{
		Customer:          c.Customer,
		Key:               c.Key,
		Router:            c.Router,
		RouterIncarnation: c.RouterIncarnation,
		Attempt:           c.Attempt,
		Outcome:           outcome,
		Answer:            &pb.StoredAnswer{Status: 201, Body: []byte(c.RequestId)},
	}
}

func wantStatus(t *testing.T, what string, r *pb.ClaimResult, want pb.ClaimStatus) {
	t.Helper()
	if r.Status != want {
		t.Fatalf("%s: %v, want %v", what, r.Status, want)
	}
}

func TestClaimIsAnsweredFromTheLedger(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	a, b := claimOf("k", "r1", 1, 1), claimOf("k", "r2", 1, 1)
	wantStatus(t, "first claim", s.claim(a), granted)
	wantStatus(t, "another router", s.claim(b), inProgress)
	again := s.claim(a)
	if again.Status != granted || !again.Resent {
		t.Fatalf("repeat of the claim: %v", again)
	}
	other := claimOf("k", "r2", 1, 2)
	other.Digest[0] = 1
	wantStatus(t, "another digest", s.claim(other), pb.ClaimStatus_CLAIM_STATUS_DIGEST_MISMATCH)
	if s.resolve(resolveOf(b, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)) {
		t.Fatal("another router resolved the claim")
	}
	for range 2 {
		if !s.resolve(resolveOf(a, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)) {
			t.Fatal("the outcome sent by the claimant was not applied")
		}
	}
	s.restart(t)
	r := s.claim(b)
	wantStatus(t, "after the outcome", r, done)
	if r.Answer.GetStatus() != 201 || string(r.Answer.GetBody()) != "r1-1-1" || r.RequestId != "r1-1-1" {
		t.Fatalf("stored answer %v", r)
	}
}

// A copy of a claim that commits after its claimant released the key must not be
// granted the key, whether the release was applied before or after the first
// copy.
func TestLateCopyOfReleasedClaim(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	a := claimOf("k", "r1", 1, 1)
	if !s.resolve(resolveOf(a, pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED)) {
		t.Fatal("a release before its claim was not applied")
	}
	wantStatus(t, "claim after its release", s.claim(a), inProgress)
	b := claimOf("k", "r2", 1, 1)
	wantStatus(t, "another claimant", s.claim(b), granted)
	s.resolve(resolveOf(b, pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED))
	s.restart(t)
	wantStatus(t, "late copy of the second claim", s.claim(b), inProgress)
	wantStatus(t, "third claimant", s.claim(claimOf("k", "r3", 1, 1)), granted)
}

func TestClaimTurnsUnknownAndStays(t *testing.T) {
	ends := map[string]func(s *testMachine){
		"age":              func(s *testMachine) { s.advanceTime(s.bounds.OpenClaimTimeout) },
		"next incarnation": func(s *testMachine) { s.claim(claimOf("other", "r1", 2, 1)) },
		"claimant's word": func(s *testMachine) {
			s.resolve(resolveOf(claimOf("k", "r1", 1, 1), pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN))
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			s := newTestMachine(DefaultBounds())
			a := claimOf("k", "r1", 1, 1)
			s.claim(a)
			end(s)
			wantStatus(t, "another claimant", s.claim(claimOf("k", "r2", 1, 1)), unknown)
			if s.resolve(resolveOf(a, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)) || s.resolve(resolveOf(a, pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED)) {
				t.Fatal("an unknown outcome was replaced")
			}
			s.restart(t)
			if r := s.claim(a); r.Status == granted {
				t.Fatal("an unknown claim was granted")
			}
			wantStatus(t, "claim after the outcome became unknown", s.claim(claimOf("k", "r2", 1, 2)), unknown)
		})
	}
}

// The clock of a new leader may be days ahead. The jump of the log time must not
// expire a key before its TTL.
func TestClockJumpKeepsKeys(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	a := claimOf("k", "r1", 1, 1)
	s.claim(a)
	s.timeMs += 3 * s.bounds.KeyTTL.Milliseconds()
	wantStatus(t, "another claimant after the jump", s.claim(claimOf("k", "r2", 1, 1)), inProgress)
	s.restart(t)
	s.advanceTime(s.bounds.KeyTTL - maxElapsedPerEntry - time.Minute)
	wantStatus(t, "before the key expires", s.claim(claimOf("k", "r2", 1, 2)), unknown)
	s.advanceTime(time.Minute)
	wantStatus(t, "after the key has expired", s.claim(claimOf("k", "r2", 1, 3)), granted)
}

func TestStaleIncarnationIsNotGranted(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	s.claim(claimOf("a", "r1", 2, 1))
	wantStatus(t, "earlier incarnation", s.claim(claimOf("b", "r1", 1, 9)), pb.ClaimStatus_CLAIM_STATUS_STALE_CLAIMANT)
}

func TestLedgerBounds(t *testing.T) {
	b := DefaultBounds()
	b.MaxLedgerEntries = 3
	b.MaxAnswerBytes = 64
	b.MaxTotalAnswerBytes = 100
	s := newTestMachine(b)
	for i := range 3 {
		c := claimOf(fmt.Sprint(i), "r1", 1, uint64(i))
		wantStatus(t, "claim", s.claim(c), granted)
		r := resolveOf(c, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)
		r.Answer.Body = make([]byte, 50+i)
		s.resolve(r)
	}
	wantStatus(t, "claim at a full ledger", s.claim(claimOf("3", "r1", 1, 3)), pb.ClaimStatus_CLAIM_STATUS_FULL)
	for i, truncated := range []bool{false, true, true} {
		r := s.claim(claimOf(fmt.Sprint(i), "r1", 1, uint64(i)))
		if r.Status != done || r.Answer.Truncated != truncated || r.Answer.Status != 201 {
			t.Fatalf("answer %d: %v", i, r)
		}
	}
	s.advanceTime(b.KeyTTL)
	wantStatus(t, "after the keys have expired", s.claim(claimOf("3", "r1", 1, 3)), granted)
	if s.ledger.answerBytes != 0 || s.ledger.table.len() != 1 {
		t.Fatalf("the ledger holds %d bytes of answers and %d entries, want 0 and 1", s.ledger.answerBytes, s.ledger.table.len())
	}
}

// A full ledger block of answers of the maximum size must fit into one snapshot
// record.
func TestSnapshotOfLargestAnswers(t *testing.T) {
	s := newTestMachine(DefaultBounds())
	for i := range ledgerBlockEntries + 1 {
		c := claimOf(fmt.Sprint(i), "r1", 1, uint64(i))
		s.claim(c)
		r := resolveOf(c, pb.ClaimOutcome_CLAIM_OUTCOME_DONE)
		r.Answer.Body = make([]byte, s.bounds.MaxAnswerBytes-16)
		s.resolve(r)
	}
	s.restart(t)
	if r := s.claim(claimOf("7", "r2", 1, 1)); r.Status != done || len(r.Answer.Body) != s.bounds.MaxAnswerBytes-16 {
		t.Fatalf("after the restart: %v with %d bytes", r.Status, len(r.Answer.GetBody()))
	}
}

// ledgerModel is what the test expects of the ledger.
type ledgerModel struct {
	// grants counts the grants without Resent by key and request id. It also
	// marks each applied release, under the same id with the prefix "released/".
	grants map[string]int
	// state is the last known state of each key that is not absent.
	state map[string]pb.ClaimStatus
	// holder is the claim to which each key was granted.
	holder map[string]*pb.Claim
}

// TestLedgerModel sends duplicated, reordered and stale commands of two routers
// to the ledger and restores it from snapshots in between. Three properties must
// hold. A claim gets at most one grant without Resent. A key is granted to one
// claimant at a time. The states done and unknown are final. Keys do not expire
// during the run.
func TestLedgerModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := DefaultBounds()
		b.ReleaseTTL = b.KeyTTL
		s := newTestMachine(b)
		m := ledgerModel{grants: map[string]int{}, state: map[string]pb.ClaimStatus{}, holder: map[string]*pb.Claim{}}
		drawClaim := func(t *rapid.T) *pb.Claim {
			return claimOf(
				rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
				rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "router"),
				rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				rapid.Uint64Range(1, 4).Draw(t, "attempt"),
			)
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim":   func(t *rapid.T) { m.claim(t, drawClaim(t), s) },
			"resolve": func(t *rapid.T) { m.resolve(t, drawClaim(t), s) },
			"wait": func(t *rapid.T) {
				s.timeMs += rapid.Int64Range(0, int64(10*time.Minute/time.Millisecond)).Draw(t, "ms")
			},
			"restart": func(t *rapid.T) { s.restart(t) },
		})
	})
}

func (m *ledgerModel) claim(t *rapid.T, c *pb.Claim, s *testMachine) {
	r := s.claim(c)
	before := m.state[c.Key]
	if r.Status == granted && !r.Resent {
		id := c.Key + "/" + c.RequestId
		m.grants[id]++
		if m.grants[id] > 1 {
			t.Fatalf("claim %s was granted twice", id)
		}
		if before != pb.ClaimStatus_CLAIM_STATUS_UNSPECIFIED {
			t.Fatalf("key %s was granted while %v", c.Key, before)
		}
		m.state[c.Key] = inProgress
		m.holder[c.Key] = c
	}
	if r.Status == granted && r.Resent && m.holder[c.Key].RequestId != c.RequestId {
		t.Fatalf("key %s of %s was granted to %s", c.Key, m.holder[c.Key].RequestId, c.RequestId)
	}
	if (before == done || before == unknown) && r.Status != before && r.Status != pb.ClaimStatus_CLAIM_STATUS_STALE_CLAIMANT {
		if _, released := m.grants["released/"+c.Key+"/"+c.RequestId]; !released {
			t.Fatalf("key %s went from %v to %v", c.Key, before, r.Status)
		}
	}
	if r.Status == unknown {
		m.state[c.Key] = unknown
	}
}

func (m *ledgerModel) resolve(t *rapid.T, c *pb.Claim, s *testMachine) {
	outcome := pb.ClaimOutcome(rapid.IntRange(1, 3).Draw(t, "outcome"))
	applied := s.resolve(resolveOf(c, outcome))
	byHolder := m.holder[c.Key] != nil && m.holder[c.Key].RequestId == c.RequestId
	if !applied {
		return
	}
	switch outcome {
	case pb.ClaimOutcome_CLAIM_OUTCOME_RELEASED:
		m.grants["released/"+c.Key+"/"+c.RequestId] = 1
		if byHolder && m.state[c.Key] != inProgress && m.state[c.Key] != pb.ClaimStatus_CLAIM_STATUS_UNSPECIFIED {
			t.Fatalf("key %s was released while %v", c.Key, m.state[c.Key])
		}
		if byHolder {
			delete(m.state, c.Key)
			delete(m.holder, c.Key)
		}
	case pb.ClaimOutcome_CLAIM_OUTCOME_DONE:
		if !byHolder || m.state[c.Key] == unknown {
			t.Fatalf("outcome of key %s was accepted from %s while %v", c.Key, c.RequestId, m.state[c.Key])
		}
		m.state[c.Key] = done
	case pb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN:
		if !byHolder || m.state[c.Key] == done {
			t.Fatalf("outcome of key %s was accepted from %s while %v", c.Key, c.RequestId, m.state[c.Key])
		}
		m.state[c.Key] = unknown
	}
}
