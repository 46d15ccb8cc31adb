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

// ErrMembershipPending is returned while an earlier membership change, or the first
// entry of the leader's term, is not committed yet.
var ErrMembershipPending = errors.New("an earlier membership change or the first entry of the term is not committed yet")

// memberships lists the memberships in the log with their indexes. The latest one is
// active, whether or not it is committed.
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

// truncate removes the memberships at or after index.
func (m *memberships) truncate(index uint64) {
	for len(m.list) > 1 && m.list[len(m.list)-1].index >= index {
		m.list = m.list[:len(m.list)-1]
	}
}

// compact removes the memberships that were replaced at or before index.
func (m *memberships) compact(index uint64) {
	for len(m.list) > 1 && m.list[1].index <= index {
		m.list = m.list[1:]
	}
}

func isVoter(m *pb.Membership, id string) bool {
	found := FindMember(m, id)
	return found != nil && !found.Learner
}

// FindMember returns the member with id, or nil if there is none.
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

// NewMembership returns a membership with the given members, sorted by ID.
func NewMembership(members ...*pb.Member) *pb.Membership {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, func(a, b *pb.Member) int { return strings.Compare(a.Id, b.Id) })
	return &pb.Membership{Members: sorted}
}

// countChangedVoters returns the number of voters that are in only one of a and b.
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

// ProposeMembership appends a membership that differs from the current one by at most
// one voter, so that the majorities of both memberships overlap. It requires that an
// entry of the leader's own term is committed. Otherwise the new majorities might not
// overlap with those of a membership that an earlier leader left uncommitted.
func (c *Core) ProposeMembership(next *pb.Membership, nowMs int64) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if !c.CommittedInTerm() || c.log.members.currentIndex() > c.log.committed {
		return 0, 0, ErrMembershipPending
	}
	if n := countChangedVoters(c.log.members.current(), next); n > 1 {
		return 0, 0, fmt.Errorf("membership change affects %d voters, at most 1 is allowed", n)
	}
	if voterCount(next) == 0 {
		return 0, 0, errors.New("membership has no voters")
	}
	c.checkPromotions(next)
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, err
	}
	e := c.appendEntry(pb.EntryKind_ENTRY_KIND_MEMBERSHIP, data, nowMs)
	return e.Index, e.Term, nil
}

// checkPromotions checks the invariant that a learner becomes a voter only after it has
// synced all entries that were committed when it requested to join.
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

// syncPeers adds and removes elements of the leader's progress table, so that it
// contains exactly the members of the current membership.
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
