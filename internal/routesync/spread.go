package routesync

import (
	"context"
	"iter"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// messageFor returns the held table for an instance that holds another one: as a
// delta if it changes that one, else whole.
func (h heldTable) messageFor(holds uint64) (*pb.RoutingTable, error) {
	if len(h.delta) > 0 && h.base == holds {
		return h.deltaMessage(), nil
	}
	return h.fullMessage()
}

func (h heldTable) deltaMessage() *pb.RoutingTable {
	return &pb.RoutingTable{Number: h.number, Base: h.base, Delta: h.delta}
}

func (h heldTable) packFull() (*pb.RoutingTable, error) {
	packed, err := document.Pack(h.text)
	return &pb.RoutingTable{Number: h.number, Document: packed}, err
}

// push hands the table to the routers that this replica is responsible for.
func (s *Sync) push(ctx context.Context, h heldTable) {
	slots := make(chan struct{}, maxConcurrentPushes)
	for rank, r := range assignedRouters(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), h.number, pushReplicas) {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.pushTo(ctx, r, h, rank)
		}()
	}
}

// pushTo sends a router the delta if there is one, then the whole table if the
// router doesn't hold it by then: what is known here of the router's table may be
// seconds old. A large one is sent by the first replica in the router's order only, as
// long as the hand-out allows it; the router fetches it elsewhere if not.
func (s *Sync) pushTo(ctx context.Context, r *pb.RouterStatus, h heldTable, rank int) {
	if len(h.delta) > 0 {
		if holds, ok := s.callPush(ctx, r, h.deltaMessage()); !ok || holds >= h.number {
			return
		}
	}
	t, err := h.fullMessage()
	if err != nil {
		s.cfg.Logger.Error().Err(err).Str("step", step).Uint64("number", h.number).Msg("a routing table can't be packed")
		return
	}
	if rank > 0 && len(t.Document) > largeTableBytes {
		return
	}
	if _, ok := s.allowTransfer(t); !ok {
		return
	}
	if _, ok := s.callPush(ctx, r, t); ok {
		s.recordReceiver(t.Number, receiver{addr: r.PeerAddr, availableFrom: time.Now()})
	}
}

// callPush makes one push; it returns the number that the router holds after it.
func (s *Sync) callPush(ctx context.Context, r *pb.RouterStatus, t *pb.RoutingTable) (holds uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack := &pb.RoutingAck{}
	err := s.cfg.Pool.Call(ctx, r.PeerAddr, methodPush, &pb.RoutingPush{Table: t}, ack)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", r.Id).Uint64("number", t.Number).
			Msg("a routing table was not pushed; the instance fetches it")
	}
	return ack.Number, err == nil
}

// assignedRouters yields the routers without the table for which self is among the
// first replicas in rendezvous order, each with self's place in that order.
func assignedRouters(self string, routers []*pb.RouterStatus, number uint64, copies int) iter.Seq2[int, *pb.RouterStatus] {
	var replicas []string
	for _, r := range routers {
		if r.Replica {
			replicas = append(replicas, r.Id)
		}
	}
	return func(yield func(int, *pb.RouterStatus) bool) {
		for _, r := range routers {
			if r.Id == self || r.Replica || r.RoutingTable >= number {
				continue
			}
			rank := slices.Index(fleet.Rank(r.Id, replicas), self)
			if rank < 0 || rank >= copies {
				continue
			}
			if !yield(rank, r) {
				return
			}
		}
	}
}

func (s *Sync) handlePush(_ context.Context, req *pb.RoutingPush) (*pb.RoutingAck, error) {
	s.receive(req.Table, "push")
	return &pb.RoutingAck{Number: s.cfg.Holder.Number()}, nil
}

func (s *Sync) handleFetch(_ context.Context, req *pb.RoutingFetch) (*pb.RoutingReply, error) {
	s.mu.Lock()
	h := s.current
	s.mu.Unlock()
	if h.number <= req.Above {
		return &pb.RoutingReply{}, nil
	}
	t, err := h.messageFor(req.Above)
	if err != nil {
		return nil, err
	}
	through, ok := s.allowTransfer(t)
	if !ok {
		return &pb.RoutingReply{Instead: s.pickReceiver(req.From)}, nil
	}
	s.recordReceiver(t.Number, receiver{addr: req.From, availableFrom: through})
	return &pb.RoutingReply{Table: t}, nil
}

// fetchNewer fetches the table from an instance that announces the highest number, if it
// is above the own one, or from one that it names instead. It tells whether any was
// asked.
func (s *Sync) fetchNewer(ctx context.Context) (asked bool) {
	own := s.cfg.Holder.Number()
	best := newestPeer(s.cfg.Members.Routers(), own)
	if best == nil {
		return false
	}
	at := best.PeerAddr
	for range maxFetchHops {
		reply, err := s.fetch(ctx, at, own)
		switch {
		case err != nil:
			s.cfg.Logger.Warn().Err(errs.Wrap(err, step, at)).Str("step", step).Str("peer", at).Uint64("number", best.RoutingTable).
				Msg("a newer routing table was not fetched")
			return true
		case reply.Table != nil:
			s.receive(reply.Table, at)
			return true
		case reply.Instead == "" || reply.Instead == s.cfg.Members.Self().PeerAddr:
			return true
		}
		at = reply.Instead
	}
	return true
}

func (s *Sync) fetch(ctx context.Context, at string, above uint64) (*pb.RoutingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.RoutingReply{}
	err := s.cfg.Pool.Call(ctx, at, methodFetch, &pb.RoutingFetch{Above: above, From: s.cfg.Members.Self().PeerAddr}, reply)
	return reply, err
}

// newestPeer returns one of the instances with the highest number above own, or nil.
// Routers go before replicas, whose links are narrow. Which one changes from call
// to call, so that a silent one doesn't block.
func newestPeer(routers []*pb.RouterStatus, own uint64) *pb.RouterStatus {
	var best []*pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.RoutingTable <= own:
		case len(best) == 0 || preferred(r, best[0]):
			best = []*pb.RouterStatus{r}
		case !preferred(best[0], r):
			best = append(best, r)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[int(time.Now().UnixNano()/int64(compareInterval))%len(best)]
}

// preferred tells whether a is better to fetch from than b.
func preferred(a, b *pb.RouterStatus) bool {
	if a.RoutingTable != b.RoutingTable {
		return a.RoutingTable > b.RoutingTable
	}
	return !a.Replica && b.Replica
}
