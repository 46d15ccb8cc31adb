package control

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// ackBatchDelay is how long acknowledgements are collected before the pending
// routers are computed again.
const ackBatchDelay = 5 * time.Millisecond

// lease grants a router a lease, which confirms the committed revision.
//
// The order of the steps matters. The grant is recorded before the read-index
// round, since the lease may carry a revision as old as the one committed at the start
// of the round: a change that commits later must wait for this router. The leader
// lease is checked after the round, directly before the reply, since it may have
// expired during the round.
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
		return nil, overloaded("the lease table is full")
	}
	if err := s.reads.wait(ctx); err != nil {
		s.refused.Inc(1)
		return nil, err
	}
	d := s.state.Delta(req.HeldRevision, maxDeltaBytes)
	if _, ok := s.leadingTerm(); !ok {
		s.refused.Inc(1)
		return nil, notLeader("the quorum's confirmation of this leader has expired")
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

		Evacuations: s.state.Evacuations(),
	}, nil
}

// inForce waits until every router that may hold a lease has acknowledged the
// revision. Only the leader can determine this. A confirmation stays true, since
// every lease that is granted after the commit carries the revision.
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
		pending, retryAt := s.leases.pending(req.Revision, now)
		if _, ok := s.leadingTerm(); !ok {
			return nil, notLeader("the quorum's confirmation of this leader has expired")
		}
		if s.state.Revision() < req.Revision {
			pending = append(pending, "the revision is not committed")
			retryAt = now.Add(s.leases.length)
		}
		if len(pending) == 0 {
			return &pb.InForceReply{InForce: true}, nil
		}
		if !awaitChange(ctx, changed, retryAt.Sub(now)) {
			return &pb.InForceReply{Waiting: firstN(pending, maxQueryItems)}, nil
		}
	}
}

// awaitChange waits for a change of the lease table or for d. It returns false if
// ctx ends. All routers acknowledge a revision within one poll interval, so
// awaitChange then waits for ackBatchDelay to collect more acknowledgements.
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
