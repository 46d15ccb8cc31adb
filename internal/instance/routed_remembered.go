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
	// fleetCacheDir is the folder, in a replica's data folder, of what it remembers of
	// the fleet.
	fleetCacheDir = "remembered"
	// fleetCacheInterval is the time between two looks for changes of it. The first comes
	// after a start of the fleet is over.
	fleetCacheInterval = 2 * time.Second
	// stepFleetCache names this work in logs.
	stepFleetCache = "remember the fleet"
)

// cachedPeers returns the peer addresses that this replica knew before its start;
// none at an instance without a data folder. Without them it joins by the seeds.
func (in *Routed) cachedPeers() []string {
	if in.cfg.DataDir == "" {
		return nil
	}
	addrs, damaged, err := fleetcache.LoadPeers(in.fleetCachePath())
	if err != nil || damaged > 0 {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).Int("known", len(addrs)).Int("damaged", damaged).
			Msg("some addresses of other instances are lost; the seeds stand in for them")
	}
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == in.cfg.PeerListen })
}

// cachedTargets returns the targets that this replica knew before its start; none at
// an instance without a data folder.
func (in *Routed) cachedTargets() []*pb.TargetStatus {
	if in.cfg.DataDir == "" {
		return nil
	}
	targets, err := fleetcache.LoadTargets(in.fleetCachePath())
	if err != nil {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).
			Msg("the targets known before the start are lost; they are used once they announce themselves")
		return nil
	}
	in.logger.Info().Str("step", stepFleetCache).Int("targets", len(targets)).Msg("targets known before the start are listed")
	return targets
}

// persistFleet keeps the peer addresses of the others and the targets until the instance
// ends.
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
		// The membership lists routers and targets by id, so equal views give equal texts.
		addrs := in.peerAddrs(in.members.Routers())
		peers.save(in, strings.Join(addrs, "\n"), len(addrs), func(f journal.FS) error { return fleetcache.SavePeers(f, addrs) })
		serving := withoutLeaving(in.members.Targets())
		targets.save(in, targetIdentities(serving), len(serving), func(f journal.FS) error { return fleetcache.SaveTargets(f, withoutLoads(serving)) })
	}
}

// lastSaved is the text that stands for what was kept last.
type lastSaved struct{ text string }

// save calls write unless nothing is known or what the text stands for is kept already.
func (k *lastSaved) save(in *Routed, text string, known int, write func(journal.FS) error) {
	if known == 0 || text == k.text {
		return
	}
	if err := in.writeFleetCache(write); err != nil {
		in.logger.Warn().Err(err).Str("step", stepFleetCache).Int("known", known).Msg("what is known of the fleet was not kept")
		return
	}
	k.text = text
}

// writeFleetCache saves to the folder of what is remembered.
func (in *Routed) writeFleetCache(save func(journal.FS) error) error {
	folder, err := journal.NewDirFS(in.fleetCachePath())
	if err != nil {
		return err
	}
	return save(folder)
}

// withoutLeaving returns the targets that don't leave.
func withoutLeaving(targets []*pb.TargetStatus) []*pb.TargetStatus {
	leaves := func(st *pb.TargetStatus) bool { return st.Leaving }
	return slices.DeleteFunc(slices.Clone(targets), leaves)
}

// withoutLoads copies targets without their load, which is out of date after a start.
func withoutLoads(targets []*pb.TargetStatus) []*pb.TargetStatus {
	copies := make([]*pb.TargetStatus, len(targets))
	for i, st := range targets {
		copies[i] = proto.CloneOf(st)
		copies[i].Load = nil
	}
	return copies
}

// targetIdentities names the incarnation and address of each target.
func targetIdentities(targets []*pb.TargetStatus) string {
	var text strings.Builder
	for _, st := range targets {
		fmt.Fprintf(&text, "%s %d %s\n", st.Id, st.Incarnation, st.Addr)
	}
	return text.String()
}

func (in *Routed) fleetCachePath() string { return filepath.Join(in.cfg.DataDir, fleetCacheDir) }
