package routesync

import (
	"context"
	"iter"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/state"
)

const (
	// evacuationStep is the step in log lines and errors about evacuations.
	evacuationStep = "evacuations"
	// evacuationCallTimeout bounds one push or fetch of evacuations. It is shorter than
	// callTimeout, so that a router that asks a failed instance can ask several others
	// within the time in which an evacuation must take effect.
	evacuationCallTimeout = 400 * time.Millisecond
	// maxConcurrentEvacuationPushes bounds the concurrent pushes of evacuations. It is
	// higher than maxConcurrentPushes, because the messages are small and instances
	// that do not respond must not delay the others.
	maxConcurrentEvacuationPushes = 32
)

// evacuations holds the newest set of evacuated data centres that is known at this
// instance. A set with a lower revision never replaces one with a higher revision.
type evacuations struct {
	current atomic.Pointer[pb.Evacuations]
	// applyMu serialises changes of the set and the calls of Config.OnEvacuations.
	applyMu sync.Mutex
	// wake is signalled when the replicated log committed a new set.
	wake chan struct{}

	applied  tally.Counter
	count    tally.Gauge
	revision tally.Gauge
}

func newEvacuations(scope tally.Scope) evacuations {
	scope = scope.SubScope("evacuation")
	return evacuations{
		wake:     make(chan struct{}, 1),
		applied:  scope.Counter("sets_applied"),
		count:    scope.Gauge("data_centres"),
		revision: scope.Gauge("revision"),
	}
}

// Evacuations returns the newest known set of evacuated data centres, or nil if there never
// was one. The message is shared and must not be modified.
func (s *Sync) Evacuations() *pb.Evacuations { return s.evacuations.current.Load() }

// Evacuated reports whether a data centre is evacuated.
func (s *Sync) Evacuated(dataCentre string) bool {
	return state.Evacuated(s.Evacuations(), dataCentre)
}

// EvacuationsCommitted applies a set that the replicated log committed, which Run then
// pushes. The set takes effect before EvacuationsCommitted returns, so that a replica which
// starts has it no later than a table that it passes to Committed afterwards.
func (s *Sync) EvacuationsCommitted(set *pb.Evacuations) {
	if !s.applyEvacuations(set, s.cfg.Members.Self().Id) {
		return
	}
	select {
	case s.evacuations.wake <- struct{}{}:
	default:
	}
}

// applyEvacuations activates a set at this instance and announces its revision, unless the
// active set is as new. It reports whether it did so. source is logged as the peer.
func (s *Sync) applyEvacuations(set *pb.Evacuations, source string) bool {
	e := &s.evacuations
	if set.GetRevision() <= s.Evacuations().GetRevision() {
		return false
	}
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	before := s.Evacuations()
	if set.GetRevision() <= before.GetRevision() {
		return false
	}
	if s.cfg.OnEvacuations != nil {
		s.cfg.OnEvacuations(before, set)
	}
	e.current.Store(set)
	s.cfg.Members.SetEvacuations(set.Revision)
	e.applied.Inc(1)
	e.count.Update(float64(len(set.Evacuated)))
	e.revision.Update(float64(set.Revision))
	s.cfg.Logger.Info().Str("step", evacuationStep).Str("peer", source).Uint64("revision", set.Revision).
		Strs("data_centres", dataCentres(set)).Msg("a set of evacuated data centres is in force here")
	return true
}

func dataCentres(set *pb.Evacuations) []string {
	names := make([]string, 0, len(set.GetEvacuated()))
	for _, e := range set.GetEvacuated() {
		names = append(names, e.DataCentre)
	}
	return names
}

// EndedEvacuations returns the data centres that are evacuated in the first set and not in
// the second one.
func EndedEvacuations(before, after *pb.Evacuations) []string {
	var ended []string
	for _, name := range dataCentres(before) {
		if !state.Evacuated(after, name) {
			ended = append(ended, name)
		}
	}
	return ended
}

// runEvacuations pushes and fetches sets of evacuated data centres until ctx ends. It does
// not share a goroutine with the tables, whose transfers may take seconds.
func (s *Sync) runEvacuations(ctx context.Context) {
	ticker := time.NewTicker(compareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.evacuations.wake:
			s.pushEvacuations(ctx)
		case <-ticker.C:
			s.fetchEvacuations(ctx)
		}
	}
}

// pushEvacuations sends the set to the routers assigned to this replica. It returns once the
// last push has started.
func (s *Sync) pushEvacuations(ctx context.Context) {
	set := s.Evacuations()
	semaphore := make(chan struct{}, maxConcurrentEvacuationPushes)
	for r := range s.lackingRouters(set.GetRevision()) {
		semaphore <- struct{}{}
		go func() {
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
			defer cancel()
			err := s.cfg.Pool.Call(ctx, r.PeerAddr, methodPush, &pb.RoutingPush{Evacuations: set}, &pb.RoutingAck{})
			if err != nil {
				s.cfg.Logger.Debug().Err(err).Str("step", evacuationStep).Str("peer", r.Id).Uint64("revision", set.Revision).
					Msg("a set of evacuated data centres was not pushed; the instance fetches it")
			}
		}()
	}
}

// lackingRouters yields the routers assigned to this replica that announce a lower revision.
func (s *Sync) lackingRouters(revision uint64) iter.Seq[*pb.RouterStatus] {
	lacks := func(r *pb.RouterStatus) bool { return r.Evacuations < revision }
	return func(yield func(*pb.RouterStatus) bool) {
		for _, r := range assignedRouters(s.cfg.Members.Self().Id, s.cfg.Members.Routers(), lacks, pushReplicas) {
			if !yield(r) {
				return
			}
		}
	}
}

// fetchEvacuations fetches the set from an instance that announces the highest revision, if
// that revision is above the local one.
func (s *Sync) fetchEvacuations(ctx context.Context) {
	local := s.Evacuations().GetRevision()
	source := newestEvacuations(s.cfg.Members.Routers(), local)
	if source == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationCallTimeout)
	defer cancel()
	// No table has a number above the highest one, so the reply holds no table.
	req := &pb.RoutingFetch{Above: math.MaxUint64, From: s.cfg.Members.Self().PeerAddr, EvacuationsAbove: local}
	reply := &pb.RoutingReply{}
	if err := s.cfg.Pool.Call(ctx, source.PeerAddr, methodFetch, req, reply); err != nil {
		s.cfg.Logger.Warn().Err(errs.Wrap(err, evacuationStep, source.Id)).Str("step", evacuationStep).Str("peer", source.Id).
			Uint64("revision", source.Evacuations).Msg("a newer set of evacuated data centres was not fetched")
		return
	}
	s.applyEvacuations(reply.Evacuations, source.PeerAddr)
}

// newestEvacuations returns a random one of the instances with the highest revision above
// local, or nil if there is none. The choice is random so that an instance that does not
// reply does not block the fetch.
func newestEvacuations(routers []*pb.RouterStatus, local uint64) *pb.RouterStatus {
	var best []*pb.RouterStatus
	for _, r := range routers {
		switch {
		case r.Evacuations <= local:
		case len(best) == 0 || r.Evacuations > best[0].Evacuations:
			best = []*pb.RouterStatus{r}
		case r.Evacuations == best[0].Evacuations:
			best = append(best, r)
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[rand.IntN(len(best))]
}

// evacuationsAbove returns the set for an instance that has the given revision, nil if this
// instance has no newer one.
func (s *Sync) evacuationsAbove(revision uint64) *pb.Evacuations {
	if set := s.Evacuations(); set.GetRevision() > revision {
		return set
	}
	return nil
}
