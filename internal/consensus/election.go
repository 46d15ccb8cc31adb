package consensus

import (
	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// campaign requests the vote (role Candidate) or pre-vote (role PreCandidate) of all
// voters.
func (c *Core) campaign(role Role) {
	if !isVoter(c.log.members.current(), c.cfg.ID) {
		return
	}
	kind := pb.RaftKind_RAFT_KIND_PRE_VOTE
	term := c.term + 1
	if role == Candidate {
		kind = pb.RaftKind_RAFT_KIND_VOTE
		c.term = term
		c.vote = c.cfg.ID
	}
	c.role = role
	c.leader = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	c.resetCampaignTimeout()
	if c.evaluateVotes() {
		return
	}
	for _, m := range c.log.members.current().Members {
		if m.Learner || m.Id == c.cfg.ID {
			continue
		}
		c.send(&pb.RaftMessage{
			Kind: kind, To: m.Id, Term: term,
			Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(),
		})
	}
}

func (c *Core) handleVoteRequest(m *pb.RaftMessage) {
	reply := pb.RaftKind_RAFT_KIND_VOTE_REPLY
	canVote := c.vote == m.From || (c.vote == "" && c.leader == "")
	if m.Kind == pb.RaftKind_RAFT_KIND_PRE_VOTE {
		reply = pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
		canVote = m.Term > c.term
	}
	if !canVote || !c.log.upToDate(m.Index, m.LogTerm) {
		c.send(&pb.RaftMessage{Kind: reply, To: m.From, Reject: true})
		return
	}
	if m.Kind == pb.RaftKind_RAFT_KIND_VOTE {
		c.vote = m.From
		c.electionElapsed = 0
	}
	c.send(&pb.RaftMessage{Kind: reply, To: m.From, Term: m.Term})
}

func (c *Core) handleVoteReply(m *pb.RaftMessage) {
	pre := m.Kind == pb.RaftKind_RAFT_KIND_PRE_VOTE_REPLY
	if pre != (c.role == PreCandidate) || !pre && c.role != Candidate {
		return
	}
	if pre && !m.Reject && m.Term != c.term+1 {
		return
	}
	if _, seen := c.votes[m.From]; !seen {
		c.votes[m.From] = !m.Reject
	}
	c.evaluateVotes()
}

// evaluateVotes reports whether the campaign is decided, and if so enters the next role.
// Votes of learners are not counted.
func (c *Core) evaluateVotes() bool {
	membership := c.log.members.current()
	granted, refused := 0, 0
	for _, m := range membership.Members {
		vote, seen := c.votes[m.Id]
		switch {
		case m.Learner || !seen:
		case vote:
			granted++
		default:
			refused++
		}
	}
	switch quorum := quorumOf(membership); {
	case granted >= quorum && c.role == PreCandidate:
		c.campaign(Candidate)
		return true
	case granted >= quorum:
		c.becomeLeader()
		return true
	case refused >= quorum:
		c.becomeFollower(c.term, "")
		return true
	}
	return false
}

func (c *Core) becomeLeader() {
	invariant.Check(c.role == Candidate, "become leader", "id", c.cfg.ID, "role", c.role, "term", c.term)
	c.requireMajority("become leader", c.log.lastIndex(), func(id string) bool { return c.votes[id] })
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.electionElapsed = 0
	c.reads.reset()
	c.peers = make(map[string]*progress)
	c.uncommittedBytes = 0
	c.syncPeers()
	c.firstIndexOfTerm = c.log.lastIndex() + 1
	c.appendEntry(pb.EntryKind_ENTRY_KIND_EMPTY, nil, 0)
	c.startHeartbeatRound()
}
