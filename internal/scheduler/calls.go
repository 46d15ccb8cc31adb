package scheduler

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

// Methods of calls between routers.
const (
	methodAdmit   = "schedule.admit"
	methodClaim   = "schedule.claim"
	methodRelease = "schedule.release"
	methodCache   = "schedule.cache"
)

const (
	// claimTimeout bounds one call that announces an ownership claim.
	claimTimeout = 500 * time.Millisecond
	// releaseTimeout bounds one call that releases or reconciles slots.
	releaseTimeout = 1 * time.Second
	// cacheTimeout bounds one call that forwards cache events.
	cacheTimeout = 500 * time.Millisecond
	// admitSlack is the time that an admission call may take in addition to
	// the wait limit in the queue. It covers an ownership claim and the network
	// calls.
	admitSlack = 4 * time.Second
)

func (s *Scheduler) register() {
	transport.Handle(s.cfg.Server, methodAdmit, s.handleAdmit)
	transport.Handle(s.cfg.Server, methodClaim, s.handleClaim)
	transport.Handle(s.cfg.Server, methodRelease, s.handleRelease)
	transport.Handle(s.cfg.Server, methodCache, s.handleCache)
}

// handleClaim applies another router's ownership claim and replies with the slots
// that this router's requests hold. After the reply this router admits nothing
// under a lower claim.
func (s *Scheduler) handleClaim(_ context.Context, req *pb.ClaimHomeRequest) (*pb.ClaimHomeReply, error) {
	g := s.group(req.Claim.GetGroup())
	if g == nil {
		return nil, errs.New(methodClaim, s.cfg.Self, "too many target groups")
	}
	g.applyClaim(req.Claim)
	_, claim := g.current()
	return &pb.ClaimHomeReply{Held: s.listHeldSlots(g.name), Known: claim}, nil
}

func (s *Scheduler) handleRelease(_ context.Context, req *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodRelease, s.cfg.Self, "too many target groups")
	}
	ids := requestIDs(req.Router, req.Incarnation, req.Numbers)
	adm, claim := g.currentOrDefer(s.cfg.Self, ids)
	if adm != nil {
		adm.release(ids...)
		if req.Held != nil {
			s.reconcileHeld(adm, req.Held)
		}
	}
	return &pb.ReleaseReply{Home: claimUpdate(claim, req.KnownEpoch)}, nil
}

// callAdmit requests a slot from a router, which may be this one.
func (s *Scheduler) callAdmit(ctx context.Context, to router, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.MaxWaitMs)*time.Millisecond+admitSlack)
	defer cancel()
	if to.id == s.cfg.Self {
		s.metrics.localAdmissions.Inc(1)
		return s.handleAdmit(ctx, req)
	}
	s.metrics.remoteAdmissions.Inc(1)
	reply := &pb.AdmitReply{}
	if err := s.cfg.Peers.Call(ctx, to.addr, methodAdmit, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// forward sends a request to the owner for a router that can't reach the owner.
// The forwarded request has no hops left, so it is not forwarded again.
func (s *Scheduler) forward(ctx context.Context, req *pb.AdmitRequest, owner *pb.HomeClaim) (*pb.AdmitReply, error) {
	s.metrics.forwarded.Inc(1)
	forwarded := &pb.AdmitRequest{
		Id: req.Id, Group: req.Group, Customer: req.Customer, Weight: req.Weight, Class: req.Class,
		CostTokens: req.CostTokens, Chat: req.Chat, Model: req.Model, Service: req.Service,
		Exclude: req.Exclude, MaxWaitMs: req.MaxWaitMs, Hint: req.Hint,
	}
	return s.callAdmit(ctx, router{id: owner.Router, addr: owner.Addr}, forwarded)
}

func (s *Scheduler) callClaim(ctx context.Context, addr string, c *pb.HomeClaim) (*pb.ClaimHomeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply := &pb.ClaimHomeReply{}
	err := s.cfg.Peers.Call(ctx, addr, methodClaim, &pb.ClaimHomeRequest{Claim: c}, reply)
	return reply, err
}
