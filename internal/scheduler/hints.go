package scheduler

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/placement"
)

// HandleCacheEvents handles the events numbered from, from+1 and so on of an engine's
// prefix cache. It applies them if this router is the owner, and otherwise
// forwards them to the owner as far as the control budget permits. If resync is
// true, earlier events are missing, and the engine should send
// placement.EventCleared and the full content of its cache. Events are hints:
// events that can't be delivered to the owner are dropped, and placement
// continues without them.
func (s *Scheduler) HandleCacheEvents(target string, incarnation, from uint64, events []placement.CacheEvent) (resync bool) {
	name := s.currentLayout().groupOf[target]
	if name == "" || s.group(name) == nil {
		return false
	}
	if adm, _ := s.group(name).current(); adm != nil {
		resync = adm.applyCacheEvents(target, incarnation, from, events)
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

// allowResync reports whether a resync may be requested from an engine now. It
// permits one per resyncInterval, since a resync sends the full cache content.
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
	if len(candidates) == 0 || candidates[0].id == s.cfg.Self || !s.cfg.AllowCacheEvents(proto.Size(req)) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), cacheTimeout)
	defer cancel()
	reply := &pb.CacheEventsReply{}
	if err := s.cfg.Peers.Call(ctx, candidates[0].addr, methodCache, req, reply); err != nil {
		return false
	}
	return reply.Resync
}

// handleCache applies cache events that another router forwards to this owner.
func (s *Scheduler) handleCache(_ context.Context, req *pb.CacheEventsRequest) (*pb.CacheEventsReply, error) {
	g := s.group(req.Group)
	if g == nil {
		return nil, errs.New(methodCache, s.cfg.Self, "too many target groups")
	}
	adm, _ := g.current()
	if adm == nil {
		return &pb.CacheEventsReply{}, nil
	}
	resync := adm.applyCacheEvents(req.Target, req.Incarnation, req.From, fromCacheEvents(req.Events))
	return &pb.CacheEventsReply{Resync: resync}, nil
}
