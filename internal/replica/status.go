package replica

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/consensus"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// status is a copy of the core's state for other goroutines than the loop.
type status struct {
	consensus.Status
	membership *pb.Membership
	leaderAddr string
	leaseUntil time.Time
	// leaseReady is set once the leader has applied the first entry of its term,
	// and with it all entries of earlier terms.
	leaseReady bool

	formation pb.FormationState
	founding  *pb.Membership
}

func (n *Node) currentStatus() status {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status
}

func (n *Node) setFormationState(state pb.FormationState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status.formation = state
}

func (n *Node) setFounding(m *pb.Membership, state pb.FormationState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.status.founding = m
	n.status.formation = state
}

// Leader implements RaftNode.
func (n *Node) Leader() (id, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.status.Leader, n.status.leaderAddr
}

// Replicas implements RaftNode. Match indexes are known only on the leader.
func (n *Node) Replicas() []*pb.ReplicaInfo {
	s := n.currentStatus()
	infos := make([]*pb.ReplicaInfo, 0, len(s.membership.GetMembers()))
	for _, m := range s.membership.GetMembers() {
		infos = append(infos, &pb.ReplicaInfo{
			Id:          m.Id,
			Addr:        m.Addr,
			DataCentre:  m.DataCentre,
			Learner:     m.Learner,
			Leader:      m.Id == s.Leader,
			Term:        s.Term,
			MatchIndex:  s.Match[m.Id],
			CommitIndex: s.Committed,
		})
	}
	return infos
}
