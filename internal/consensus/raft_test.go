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

// newCore starts replica a of the members, whose log holds the membership.
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

// drain carries out all that the core asks for and returns its messages.
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

// elect lets the given replicas grant both votes.
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
		t.Fatal("learners elected a leader")
	}
	elect(c, "b")
	if c.role != Leader {
		t.Fatal("two of three voters elected no leader")
	}
	ack(c, "d", c.log.lastIndex())
	ack(c, "e", c.log.lastIndex())
	if c.log.committed != 1 {
		t.Fatalf("learners committed index %d", c.log.committed)
	}
	ack(c, "c", c.log.lastIndex())
	if c.log.committed != c.log.lastIndex() {
		t.Fatalf("two of three voters committed index %d of %d", c.log.committed, c.log.lastIndex())
	}
}

func TestVoteOutlastsARestart(t *testing.T) {
	c := newCore(t, hardState(5, "b"), voter("a"), voter("b"), voter("c"))
	c.ticksSinceLeader = testElectionTicks
	ask := func(from string) bool {
		c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_VOTE, From: from, To: "a", Term: 5, Index: 9, LogTerm: 4})
		return !drain(c)[0].Reject
	}
	if ask("c") {
		t.Fatal("a second replica got the vote of term 5")
	}
	if !ask("b") {
		t.Fatal("the vote was not repeated to the replica that has it")
	}
}

func TestNoVoteWithinALeadersPeriod(t *testing.T) {
	c := newCore(t, hardState(5, ""), voter("a"), voter("b"), voter("c"))
	ask := func(kind pb.RaftKind) int {
		c.Step(&pb.RaftMessage{Kind: kind, From: "c", To: "a", Term: 6, Index: 9, LogTerm: 5})
		return len(drain(c))
	}
	for _, kind := range []pb.RaftKind{pb.RaftKind_RAFT_KIND_PRE_VOTE, pb.RaftKind_RAFT_KIND_VOTE} {
		if ask(kind) != 0 {
			t.Fatalf("%v was answered right after the restart", kind)
		}
	}
	ticks(c, testElectionTicks-1)
	c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_HEARTBEAT, From: "b", To: "a", Term: 5})
	drain(c)
	ticks(c, testElectionTicks-1)
	if ask(pb.RaftKind_RAFT_KIND_VOTE) != 0 {
		t.Fatal("a vote was answered within an election timeout of a heartbeat")
	}
	ticks(c, 1)
	if ask(pb.RaftKind_RAFT_KIND_VOTE) == 0 {
		t.Fatal("no vote was answered after an election timeout")
	}
}

func TestMembershipWaitsForAnOwnCommit(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"), voter("b"), voter("c"))
	elect(c, "b")
	next := NewMembership(voter("a"), voter("b"))
	if _, _, err := c.ProposeMembership(next, 0); !errors.Is(err, ErrMembershipPending) {
		t.Fatalf("before the first commit of the term: %v", err)
	}
	ack(c, "b", c.log.lastIndex())
	if _, _, err := c.ProposeMembership(NewMembership(voter("a")), 0); err == nil {
		t.Fatal("two voters were removed at once")
	}
	if _, _, err := c.ProposeMembership(next, 0); err != nil {
		t.Fatal(err)
	}
	if _, _, err := c.ProposeMembership(NewMembership(voter("a")), 0); !errors.Is(err, ErrMembershipPending) {
		t.Fatalf("before the earlier change was committed: %v", err)
	}
}

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
		t.Fatal("an entry of an older term was committed by count")
	}
	ack(c, "c", 3)
	if c.log.committed != 3 {
		t.Fatalf("committed is %d, want 3", c.log.committed)
	}
}

func TestSnapshotKeepsSyncedEntriesBehindIt(t *testing.T) {
	c := newCore(t, hardState(1, ""), voter("a"), voter("b"), voter("c"))
	c.Step(&pb.RaftMessage{
		Kind: pb.RaftKind_RAFT_KIND_APPEND, From: "b", To: "a", Term: 2, Index: 1, LogTerm: 1,
		Entries: []*pb.LogEntry{{Term: 2, Index: 2}, {Term: 2, Index: 3}},
	})
	drain(c)
	c.Step(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_SNAPSHOT, From: "b", To: "a", Term: 2, Index: 2, LogTerm: 2})
	if rd := c.Ready(); len(rd.Chunks) != 0 {
		t.Fatal("a snapshot of what the log holds is to be stored")
	}
	if c.log.lastIndex() != 3 || c.log.committed != 2 {
		t.Fatalf("last index %d, committed %d", c.log.lastIndex(), c.log.committed)
	}
}

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
			t.Fatalf("entry %d has time %d after %d", e.Index, e.TimeMs, last)
		}
		last = e.TimeMs
	}
}
