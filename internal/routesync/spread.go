package routesync

import (
	"context"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/document"
	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleet"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

// message returns the held table for an instance that holds another one: as a
// delta if it changes that one, else whole.
func (h held) message(holds uint64) (*pb.RoutingTable, error) {
	if len(h.delta) > 0 && h.base == holds {
		return &pb.RoutingTable{Number: h.number, Base: h.base, Delta: h.delta}, nil
	}
	packed, err := document.Pack(h.text)
	return &pb.RoutingTable{Number: h.number, Document: packed}, err
}

// push hands the table to the routers that this replica is responsible for.
func (s *Sync) push(ctx context.Context, h held) {
	whole, err := h.message(h.number)
	if err != nil {
		s.cfg.Logger.Error().Err(err).Str("step", step).Uint64("number", h.number).Msg("a routing table can't be packed")
		return
	}
	copies := pushCopies
	if len(h.delta) == 0 && len(whole.Document) > largeBytes {
		copies = 1
	}
	slots := make(chan struct{}, pushesAtOnce)
	for _, r := range responsible(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), h.number, copies) {
		msg := whole
		if len(h.delta) > 0 && r.RoutingTable == h.base {
			msg = &pb.RoutingTable{Number: h.number, Base: h.base, Delta: h.delta}
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			s.pushTo(ctx, r, msg)
		}()
	}
}

func (s *Sync) pushTo(ctx context.Context, r *pb.RouterStatus, t *pb.RoutingTable) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.cfg.Pool.Call(ctx, r.PeerAddr, methodPush, &pb.RoutingPush{Table: t}, &pb.RoutingAck{})
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", r.Id).Uint64("number", t.Number).
			Msg("a routing table was not pushed; the instance fetches it")
	}
}

// responsible returns the routers without the table for which self is among
// the first replicas in rendezvous order.
func responsible(self string, routers []*pb.RouterStatus, number uint64, copies int) []*pb.RouterStatus {
	var replicas []string
	for _, r := range routers {
		if r.Replica {
			replicas = append(replicas, r.Id)
		}
	}
	var out []*pb.RouterStatus
	for _, r := range routers {
		if r.Id == self || r.Replica || r.RoutingTable >= number {
			continue
		}
		ranked := fleet.Rank(r.Id, replicas)
		for _, id := range ranked[:min(copies, len(ranked))] {
			if id == self {
				out = append(out, r)
			}
		}
	}
	return out
}

func (s *Sync) handlePush(_ context.Context, req *pb.RoutingPush) (*pb.RoutingAck, error) {
	s.take(req.Table, "push")
	return &pb.RoutingAck{Number: s.cfg.Holder.Number()}, nil
}

func (s *Sync) handleFetch(_ context.Context, req *pb.RoutingFetch) (*pb.RoutingReply, error) {
	s.mu.Lock()
	h := s.held
	s.mu.Unlock()
	if h.number <= req.Above {
		return &pb.RoutingReply{}, nil
	}
	t, err := h.message(req.Above)
	return &pb.RoutingReply{Table: t}, err
}

// compare fetches the table from an instance that announces the highest number,
// if it is above the own one.
func (s *Sync) compare(ctx context.Context) {
	own := s.cfg.Holder.Number()
	best := ahead(s.cfg.Members.Routers(), own)
	if best == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.RoutingReply{}
	if err := s.cfg.Pool.Call(ctx, best.PeerAddr, methodFetch, &pb.RoutingFetch{Above: own}, reply); err != nil {
		s.cfg.Logger.Warn().Err(errs.Wrap(err, step, best.Id)).Str("step", step).Str("peer", best.Id).Uint64("number", best.RoutingTable).
			Msg("a newer routing table was not fetched")
		return
	}
	if reply.Table != nil {
		s.take(reply.Table, best.Id)
	}
}

// ahead returns one of the instances with the highest number above own, or nil.
// Routers go before replicas, whose links are narrow. Which one changes from call
// to call, so that a silent one doesn't block.
func ahead(routers []*pb.RouterStatus, own uint64) *pb.RouterStatus {
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
