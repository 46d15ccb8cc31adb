package instance

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/fleetcache"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/notice"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/transport"
)

const (
	// methodKeepNotice asks a replica to put the notice that a target leaves on its disk.
	methodKeepNotice = "notice.Keep"
	// maxSpread bounds the notices that a spreadNotices remembers.
	maxSpread = 4096
)

// spreadNotices remembers which notices enough disks hold, since a target that drains repeats its
// notice with each heartbeat. The zero value is empty. It is safe for concurrent use.
type spreadNotices struct {
	mu sync.Mutex
	// incarnations holds the incarnation by the target's id.
	incarnations map[string]uint64
}

func (s *spreadNotices) contains(n *pb.TargetStatus) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation, ok := s.incarnations[n.Id]
	return ok && incarnation == n.Incarnation
}

// add adds a notice. When there are too many, the others are forgotten, which costs each of them
// one more write.
func (s *spreadNotices) add(n *pb.TargetStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnations == nil || len(s.incarnations) >= maxSpread {
		s.incarnations = make(map[string]uint64)
	}
	s.incarnations[n.Id] = n.Incarnation
}

// startNotices opens the store of notices if the instance has a data folder. loaded are the
// notices that the store holds.
func (in *Routed) startNotices(loaded []*pb.TargetStatus) {
	if in.cfg.DataDir == "" {
		return
	}
	in.notices = notice.NewStore(loaded, func(all []*pb.TargetStatus) error {
		return in.writeFleetCache(func(f journal.FS) error { return fleetcache.SaveNotices(f, all) })
	})
	transport.Handle(in.server, methodKeepNotice, in.handleKeepNotice)
}

// savedNotices loads the notices of targets that leave that this replica held in its earlier run;
// none at an instance without a data folder.
func (in *Routed) savedNotices() []*pb.TargetStatus {
	if in.cfg.DataDir == "" {
		return nil
	}
	notices, err := fleetcache.LoadNotices(in.fleetCachePath())
	if err != nil {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).Msg("the notices of leaving targets can't be loaded; other replicas may have them")
		return nil
	}
	return notices
}

// handleKeepNotice applies the notice that a target leaves and puts it on the disk.
func (in *Routed) handleKeepNotice(ctx context.Context, n *pb.TargetStatus) (*emptypb.Empty, error) {
	in.members.RecordLeaving(n.Id, n.Incarnation)
	return &emptypb.Empty{}, in.notices.Keep(ctx, n)
}

// storeNotice puts the notice that the last known incarnation of a target leaves on more disks
// than may be lost at once, so that it outlives the end of all processes.
func (in *Routed) storeNotice(ctx context.Context, id string) error {
	n := in.members.Notice(id)
	if n == nil {
		return errs.Wrap(ErrUnknownTarget, "store notice", id)
	}
	if in.spread.contains(n) {
		return nil
	}
	holders := in.noticeHolders(n)
	if err := notice.Spread(ctx, holders, min(in.cfg.NoticeCopies+1, len(holders))); err != nil {
		return fmt.Errorf("store notice: %w", err)
	}
	in.spread.add(n)
	return nil
}

// noticeHolders returns the holders of a notice: this instance, if it is a replica, then the other
// replicas, those of other data centres first, since a whole one may be lost at once.
func (in *Routed) noticeHolders(n *pb.TargetStatus) []notice.Holder {
	var holders []notice.Holder
	if in.notices != nil {
		holders = append(holders, func(ctx context.Context) error { return in.notices.Keep(ctx, n) })
	}
	for _, addr := range in.noticeReplicas() {
		holders = append(holders, func(ctx context.Context) error {
			return in.pool.Call(ctx, addr, methodKeepNotice, n, &emptypb.Empty{})
		})
	}
	return holders
}

// noticeReplicas returns the peer addresses of the other replicas in the order in which they are
// asked to keep a notice.
func (in *Routed) noticeReplicas() []string {
	addrs := in.replicaAddrs()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	near := make(map[string]int)
	for _, r := range in.members.Routers() {
		if r.DataCentre == in.cfg.DataCentre {
			near[r.PeerAddr] = 1
		}
	}
	slices.SortStableFunc(addrs, func(a, b string) int { return cmp.Compare(near[a], near[b]) })
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == in.cfg.PeerListen })
}
