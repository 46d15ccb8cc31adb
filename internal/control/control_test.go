package control

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func change(operation, operator string, replaces uint64) *pb.ConfigChange {
	return &pb.ConfigChange{
		OperationId: operation,
		Operator:    operator,
		Replaces:    replaces,
		Object:      &pb.ConfigChange_Contract{Contract: &pb.Contract{Customer: "harga", Weight: 1}},
	}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func accept(t *testing.T, c *Client, ch *pb.ConfigChange) *pb.ChangeResult {
	t.Helper()
	r, err := c.Change(within(t, 5*time.Second), ch)
	if err != nil || r.Status != pb.ChangeStatus_CHANGE_STATUS_ACCEPTED {
		t.Fatalf("change %s: %v, %v", ch.OperationId, r, err)
	}
	return r
}

// TestTwoOperatorsThroughTwoReplicas lets two operators change the same contract at
// once, both on top of the same revision. One change must be accepted and the other one
// must get a conflict that names the present revision. In spite of the name, both
// changes go through one client, which is not bound to two replicas.
func TestTwoOperatorsThroughTwoReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		c := f.client(t, "op")
		accept(t, c, change("op-1", "aina", 0))
		results := make(chan *pb.ChangeResult, 2)
		for _, operator := range []string{"aina", "bayani"} {
			go func() {
				r, err := c.Change(within(t, 5*time.Second), change("op-2-"+operator, operator, 1))
				if err != nil {
					t.Error(err)
				}
				results <- r
			}()
		}
		count := map[pb.ChangeStatus]int{}
		for range 2 {
			r := <-results
			count[r.GetStatus()]++
			if r.GetStatus() == pb.ChangeStatus_CHANGE_STATUS_CONFLICT && (r.PresentRevision != 2 || r.PresentOperator == "" || r.PresentTimeUnixMs == 0) {
				t.Errorf("result of the losing operator: %v", r)
			}
		}
		if count[pb.ChangeStatus_CHANGE_STATUS_ACCEPTED] != 1 || count[pb.ChangeStatus_CHANGE_STATUS_CONFLICT] != 1 {
			t.Fatalf("statuses %v", count)
		}
	})
}

func TestResendAcrossLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		c := f.client(t, "op")
		f.nodes["a"].loseReply = true
		first := accept(t, c, change("op-first", "aina", 0))
		if !first.Resent {
			t.Fatal("the result of the retry after the lost reply does not have Resent set")
		}
		revision := uint64(1)
		for i := range 500 {
			if i == 250 {
				f.elect("b")
			}
			revision = accept(t, c, change(fmt.Sprint("op-", i), "bayani", revision)).Revision
		}
		f.elect("c")
		again := accept(t, c, change("op-first", "aina", 0))
		if !proto.Equal(first, again) {
			t.Fatalf("first result %v, result of the resend %v", first, again)
		}
	})
}

// A leader that is cut off from the quorum must neither grant leases nor commit
// commands. A command that is sent to it ends with an unknown outcome or at the
// new leader, never with an error that says that the command had no effect. After
// an election, changes and queries must succeed at the new leader.
func TestCutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		c := f.client(t, "r1")
		accept(t, c, change("op-1", "aina", 0))
		f.setCut("a", true)
		_, err := f.services["a"].lease(within(t, time.Second), &pb.LeaseRequest{Router: "r1", Nonce: 1})
		if err == nil {
			t.Fatal("a leader without quorum granted a lease")
		}
		_, err = f.services["a"].submit(within(t, time.Second), &pb.SubmitRequest{Command: &pb.Command{}})
		if err == nil {
			t.Fatal("a leader without quorum committed")
		}
		f.elect("b")
		accept(t, c, change("op-2", "aina", 1))
		q, err := c.Query(within(t, 5*time.Second), &pb.QueryRequest{What: pb.QueryRequest_WHAT_CONTRACTS})
		if err != nil || q.Revision != 2 || len(q.Contracts) != 1 {
			t.Fatalf("query %v, %v", q, err)
		}
	})
}

func TestClaimWithLostAnswerIsGrantedToOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		c := f.client(t, "r1")
		claim := &pb.Claim{Customer: "harga", Key: "k", Digest: make([]byte, 32), Router: "r1", RouterIncarnation: 1, Attempt: 1}
		f.nodes["a"].loseReply = true
		r, err := c.Claim(within(t, 5*time.Second), claim)
		if err != nil || r.Status != pb.ClaimStatus_CLAIM_STATUS_GRANTED {
			t.Fatalf("claim with a lost reply: %v, %v", r, err)
		}
		again, err := c.Claim(within(t, 5*time.Second), claim)
		if err != nil || again.Status != pb.ClaimStatus_CLAIM_STATUS_IN_PROGRESS {
			t.Fatalf("second call with the same attempt: %v, %v", again, err)
		}
		body := make([]byte, 1<<20)
		resolved, err := c.Resolve(within(t, 5*time.Second), &pb.Resolve{
			Customer: "harga", Key: "k", Router: "r1", RouterIncarnation: 1, Attempt: 1,
			Outcome: pb.ClaimOutcome_CLAIM_OUTCOME_DONE, Answer: &pb.StoredAnswer{Status: 201, Body: body},
		})
		if err != nil || !resolved.Applied || len(f.entries[len(f.entries)-1].Data) > 1024 {
			t.Fatalf("a large answer: %v, %v", resolved, err)
		}
	})
}

func TestErrorsTellIfTheClaimMayBeCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMemFleet(t)
		c := f.client(t, "r1")
		claim := &pb.Claim{Customer: "harga", Key: "k", Digest: make([]byte, 32), Router: "r1", RouterIncarnation: 1, Attempt: 1}
		for _, id := range f.replicas() {
			f.net.setCut(id, "r1", true)
			f.net.setCut(id, "relay", true)
		}
		_, err := c.Claim(within(t, 4*time.Second), claim)
		if err == nil || !isUnknown(err) || transport.Status(err) != pb.CallStatus_CALL_STATUS_OUTCOME_UNKNOWN {
			t.Fatalf("a claim whose replies are lost: %v", err)
		}
		f.elect("b")
		f.setCut("b", true)
		unconnected := newClient(ClientConfig{Replicas: func() []string { return nil }, Logger: discardLogger(), Scope: tally.NoopScope}, link{f.net, "r2"})
		if _, err := unconnected.Claim(within(t, time.Second), claim); err == nil || isUnknown(err) {
			t.Fatalf("a claim without any replica: %v", err)
		}
	})
}

// isUnknown reports whether the command may have been committed despite err.
func isUnknown(err error) bool { return err != nil && !hadNoEffect(err) }
