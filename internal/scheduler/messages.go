package scheduler

import (
	"time"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
	"github.com/wigeonwood/wigeonwood/internal/pool"
)

func fromAdmitRequest(req *pb.AdmitRequest) pool.Request {
	r := pool.Request{
		ID: pool.ID{
			Router:      req.Id.GetRouter(),
			Incarnation: req.Id.GetIncarnation(),
			Number:      req.Id.GetNumber(),
		},
		Customer: req.Customer,
		Weight:   req.Weight,
		Class:    int(req.Class),
		Cost:     float64(req.CostTokens),
		Chat:     placement.Key(req.Chat),
		Model:    req.Model,
		Service:  req.Service,
		Exclude:  req.Exclude,
		MaxWait:  time.Duration(req.MaxWaitMs) * time.Millisecond,
	}
	if h := req.Hint; h != nil {
		r.Hint = placement.Holder{Engine: h.Target, Incarnation: h.Incarnation, Used: time.Now()}
	}
	return r
}

func toAdmitReply(r pool.Result, claim *pb.HomeClaim) *pb.AdmitReply {
	reply := &pb.AdmitReply{WaitedMs: uint32(r.Waited.Milliseconds()), Home: claim}
	if r.Kind == pool.Granted {
		reply.Target = r.Target
		reply.Incarnation = r.Incarnation
		reply.Why = uint32(r.Reason)
		reply.Load = uint32(r.Load)
		reply.Limit = uint32(r.Limit)
		reply.Targets = uint32(r.Targets)
		reply.Passed = r.PassedOver
		reply.PassedLoad = uint32(r.PassedOverLoad)
		return reply
	}
	reply.Code = r.Code
	reply.RetryAfterMs = uint32(r.RetryAfter.Milliseconds())
	return reply
}

func requestIDs(router string, incarnation uint64, numbers []uint64) []pool.ID {
	ids := make([]pool.ID, 0, len(numbers))
	for _, n := range numbers {
		ids = append(ids, pool.ID{Router: router, Incarnation: incarnation, Number: n})
	}
	return ids
}

func fromHeldSlots(h *pb.HeldPlaces) []pool.HeldSlot {
	held := make([]pool.HeldSlot, 0, len(h.GetPlaces()))
	for _, p := range h.GetPlaces() {
		held = append(held, pool.HeldSlot{
			ID:       pool.ID{Router: h.Router, Incarnation: h.Incarnation, Number: p.Number},
			Target:   p.Target,
			Customer: p.Customer,
			Weight:   p.Weight,
			Model:    p.Model,
			Service:  p.Service,
		})
	}
	return held
}

func toCacheEvents(events []placement.CacheEvent) []*pb.CacheEvent {
	out := make([]*pb.CacheEvent, 0, len(events))
	for _, e := range events {
		out = append(out, &pb.CacheEvent{Kind: uint32(e.Kind), Chat: uint64(e.Chat)})
	}
	return out
}

func fromCacheEvents(events []*pb.CacheEvent) []placement.CacheEvent {
	out := make([]placement.CacheEvent, 0, len(events))
	for _, e := range events {
		out = append(out, placement.CacheEvent{Kind: placement.EventKind(e.Kind), Chat: placement.Key(e.Chat)})
	}
	return out
}
