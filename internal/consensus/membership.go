package consensus

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/invariant"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ErrMembershipPending means that an earlier membership change, or the first
// entry of the leader's term, is not committed yet.
var ErrMembershipPending = errors.New("a membership change is not possible yet")

// memberships holds the membership in force after each log position. The
// latest in the log counts, committed or not.
type memberships struct {
	list []indexedMembership
}

type indexedMembership struct {
	index      uint64
	membership *pb.Membership
}

func newMemberships(index uint64, base *pb.Membership) memberships {
	if base == nil {
		base = &pb.Membership{}
	}
	return memberships{list: []indexedMembership{{index, base}}}
}

func (m *memberships) current() *pb.Membership { return m.list[len(m.list)-1].membership }

func (m *memberships) currentIndex() uint64 { return m.list[len(m.list)-1].index }

func (m *memberships) add(e *pb.LogEntry) {
	membership := &pb.Membership{}
	err := proto.Unmarshal(e.Data, membership)
	invariant.Check(err == nil, "read membership entry", "index", e.Index, "error", err)
	m.list = append(m.list, indexedMembership{e.Index, membership})
}

// truncate forgets memberships from index on.
func (m *memberships) truncate(index uint64) {
	for len(m.list) > 1 && m.list[len(m.list)-1].index >= index {
		m.list = m.list[:len(m.list)-1]
	}
}

// compact forgets memberships that were replaced at or before index.
func (m *memberships) compact(index uint64) {
	for len(m.list) > 1 && m.list[1].index <= index {
		m.list = m.list[1:]
	}
}

func isVoter(m *pb.Membership, id string) bool {
	found := FindMember(m, id)
	return found != nil && !found.Learner
}

// FindMember returns the member with id, nil if there is none.
func FindMember(m *pb.Membership, id string) *pb.Member {
	for _, member := range m.GetMembers() {
		if member.Id == id {
			return member
		}
	}
	return nil
}

func voterCount(m *pb.Membership) int {
	n := 0
	for _, member := range m.Members {
		if !member.Learner {
			n++
		}
	}
	return n
}

func quorumOf(m *pb.Membership) int { return voterCount(m)/2 + 1 }

// NewMembership returns members sorted by id.
func NewMembership(members ...*pb.Member) *pb.Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *pb.Member) int { return strings.Compare(a.Id, b.Id) })
	return &pb.Membership{Members: sorted}
}

// countChangedVoters counts the voters that only one of both memberships has.
func countChangedVoters(a, b *pb.Membership) int {
	n := 0
	for _, member := range a.Members {
		if !member.Learner && !isVoter(b, member.Id) {
			n++
		}
	}
	for _, member := range b.Members {
		if !member.Learner && !isVoter(a, member.Id) {
			n++
		}
	}
	return n
}

// ProposeMembership appends a membership that differs from the present one by
// one voter at most. Two majorities of neighbouring memberships then overlap;
// and only after an entry of the leader's own term is committed do they also
// overlap with what earlier leaders left uncommitted.
func (c *Core) ProposeMembership(next *pb.Membership, nowMs int64) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !c.CommittedInTerm() || c.log.members.currentIndex() > c.log.committed {
		return 0, 0, ErrMembershipPending
	}
	if n := countChangedVoters(c.log.members.current(), next); n > 1 {
		return 0, 0, fmt.Errorf("a membership change of %d voters, of 1 at most", n)
	}
	if voterCount(next) == 0 {
		return 0, 0, errors.New("a membership without voters")
	}
	c.checkPromotions(next)
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	e := c.appendEntry(pb.EntryKind_ENTRY_KIND_MEMBERSHIP, data, nowMs)
	return e.Index, e.Term, nil
}

// checkPromotions stops a learner from becoming a voter before it has synced
// all that was committed when it asked to join.
func (c *Core) checkPromotions(next *pb.Membership) {
	for _, m := range next.Members {
		before := FindMember(c.log.members.current(), m.Id)
		if before == nil || !before.Learner || m.Learner {
			continue
		}
		match := c.peers[m.Id].match
		invariant.Check(match >= m.JoinIndex, "promote learner", "id", m.Id, "match", match, "join index", m.JoinIndex)
	}
}

// syncPeers makes the leader's progress table match the membership.
func (c *Core) syncPeers() {
	membership := c.log.members.current()
	for _, m := range membership.Members {
		if c.peers[m.Id] == nil {
			c.peers[m.Id] = newProgress(c.log.lastIndex() + 1)
		}
	}
	for id := range c.peers {
		if FindMember(membership, id) == nil {
			delete(c.peers, id)
		}
	}
	if self := c.peers[c.cfg.ID]; self != nil {
		self.match = c.log.stable
	}
}
