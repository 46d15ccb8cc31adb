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
	// claimTimeout bounds the wait for one router's answer to a claim.
	claimTimeout = 500 * time.Millisecond
	// releaseTimeout bounds a call that gives places back.
	releaseTimeout = 1 * time.Second
	// cacheTimeout bounds a call that passes cache events on.
	cacheTimeout = 500 * time.Millisecond
	// admitSlack is how long a caller waits for a home beyond the longest
	// wait in the queue: a claim and the calls themselves.
	admitSlack = 4 * time.Second
)

func (s *Scheduler) register() {
	transport.Handle(s.cfg.Server, methodAdmit, s.handleAdmit)
	transport.Handle(s.cfg.Server, methodClaim, s.handleClaim)
	transport.Handle(s.cfg.Server, methodRelease, s.handleRelease)
	transport.Handle(s.cfg.Server, methodCache, s.handleCache)
}

// handleClaim learns another router's claim and names what is held here. Once
// it has answered, this router admits nothing under a lower claim.
func (s *Scheduler) handleClaim(_ context.Context, req *pb.ClaimHomeRequest) (*pb.ClaimHomeReply, error) {
	g := s.group(req.Claim.GetGroup())
	if g == nil {
		return nil, errs.New(methodClaim, s.cfg.Self, "too many groups of targets")
	}
	g.applyClaim(req.Claim)
	_, known := g.current()
	return &pb.ClaimHomeReply{Held: s.listHeldSlots(g.name), Known: known}, nil
}

func (s *Scheduler) handleRelease(_ context.Context, req *pb.ReleaseRequest) (*pb.ReleaseReply, error) {
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodRelease, s.cfg.Self, "too many groups of targets")
	}
	ids := requestIDs(req.Router, req.Incarnation, req.Numbers)
	opened, known := g.currentOrDefer(s.cfg.Self, ids)
	if opened != nil {
		opened.release(ids...)
		if req.Held != nil {
			s.reconcileHeld(opened, req.Held)
		}
	}
	return &pb.ReleaseReply{Home: claimUpdate(known, req.KnownEpoch)}, nil
}

// callAdmit asks a router, which may be this one, for a place.
func (s *Scheduler) callAdmit(ctx context.Context, to router, req *pb.AdmitRequest) (*pb.AdmitReply, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.MaxWaitMs)*time.Millisecond+admitSlack)
	defer cancel()
	if to.id == s.cfg.Self {
		s.metrics.localAdmissions.Inc(1)
		return s.handleAdmit(ctx, req)
	}
	s.metrics.remoteAdmissions.Inc(1)
	reply := &pb.AdmitReply{}
	if err := s.cfg.Pool.Call(ctx, to.addr, methodAdmit, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// forward asks the home on behalf of a router that can't reach it.
func (s *Scheduler) forward(ctx context.Context, req *pb.AdmitRequest, home *pb.HomeClaim) (*pb.AdmitReply, error) {
	s.metrics.forwarded.Inc(1)
	last := &pb.AdmitRequest{
		Id: req.Id, Group: req.Group, Customer: req.Customer, Weight: req.Weight, Class: req.Class,
		CostTokens: req.CostTokens, Chat: req.Chat, Model: req.Model, Service: req.Service,
		Exclude: req.Exclude, MaxWaitMs: req.MaxWaitMs, Hint: req.Hint,
	}
	return s.callAdmit(ctx, router{id: home.Router, addr: home.Addr}, last)
}

func (s *Scheduler) callClaim(ctx context.Context, addr string, c *pb.HomeClaim) (*pb.ClaimHomeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	reply := &pb.ClaimHomeReply{}
	err := s.cfg.Pool.Call(ctx, addr, methodClaim, &pb.ClaimHomeRequest{Claim: c}, reply)
	return reply, err
}
