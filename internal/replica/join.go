package replica

import (
	"context"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// joinInterval lies between two requests to be admitted.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one such request.
	joinTimeout = 5 * time.Second
	// joinLogEvery is how many refused requests share one log line.
	joinLogEvery = 60
)

// joinWhileNotMember asks to be admitted as long as the own log names no
// membership with this replica. With open admission it also asks when no leader
// has been known for long: the replica may have been removed since.
func (n *Node) joinWhileNotMember() {
	next, refused := 0, 0
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
		targets := n.joinAddrs()
		if len(targets) == 0 {
			continue
		}
		addr := targets[next%len(targets)]
		next++
		err := n.requestJoin(addr)
		if err == nil || n.ctx.Err() != nil {
			continue
		}
		if refused%joinLogEvery == 0 {
			n.logEvent(log.WarnLevel, "join").Err(err).Str("asked", addr).Msg("the request to join failed; an instance at a new address is admitted by the command replica add")
		}
		refused++
	}
}

// joinAddrs lists the other founders and known replicas.
func (n *Node) joinAddrs() []string {
	addrs := slices.Clone(n.cfg.Founders)
	if n.cfg.Peers != nil {
		addrs = append(addrs, n.cfg.Peers()...)
	}
	slices.Sort(addrs)
	return slices.DeleteFunc(slices.Compact(addrs), func(addr string) bool { return addr == n.cfg.Addr })
}

func (n *Node) requestJoin(addr string) error {
	ctx, cancel := context.WithTimeout(n.ctx, joinTimeout)
	defer cancel()
	req := &pb.JoinRequest{
		Group:  n.cfg.Group,
		Member: &pb.Member{Id: n.id, Addr: n.cfg.Addr, DataCentre: n.cfg.DataCentre},
	}
	reply := &pb.JoinReply{}
	err := n.cfg.Pool.Call(ctx, addr, n.method("join"), req, reply)
	if err == nil && reply.LeaderAddr != "" && reply.LeaderAddr != addr {
		err = n.cfg.Pool.Call(ctx, reply.LeaderAddr, n.method("join"), req, reply)
	}
	return err
}
