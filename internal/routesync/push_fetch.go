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

// messageFor returns the message for an instance whose table has receiverNumber: the
// delta if it applies to that table, otherwise the full table.
func (h heldTable) messageFor(receiverNumber uint64) (*pb.RoutingTable, error) {
	if len(h.delta) > 0 && h.base == receiverNumber {
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

// push sends the table to the routers assigned to this replica. It returns once the
// last push has started.
func (s *Sync) push(ctx context.Context, h heldTable) {
	semaphore := make(chan struct{}, maxConcurrentPushes)
	lacks := func(r *pb.RouterStatus) bool { return r.RoutingTable < h.number }
	for rank, r := range assignedRouters(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), lacks, pushReplicas) {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
			s.pushTo(ctx, r, h, rank)
		}()
	}
}

// pushTo sends a router the delta, if there is one. It sends the full table if there
// is no delta, or if the router's reply shows that the delta did not apply. pushTo
// relies on the reply since the table number that the router last announced may be
// seconds old. Only the first replica in the router's rendezvous order sends a large
// table, and only if the transfer limiter allows it; otherwise the router fetches
// the table from another instance.
func (s *Sync) pushTo(ctx context.Context, r *pb.RouterStatus, h heldTable, rank int) {
	if len(h.delta) > 0 {
		if receiverNumber, ok := s.callPush(ctx, r, h.deltaMessage()); !ok || receiverNumber >= h.number {
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

// callPush makes one push and returns the number of the table that the router has
// after the push. ok is false if the call failed.
func (s *Sync) callPush(ctx context.Context, r *pb.RouterStatus, t *pb.RoutingTable) (receiverNumber uint64, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ack := &pb.RoutingAck{}
	err := s.cfg.Pool.Call(ctx, r.PeerAddr, methodPush, &pb.RoutingPush{Table: t, Evacuations: s.Evacuations()}, ack)
	if err != nil {
		s.cfg.Logger.Debug().Err(err).Str("step", step).Str("peer", r.Id).Uint64("number", t.Number).
			Msg("a routing table was not pushed; the instance fetches it")
	}
	return ack.Number, err == nil
}

// assignedRouters yields the routers to which this replica, self, pushes what they lack:
// those for which lacks returns true and which have self among the first
// replicasPerRouter replicas in their rendezvous order. Each is yielded with the
// index of self in that order.
func assignedRouters(self string, routers []*pb.RouterStatus, lacks func(*pb.RouterStatus) bool, replicasPerRouter int) iter.Seq2[int, *pb.RouterStatus] {
	var replicas []string
	for _, r := range routers {
		if r.Replica {
			replicas = append(replicas, r.Id)
		}
	}
	return func(yield func(int, *pb.RouterStatus) bool) {
		for _, r := range routers {
			if r.Id == self || r.Replica || !lacks(r) {
				continue
			}
			rank := slices.Index(fleet.Rank(r.Id, replicas), self)
			if rank < 0 || rank >= replicasPerRouter {
				continue
			}
			if !yield(rank, r) {
				return
			}
		}
	}
}

func (s *Sync) handlePush(_ context.Context, req *pb.RoutingPush) (*pb.RoutingAck, error) {
	s.applyEvacuations(req.Evacuations, "push")
	s.receive(req.Table, "push")
	return &pb.RoutingAck{Number: s.cfg.Holder.Number(), Evacuations: s.Evacuations().GetRevision()}, nil
}

func (s *Sync) handleFetch(_ context.Context, req *pb.RoutingFetch) (*pb.RoutingReply, error) {
	s.mu.Lock()
	h := s.current
	s.mu.Unlock()
	set := s.evacuationsAbove(req.EvacuationsAbove)
	if h.number <= req.Above {
		return &pb.RoutingReply{Evacuations: set}, nil
	}
	t, err := h.messageFor(req.Above)
	if err != nil {
		return nil, err
	}
	completeAt, ok := s.allowTransfer(t)
	if !ok {
		return &pb.RoutingReply{Instead: s.pickReceiver(req.From), Evacuations: set}, nil
	}
	s.recordReceiver(t.Number, receiver{addr: req.From, availableFrom: completeAt})
	return &pb.RoutingReply{Table: t, Evacuations: set}, nil
}

// fetchNewer fetches the table from an instance that announces the highest number,
// if that number is above the local one. An instance whose transfer limiter allows
// no transfer now replies with the address of another instance, which fetchNewer
// tries next. fetchNewer reports whether it sent a request.
func (s *Sync) fetchNewer(ctx context.Context) (requested bool) {
	local := s.cfg.Holder.Number()
	best := newestPeer(s.cfg.Members.Routers(), local)
	if best == nil {
		return false
	}
	if local == 0 {
		// The source of the first table may not have the newest evacuations.
		s.fetchEvacuations(ctx)
	}
	addr := best.PeerAddr
	for range maxFetchHops {
		reply, err := s.fetch(ctx, addr, local)
		// The set takes effect first, so that no request is served by the first table
		// without it.
		s.applyEvacuations(reply.GetEvacuations(), addr)
		switch {
		case err != nil:
			s.cfg.Logger.Warn().Err(errs.Wrap(err, step, addr)).Str("step", step).Str("peer", addr).Uint64("number", best.RoutingTable).
				Msg("a newer routing table was not fetched")
			return true
		case reply.Table != nil:
			s.receive(reply.Table, addr)
			return true
		case reply.Instead == "" || reply.Instead == s.cfg.Members.Self().PeerAddr:
			return true
		}
		addr = reply.Instead
	}
	return true
}

func (s *Sync) fetch(ctx context.Context, addr string, above uint64) (*pb.RoutingReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply := &pb.RoutingReply{}
	err := s.cfg.Pool.Call(ctx, addr, methodFetch, &pb.RoutingFetch{
		Above: above, From: s.cfg.Members.Self().PeerAddr, EvacuationsAbove: s.Evacuations().GetRevision(),
	}, reply)
	return reply, err
}

// newestPeer returns one of the instances with the highest number above local, or
// nil if there is none. Routers are preferred to replicas, whose links have less
// bandwidth. Among equals, newestPeer selects by the clock, so that successive calls
// try different instances and one that does not reply does not block the fetch.
func newestPeer(routers []*pb.RouterStatus, local uint64) *pb.RouterStatus {
	var best []*pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.RoutingTable <= local:
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

// preferred reports whether a is a better source of the table than b.
func preferred(a, b *pb.RouterStatus) bool {
	if a.RoutingTable != b.RoutingTable {
		return a.RoutingTable > b.RoutingTable
	}
	return !a.Replica && b.Replica
}
