package consensus

import (
	"errors"
	"math/rand/v2"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ErrNotLeader means that this replica does not lead.
var ErrNotLeader = errors.New("not the leader")

// ErrOverloaded means that too many bytes wait to be committed.
var ErrOverloaded = errors.New("too many uncommitted bytes")

const (
	// maxUncommittedBytes bounds the leader's uncommitted tail.
	maxUncommittedBytes = 64 << 20
	// maxMessageBytes bounds the entries of one append message.
	maxMessageBytes = 1 << 20
	// maxInflight bounds the append messages on the way to one peer.
	maxInflight = 64
	// maxApplyEntries bounds the committed entries of one Ready.
	maxApplyEntries = 1024
)

// Role is what a replica does in its term.
type Role int

// The roles of a replica.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Config sets up a Core.
type Config struct {
	ID    string
	Group uint32
	// ElectionTicks without a leader start an election; the actual timeout is
	// drawn from [ElectionTicks, 1.5*ElectionTicks). An undecided campaign is
	// repeated after a quarter to a half of ElectionTicks.
	ElectionTicks int
	// HeartbeatTicks lie between two confirmation rounds.
	HeartbeatTicks int
	// Seed determines all random choices.
	Seed uint64
}

// State is what a Core starts from, as read from the journal.
type State struct {
	HardState *pb.HardState
	// Snapshot is nil if the log starts at its first entry.
	Snapshot *pb.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*pb.LogEntry
}

// Core is one replica of one log. It must not be used concurrently.
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

	// ticksSinceLeader counts from the last message of a valid leader, or from the
	// start. Votes are refused while it is below ElectionTicks, also after a
	// restart: the leader's lease rests on that.
	ticksSinceLeader int
	electionElapsed  int
	electionTimeout  int
	heartbeatElapsed int

	reads readTracker
	// firstIndexOfTerm is the index of the leader's first own entry.
	firstIndexOfTerm uint64
	uncommittedBytes int
	broadcastPending bool

	pendingReady   Ready
	savedHardState *pb.HardState
}

// New makes a core that continues from state.
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

// Tick advances the core's time by one tick.
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

// Step takes a message of a peer.
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

// adoptTerm moves to the higher term of m; false means that m is ignored.
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
			// A granted pre-vote carries the term that was asked for.
			return true
		}
	}
	c.becomeFollower(m.Term, "")
	return true
}

// leaderAlive tells whether a leader may still act on this replica's last
// acknowledgement.
func (c *Core) leaderAlive() bool {
	return c.role == Leader || c.ticksSinceLeader < c.cfg.ElectionTicks
}

// replyToStaleTerm tells a leader or a pre-candidate of a lower term about the
// present one; else a replica with a higher term could never rejoin.
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
		// The last confirmed round was at most that long ago.
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

// resetCampaignTimeout sets the time after which an undecided campaign is repeated.
// It is short, since the leader was silent for a whole timeout already; a
// peer that heard of it a tick later refuses the first pre-vote.
func (c *Core) resetCampaignTimeout() {
	c.electionElapsed = 0
	quarter := max(1, c.cfg.ElectionTicks/4)
	c.electionTimeout = quarter + c.rand.IntN(quarter)
}

// send queues a message that may leave only after the state it rests on is
// synced.
func (c *Core) send(m *pb.RaftMessage) {
	c.pendingReady.Messages = append(c.pendingReady.Messages, c.fillHeader(m))
}

// sendImmediate queues a leader's message, which rests on nothing unsynced.
func (c *Core) sendImmediate(m *pb.RaftMessage) {
	c.pendingReady.Immediate = append(c.pendingReady.Immediate, c.fillHeader(m))
}

func (c *Core) fillHeader(m *pb.RaftMessage) *pb.RaftMessage {
	m.Group = c.cfg.Group
	m.From = c.cfg.ID
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}
