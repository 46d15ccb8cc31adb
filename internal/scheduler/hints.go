package scheduler

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// CacheEvents takes the events numbered from, from+1 and so on of an engine's
// cache and passes them on to the home, as far as the control budget allows.
// It returns resync if earlier ones are missing: the engine should then send
// placement.EventCleared and all that it holds. Events are hints: those that
// the home can't be given are lost, and placement goes on without them.
func (s *Scheduler) CacheEvents(target string, incarnation, from uint64, events []placement.CacheEvent) (resync bool) {
	name := s.currentLayout().groupOf[target]
	if name == "" || s.group(name) == nil {
		return false
	}
	if opened, _ := s.group(name).current(); opened != nil {
		resync = opened.applyCacheEvents(target, incarnation, from, events)
	} else {
		resync = s.sendCacheEvents(name, &pb.CacheEventsRequest{
			Target:      target,
			Incarnation: incarnation,
			From:        from,
			Group:       name,
			Events:      toCacheEvents(events),
		})
	}
	return resync && s.allowResync(target)
}

// allowResync bounds how often an engine is asked for all that it holds.
func (s *Scheduler) allowResync(target string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if last, ok := s.lastResync[target]; ok && now.Sub(last) < resyncInterval {
		return false
	}
	for id, last := range s.lastResync {
		if now.Sub(last) >= resyncInterval {
			delete(s.lastResync, id)
		}
	}
	s.lastResync[target] = now
	return true
}

func (s *Scheduler) sendCacheEvents(group string, req *pb.CacheEventsRequest) (resync bool) {
	candidates := s.ownerCandidates(group)
	if len(candidates) == 0 || candidates[0].id == s.cfg.Self || !s.cfg.AllowHint(proto.Size(req)) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheTimeout)
	defer cancel()
	reply := &pb.CacheEventsReply{}
	if err := s.cfg.Pool.Call(ctx, candidates[0].addr, methodCache, req, reply); err != nil {
		return false
	}
	return reply.Resync
}

// handleCache takes events that another router passes on.
func (s *Scheduler) handleCache(_ context.Context, req *pb.CacheEventsRequest) (*pb.CacheEventsReply, error) {
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodCache, s.cfg.Self, "too many groups of targets")
	}
	opened, _ := g.current()
	if opened == nil {
		return &pb.CacheEventsReply{}, nil
	}
	resync := opened.applyCacheEvents(req.Target, req.Incarnation, req.From, fromCacheEvents(req.Events))
	return &pb.CacheEventsReply{Resync: resync}, nil
}
