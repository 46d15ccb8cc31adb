package control

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ackBatchDelay is how long acknowledgements are gathered before the routers that
// are waited for are counted again.
const ackBatchDelay = 5 * time.Millisecond

// lease gives a router evidence of the committed revision. The order of the
// steps matters: the grant is noted before the round, since from then on the
// router may come to hold a lease with the revision of this moment; and the
// leader's own period is checked after the round, directly before the answer.
func (s *Service) lease(ctx context.Context, req *pb.LeaseRequest) (*pb.LeaseReply, error) {
	if _, ok := s.leadingTerm(); !ok {
		resp := &pb.LeaseReply{}
		return resp, s.forward(ctx, methodLease, req, resp)
	}
	if req.GiveUp {
		s.leases.remove(req)
		return &pb.LeaseReply{Nonce: req.Nonce, LeaderAddr: s.leaderAddr()}, nil
	}
	if !s.leases.record(req, time.Now()) {
		s.refused.Inc(1)
		return nil, overloaded("the table of routers is full")
	}
	if err := s.reads.wait(ctx); err != nil {
		s.refused.Inc(1)
		return nil, err
	}
	d := s.state.Delta(req.HeldRevision, maxDeltaBytes)
	if _, ok := s.leadingTerm(); !ok {
		s.refused.Inc(1)
		return nil, notLeader("the leader's period ended")
	}
	return &pb.LeaseReply{
		Nonce:      req.Nonce,
		Revision:   d.Revision,
		LeaseMs:    uint32(s.leases.length.Milliseconds()),
		Contracts:  d.Contracts,
		Intents:    d.Intents,
		Partial:    d.Partial,
		UpTo:       d.UpTo,
		LeaderAddr: s.leaderAddr(),
	}, nil
}

// inForce waits until every router that may hold a lease acknowledged the
// revision. It is asked of the leader only; what it finds stays true, since a
// lease granted after the commit carries the revision.
func (s *Service) inForce(ctx context.Context, req *pb.InForceRequest) (*pb.InForceReply, error) {
	if _, ok := s.leadingTerm(); !ok {
		resp := &pb.InForceReply{}
		return resp, s.forward(ctx, methodInForce, req, resp)
	}
	ctx, cancel := withReplyReserve(ctx)
	defer cancel()
	if err := s.reads.wait(ctx); err != nil {
		return nil, err
	}
	for {
		now := time.Now()
		changed := s.leases.nextChange()
		waiting, until := s.leases.pending(req.Revision, now)
		if _, ok := s.leadingTerm(); !ok {
			return nil, notLeader("the leader's period ended")
		}
		if s.state.Revision() < req.Revision {
			waiting = append(waiting, "the revision is not committed")
			until = now.Add(s.leases.length)
		}
		if len(waiting) == 0 {
			return &pb.InForceReply{InForce: true}, nil
		}
		if !awaitChange(ctx, changed, until.Sub(now)) {
			return &pb.InForceReply{Waiting: firstN(waiting, maxQueryItems)}, nil
		}
	}
}

// awaitChange returns after a change or after d, and false once ctx ends. All
// routers acknowledge a change within one poll, so it gathers them a while.
func awaitChange(ctx context.Context, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return sleep(ctx, ackBatchDelay)
}
