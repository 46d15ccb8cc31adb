package replica

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// joinInterval is the pause between two join requests.
	joinInterval = 500 * time.Millisecond
	// joinTimeout is the time limit of one join request, including the
	// redirection to the leader.
	joinTimeout = 5 * time.Second
	// joinLogEvery is the number of failed join requests per log line.
	joinLogEvery = 60
)

// joinWhileNotMember sends join requests while the membership in the local log
// does not contain this replica. With open admission it also sends them once no
// leader has been known for rejoinAfterTicks: the cluster may have removed this
// replica, and a removed replica may never receive the membership without it.
func (n *Node) joinWhileNotMember() {
	next, failed := 0, 0
	for n.sleep(joinInterval) == nil {
		voter, learner := n.memberState(n.id)
		if voter || learner {
			if !n.cfg.OpenAdmission {
				return
			}
			if !n.leaderless() {
				continue
			}
		}
		addrs := n.joinAddrs()
		if len(addrs) == 0 {
			continue
		}
		addr := addrs[next%len(addrs)]
		next++
		err := n.requestJoin(addr)
		if err == nil || n.ctx.Err() != nil {
			continue
		}
		if failed%joinLogEvery == 0 {
			n.logEvent(log.WarnLevel, "join").Err(err).Str("asked", addr).Msg("join request failed; use the command replica add to admit an instance at a new address")
		}
		failed++
	}
}

// joinAddrs returns the addresses of the other founders and known replicas.
func (n *Node) joinAddrs() []string {
	addrs := slices.Clone(n.cfg.Founders)
	if n.cfg.Peers != nil {
		addrs = append(addrs, n.cfg.Peers()...)
	}
	slices.Sort(addrs)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return addr == n.cfg.Addr })
}

// joinsFirstStart reports whether this replica takes part in the first start of the cluster
// and has not been a member yet.
func (n *Node) joinsFirstStart() bool {
	return !n.cfg.JoinOnly && len(n.currentStatus().membership.GetMembers()) == 0
}

// requestJoin sends a join request to addr. If the reply names another replica as
// the leader, it sends the request to that one too.
func (n *Node) requestJoin(addr string) error {
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	req := &pb.JoinRequest{
		Group:  n.cfg.Group,
		Member: &pb.Member{Id: n.id, Addr: n.cfg.Addr, DataCentre: n.cfg.DataCentre, Learner: n.joinsFirstStart()},
	}
	reply := &pb.JoinReply{}
	err := n.cfg.Pool.Call(ctx, addr, n.method("join"), req, reply)
	if err == nil && reply.LeaderAddr != "" && reply.LeaderAddr != addr {
		err = n.cfg.Pool.Call(ctx, reply.LeaderAddr, n.method("join"), req, reply)
	}
	return err
}
