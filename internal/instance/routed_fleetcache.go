package instance

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wigeonwood/wigeonwood/internal/fleetcache"
	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/pb"
)

const (
	// fleetCacheDir is the subfolder of a replica's data folder that holds the fleet
	// cache: the peers and targets that the replica loads at its next start.
	fleetCacheDir = "remembered"
	// fleetCacheInterval is the time between two checks whether the known peers or
	// targets have changed. It is long enough that the first check comes after the start
	// of a fleet is over.
	fleetCacheInterval = 2 * time.Second
	// stepFleetCache is the step in log lines about the fleet cache.
	stepFleetCache = "fleet cache"
)

// cachedPeers loads the peer addresses that this replica knew in its earlier run; none at an
// instance without a data folder. Without cached peers the instance joins through the seeds
// alone.
func (in *Routed) cachedPeers() []string {
	if in.cfg.DataDir == "" {
		return nil
	}
	addrs, damaged, err := fleetcache.LoadPeers(in.fleetCachePath())
	if err != nil || damaged > 0 {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).Int("known", len(addrs)).Int("damaged", damaged).
			Msg("cached peer addresses are lost or damaged; the instance joins through the seeds")
	}
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == in.cfg.PeerListen })
}

// cachedTargets loads the targets that this replica knew in its earlier run; none at an
// instance without a data folder.
func (in *Routed) cachedTargets() []*pb.TargetStatus {
	if in.cfg.DataDir == "" {
		return nil
	}
	targets, err := fleetcache.LoadTargets(in.fleetCachePath())
	if err != nil {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).
			Msg("the cached targets can't be loaded; targets are used once they announce themselves")
		return nil
	}
	in.logger.Info().Str("step", stepFleetCache).Int("targets", len(targets)).Msg("the cached targets were loaded")
	return targets
}

// persistFleet writes the known peers and targets to the fleet cache after each change until
// the instance closes.
func (in *Routed) persistFleet() {
	ticker := time.NewTicker(fleetCacheInterval)
	defer ticker.Stop()
	var peers, targets lastSaved
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		// The membership sorts routers and targets by id, so equal views give equal texts.
		addrs := in.peerAddrs(in.members.Routers())
		peers.save(in, strings.Join(addrs, "\n"), len(addrs), func(f journal.FS) error { return fleetcache.SavePeers(f, addrs) })
		serving := withoutLeaving(in.members.Targets())
		targets.save(in, targetIdentities(serving), len(serving), func(f journal.FS) error { return fleetcache.SaveTargets(f, withoutLoads(serving)) })
	}
}

// lastSaved holds a text that identifies the content last written to one file of the fleet
// cache.
type lastSaved struct{ text string }

// save calls write with the folder of the fleet cache. It does nothing if the content that
// text identifies is already saved, or if count, the number of peers or targets in the
// content, is zero.
func (s *lastSaved) save(in *Routed, text string, count int, write func(journal.FS) error) {
	if count == 0 || text == s.text {
		return
	}
	if err := in.writeFleetCache(write); err != nil {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).Int("known", count).Msg("the fleet cache was not written")
		return
	}
	s.text = text
}

// writeFleetCache calls write with the folder of the fleet cache.
func (in *Routed) writeFleetCache(write func(journal.FS) error) error {
	folder, err := journal.NewDirFS(in.fleetCachePath())
	if err != nil {
		return err
	}
	return write(folder)
}

// withoutLeaving returns the targets that are not leaving.
func withoutLeaving(targets []*pb.TargetStatus) []*pb.TargetStatus {
	leaving := func(st *pb.TargetStatus) bool { return st.Leaving }
	return slices.DeleteFunc(slices.Clone(targets), leaving)
}

// withoutLoads returns copies of targets without their loads, which would be stale after a
// restart.
func withoutLoads(targets []*pb.TargetStatus) []*pb.TargetStatus {
	copies := make([]*pb.TargetStatus, len(targets))
	for i, st := range targets {
		copies[i] = proto.CloneOf(st)
		copies[i].Load = nil
	}
	return copies
}

// targetIdentities returns a text with the id, incarnation and address of each target.
func targetIdentities(targets []*pb.TargetStatus) string {
	var text strings.Builder
	for _, st := range targets {
		fmt.Fprintf(&text, "%s %d %s\n", st.Id, st.Incarnation, st.Addr)
	}
	return text.String()
}

func (in *Routed) fleetCachePath() string { return filepath.Join(in.cfg.DataDir, fleetCacheDir) }
