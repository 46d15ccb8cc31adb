package consensus

import (
	"errors"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const testElectionTicks = 10

func voter(id string) *pb.Member   { return &pb.Member{Id: id} }
func learner(id string) *pb.Member { return &pb.Member{Id: id, Learner: true} }

// newCore returns replica a of the members, whose log holds the membership as its first
// entry.
func newCore(t *testing.T, hs *pb.HardState, members ...*pb.Member) *Core {
	t.Helper()
	data, err := proto.Marshal(NewMembership(members...))
	if err != nil {
		t.Fatal(err)
	}
	first := &pb.LogEntry{Term: 1, Index: 1, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data}
	cfg := Config{ID: "a", ElectionTicks: testElectionTicks, HeartbeatTicks: 2, Seed: 1}
	return New(cfg, State{HardState: hs, Entries: []*pb.LogEntry{first}})
}

// drain processes all pending work of the core and returns the messages that it sends.
func drain(c *Core) []*pb.RaftMessage {
	var sent []*pb.RaftMessage
	for c.HasReady() {
		rd := c.Ready()
		sent = append(append(sent, rd.Immediate...), rd.Messages...)
		c.Advance(rd)
		if n := len(rd.Committed); n > 0 {
			c.Applied(rd.Committed[n-1].Index)
		}
	}
	return sent
}

func ticks(c *Core, n int) (sent []*pb.RaftMessage) {
	for range n {
		c.Tick()
		sent = append(sent, drain(c)...)
	}
	return sent
}

// elect lets the election timeout expire and grants the pre-votes and votes of the
// given replicas.
func elect(c *Core, from ...string) {
	ticks(c, 2*testElectionTicks)
	for _, kind := range []pb.RaftKind{pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, pb.RaftKind_RAFT_KIND_VOTE_REPLY} {
		for _, id := range from {
			term := c.term
			if kind == pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY {
				term++
			}
			c.Step(&pb.RaftMessage{Kind: kind, From: id, To: "a", Term: term})
		}
		drain(c)
	}
}

func ack(c *Core, from string, index uint64) {
	c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND_REPLY, From: from, To: "a", Term: c.term, Index: index})
	drain(c)
}

func hardState(term uint64, vote string) *pb.HardState {
	return &pb.HardState{Term: term, Vote: vote, Commit: 1}
}

func TestLearnerNeverCounts(t *testing.T) {
	members := []*pb.Member{voter("a"), voter("b"), voter("c"), learner("d"), learner("e")}
	c := newCore(t, hardState(1, ""), members...)
	elect(c, "d", "e")
	if c.role == Leader {
		t.Fatal("leader elected with the votes of learners only")
	}
	elect(c, "b")
	if c.role != Leader {
		t.Fatal("no leader elected with the votes of two of three voters")
	}
	ack(c, "d", c.log.lastIndex())
	ack(c, "e", c.log.lastIndex())
	if c.log.committed != 1 {
		t.Fatalf("acknowledgements of learners committed index %d", c.log.committed)
	}
	ack(c, "c", c.log.lastIndex())
	if c.log.committed != c.log.lastIndex() {
		t.Fatalf("two of three voters acknowledged the log: committed index %d of %d", c.log.committed, c.log.lastIndex())
	}
}

func TestVoteOutlastsARestart(t *testing.T) {
	c := newCore(t, hardState(5, "b"), voter("a"), voter("b"), voter("c"))
	c.ticksSinceLeader = testElectionTicks
	requestVote := func(from string) bool {
		c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_VOTE, From: from, To: "a", Term: 5, Index: 9, LogTerm: 4})
		return !drain(c)[0].Reject
	}
	if requestVote("c") {
		t.Fatal("granted a second vote in term 5 after a restart")
	}
	if !requestVote("b") {
		t.Fatal("refused to repeat the vote to the replica that received it")
	}
}

// TestNoVoteWithinALeadersPeriod guards against a vote while a leader may still hold
// its lease, which is the period in its name. A replica ignores vote requests for an
// election timeout after a restart and after each message of the leader.
func TestNoVoteWithinALeadersPeriod(t *testing.T) {
	c := newCore(t, hardState(5, ""), voter("a"), voter("b"), voter("c"))
	requestVote := func(kind pb.RaftKind) int {
		c.Step(&pb.RaftMessage{Kind: kind, From: "c", To: "a", Term: 6, Index: 9, LogTerm: 5})
		return len(drain(c))
	}
	for _, kind := range []pb.RaftKind{pb.RaftKind_RAFT_KIND_PRE_VOTE, pb.RaftKind_RAFT_KIND_VOTE} {
		if requestVote(kind) != 0 {
			t.Fatalf("replied to %v right after a restart", kind)
		}
	}
	ticks(c, testElectionTicks-1)
	c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT, From: "b", To: "a", Term: 5})
	drain(c)
	ticks(c, testElectionTicks-1)
	if requestVote(pb.RaftKind_RAFT_KIND_VOTE) != 0 {
		t.Fatal("replied to a vote request within an election timeout of a heartbeat")
	}
	ticks(c, 1)
	if requestVote(pb.RaftKind_RAFT_KIND_VOTE) == 0 {
		t.Fatal("no reply to a vote request after an election timeout")
	}
}

func TestMembershipWaitsForAnOwnCommit(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"), voter("b"), voter("c"))
	elect(c, "b")
	next := NewMembership(voter("a"), voter("b"))
	if _, _, err := c.ProposeMembership(next, 0); !errors.Is(err, ErrMembershipPending) {
		t.Fatalf("membership change before the first commit of the term: got error %v, want ErrMembershipPending", err)
	}
	ack(c, "b", c.log.lastIndex())
	if _, _, err := c.ProposeMembership(NewMembership(voter("a")), 0); err == nil {
		t.Fatal("accepted the removal of two voters in one change")
	}
	if _, _, err := c.ProposeMembership(next, 0); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.ProposeMembership(NewMembership(voter("a")), 0); !errors.Is(err, ErrMembershipPending) {
		t.Fatalf("membership change while an earlier one is uncommitted: got error %v, want ErrMembershipPending", err)
	}
}

// TestOlderTermIsCommittedByAnOwnEntryOnly guards against the loss of a committed entry:
// a leader must not commit an entry of an earlier term by counting its replicas, but only
// together with an entry of its own term.
func TestOlderTermIsCommittedByAnOwnEntryOnly(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"), voter("b"), voter("c"))
	c.Step(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []*pb.LogEntry{{Term: 2, Index: 2}},
	})
	drain(c)
	elect(c, "c")
	ack(c, "c", 2)
	if c.log.committed != 1 {
		t.Fatal("committed an entry of an older term by counting replicas")
	}
	ack(c, "c", 3)
	if c.log.committed != 3 {
		t.Fatalf("commit index is %d, want 3", c.log.committed)
	}
}

// TestSnapshotKeepsSyncedEntriesBehindIt guards against a snapshot that removes synced
// entries after its index, which the leader may have counted as replicated.
func TestSnapshotKeepsSyncedEntriesBehindIt(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"), voter("b"), voter("c"))
	c.Step(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []*pb.LogEntry{{Term: 2, Index: 2}, {Term: 2, Index: 3}},
	})
	drain(c)
	c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT, From: "b", To: "a", Term: 2, Index: 2, LogTerm: 2})
	if rd := c.Ready(); len(rd.Chunks) != 0 {
		t.Fatal("requested to store a snapshot that the log already covers")
	}
	if c.log.lastIndex() != 3 || c.log.committed != 2 {
		t.Fatalf("last index %d, committed %d", c.log.lastIndex(), c.log.committed)
	}
}

// TestTimeNeverFalls checks that entry timestamps never decrease, even if the leader's
// clock is set back.
func TestTimeNeverFalls(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"))
	elect(c)
	for _, now := range []int64{100, 50, 200} {
		if _, _, err := c.Propose(nil, now); err != nil {
			t.Fatal(err)
		}
	}
	last := int64(0)
	for _, e := range c.log.entries {
		if e.TimeMs < last {
			t.Fatalf("entry %d has timestamp %d, which is before the previous %d", e.Index, e.TimeMs, last)
		}
		last = e.TimeMs
	}
}
