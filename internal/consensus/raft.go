package consensus

import (
	"errors"
	"math/rand/v2"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ErrNotLeader is returned for calls that only the leader can serve.
var ErrNotLeader = errors.New("not the leader")

// ErrOverloaded is returned by Propose while the size of the uncommitted entries exceeds
// maxUncommittedBytes.
var ErrOverloaded = errors.New("uncommitted entries exceed the size limit")

const (
	// maxUncommittedBytes bounds the total size of the entries that the leader has
	// appended but not yet committed. Propose checks the bound before it appends, so
	// that the last entry may exceed the bound.
	maxUncommittedBytes = 64 << 20
	// maxMessageBytes bounds the total size of the entries in one append message. A
	// larger entry is sent alone.
	maxMessageBytes = 1 << 20
	// maxInflight is the maximum number of unacknowledged append messages per peer.
	maxInflight = 64
	// maxApplyEntries is the maximum number of committed entries in one Ready.
	maxApplyEntries = 1024
)

// Role is the state of a replica in the current term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config holds the parameters of a Core.
type Config struct {
	ID    string
	Group uint32
	// ElectionTicks is the minimum election timeout. The actual timeout is random in
	// [ElectionTicks, 1.5*ElectionTicks). A campaign without a result is repeated after
	// a random time between a quarter and a half of ElectionTicks.
	ElectionTicks int
	// HeartbeatTicks is the interval between heartbeat rounds.
	HeartbeatTicks int
	// Seed determines all random choices.
	Seed uint64
}

// State is the persistent state from which a Core starts.
type State struct {
	HardState *pb.HardState
	// Snapshot is nil if the log starts at its first entry.
	Snapshot *pb.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*pb.LogEntry
}

// Core is the Raft state machine of one replica. It is not safe for concurrent use.
type Core struct {
	cfg  Config
	rand *rand.Rand

	term   uint64
	vote   string
	role   Role
	leader string
	log    *raftLog
	peers  map[string]*progress
	votes  map[string]bool

	// ticksSinceLeader counts the ticks since the last message of the current leader,
	// since this replica stepped down as leader, or since the start. While it is below
	// ElectionTicks the replica refuses votes, also after a restart: the leader's lease
	// is valid only under this condition.
	ticksSinceLeader int
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	reads readTracker
	// firstIndexOfTerm is the index of the first entry that this replica appended in
	// the last term in which it was the leader.
	firstIndexOfTerm uint64
	uncommittedBytes int
	// broadcastPending is set while the leader has appended entries that the next Ready
	// has to send.
	broadcastPending bool

	pendingReady Ready
	// savedHardState is the hard state that the caller last confirmed with Advance.
	savedHardState *pb.HardState
}

// New returns a Core that continues from state.
func New(cfg Config, state State) *Core {
	c := &Core{
		cfg:  cfg,
		rand: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Group))),
		log:  newLog(state.Snapshot, state.Entries),
	}
	hs := state.HardState
	if hs == nil {
		hs = &pb.HardState{}
	}
	c.term = hs.Term
	c.vote = hs.Vote
	invariant.Check(hs.Commit <= c.log.lastIndex(), "restart", "commit", hs.Commit, "last", c.log.lastIndex())
	c.log.commitTo(max(hs.Commit, c.log.committed))
	c.savedHardState = c.hardState()
	c.becomeFollower(c.term, "")
	return c
}

func (c *Core) hardState() *pb.HardState {
	return &pb.HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// Tick advances the logical clock by one tick.
func (c *Core) Tick() {
	c.electionElapsed++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.ticksSinceLeader++
	if c.electionElapsed >= c.electionTimeout && !c.leaderAlive() {
		c.resetElectionTimeout()
		c.campaign(PreCandidate)
	}
}

func (c *Core) tickLeader() {
	if c.electionElapsed >= c.cfg.ElectionTicks {
		c.electionElapsed = 0
		if !c.quorumActive() {
			c.becomeFollower(c.term, "")
			return
		}
	}
	c.heartbeatElapsed++
	if c.heartbeatElapsed >= c.cfg.HeartbeatTicks {
		c.startHeartbeatRound()
	}
}

// Step processes a message from a peer. It ignores messages of other groups and messages
// to other replicas.
func (c *Core) Step(m *pb.RaftMessage) {
	if m.Group != c.cfg.Group || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	if m.Term < c.term {
		c.replyToStaleTerm(m)
		return
	}
	if m.Term > c.term && !c.adoptTerm(m) {
		return
	}
	switch m.Kind {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE, pb.RaftKind_RAFT_KIND_VOTE:
		c.handleVoteRequest(m)
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, pb.RaftKind_RAFT_KIND_VOTE_REPLY:
		c.handleVoteReply(m)
	case pb.RaftKind_RAFT_KIND_APPEND, pb.RaftKind_RAFT_KIND_HEARTBEAT, pb.RaftKind_RAFT_KIND_SNAPSHOT:
		c.handleLeaderMessage(m)
	default:
		c.handleFollowerReply(m)
	}
}

// adoptTerm handles the term of a message m that has a higher term than this replica.
// The replica adopts that term and becomes a follower, unless m is a pre-vote request or
// a granted pre-vote. Vote and pre-vote requests are ignored while a leader may hold a
// lease. adoptTerm reports whether Step processes m further.
func (c *Core) adoptTerm(m *pb.RaftMessage) bool {
	switch m.Kind {
	case pb.RaftKind_RAFT_KIND_PRE_VOTE:
		return !c.leaderAlive()
	case pb.RaftKind_RAFT_KIND_VOTE:
		if c.leaderAlive() {
			return false
		}
	case pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY:
		if !m.Reject {
			// A granted pre-vote carries the term of the request, which this replica
			// has not entered yet.
			return true
		}
	}
	c.becomeFollower(m.Term, "")
	return true
}

// leaderAlive reports whether a leader may still hold a lease that is based on the last
// reply of this replica.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.ticksSinceLeader < c.cfg.ElectionTicks
}

// replyToStaleTerm rejects a message from a leader or pre-candidate of a lower term, so
// that the sender learns the current term. Without the reply a replica with a higher
// term could never rejoin: it would ignore the leader, and the leader would never learn
// of the higher term.
func (c *Core) replyToStaleTerm(m *pb.RaftMessage) {
	switch m.Kind {
	case pb.RaftKind_RAFT_KIND_APPEND, pb.RaftKind_RAFT_KIND_HEARTBEAT, pb.RaftKind_RAFT_KIND_SNAPSHOT:
		c.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_APPEND_REPLY, To: m.From, Reject: true})
	case pb.RaftKind_RAFT_KIND_PRE_VOTE:
		c.send(&pb.RaftMessage{Kind: pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

func (c *Core) becomeFollower(term uint64, leader string) {
	invariant.Check(term >= c.term, "become follower", "id", c.cfg.ID, "term", c.term, "new", term)
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	if c.role == Leader {
		// A quorum may have confirmed this replica as leader just now, so votes are
		// refused for a full election timeout from now on.
		c.ticksSinceLeader = 0
	}
	c.role = Follower
	c.leader = leader
	c.peers = nil
	c.votes = nil
	c.reads.reset()
	c.resetElectionTimeout()
}

func (c *Core) resetElectionTimeout() {
	c.electionElapsed = 0
	c.electionTimeout = c.cfg.ElectionTicks + c.rand.IntN(max(1, c.cfg.ElectionTicks/2))
}

// resetCampaignTimeout sets the time after which a campaign without a result is
// repeated. The time may be short, since the leader has been silent for a full election
// timeout already. It should be short, since a peer that received the leader's last
// message one tick later than this replica refuses the first pre-vote.
func (c *Core) resetCampaignTimeout() {
	c.electionElapsed = 0
	quarter := max(1, c.cfg.ElectionTicks/4)
	c.electionTimeout = quarter + c.rand.IntN(quarter)
}

// send queues a message that asserts state which may not be synced yet, such as a vote or
// an acknowledgement. The caller sends the message only after the sync.
func (c *Core) send(m *pb.RaftMessage) {
	c.pendingReady.Messages = append(c.pendingReady.Messages, c.fillHeader(m))
}

// sendImmediate queues a leader's message that asserts no unsynced state, so that the
// caller can send the message before the sync.
func (c *Core) sendImmediate(m *pb.RaftMessage) {
	c.pendingReady.Immediate = append(c.pendingReady.Immediate, c.fillHeader(m))
}

// fillHeader sets the group, the sender and, if it is unset, the term of m.
func (c *Core) fillHeader(m *pb.RaftMessage) *pb.RaftMessage {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
