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
	// rememberedDir is the folder, in a replica's data folder, of what it remembers of
	// the fleet.
	rememberedDir = "remembered"
	// rememberInterval is the time between two looks for changes of it. The first comes
	// after a start of the fleet is over.
	rememberInterval = 2 * time.Second
	// rememberStep names this work in logs.
	rememberStep = "remember the fleet"
)

// rememberedPeers returns the peer addresses that this replica knew before its start;
// none at an instance without a data folder. Without them it joins by the seeds.
func (in *Routed) rememberedPeers() []string {
	if in.cfg.DataDir == "" {
		return nil
	}
	addrs, damaged, err := fleetcache.LoadPeers(in.rememberedPath())
	if err != nil || damaged > 0 {
		in.logger.Warn().Err(err).Str("step", rememberStep).Int("known", len(addrs)).Int("damaged", damaged).
			Msg("some addresses of other instances are lost; the seeds stand in for them")
	}
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == in.cfg.PeerListen })
}

// rememberedTargets returns the targets that this replica knew before its start; none at
// an instance without a data folder.
func (in *Routed) rememberedTargets() []*pb.TargetStatus {
	if in.cfg.DataDir == "" {
		return nil
	}
	targets, err := fleetcache.LoadTargets(in.rememberedPath())
	if err != nil {
		in.logger.Warn().Err(err).Str("step", rememberStep).
			Msg("the targets known before the start are lost; they are used once they announce themselves")
		return nil
	}
	in.logger.Info().Str("step", rememberStep).Int("targets", len(targets)).Msg("targets known before the start are listed")
	return targets
}

// remember keeps the peer addresses of the others and the targets until the instance
// ends.
func (in *Routed) remember() {
	ticker := time.NewTicker(rememberInterval)
	defer ticker.Stop()
	var peers, targets kept
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		// The membership lists routers and targets by id, so equal views give equal texts.
		addrs := in.peerAddrs(in.members.Routers())
		peers.save(in, strings.Join(addrs, "\n"), len(addrs), func(f journal.FS) error { return fleetcache.SavePeers(f, addrs) })
		serving := servingTargets(in.members.Targets())
		targets.save(in, identities(serving), len(serving), func(f journal.FS) error { return fleetcache.SaveTargets(f, withoutLoads(serving)) })
	}
}

// kept is the text that stands for what was kept last.
type kept struct{ text string }

// save calls write unless nothing is known or what the text stands for is kept already.
func (k *kept) save(in *Routed, text string, known int, write func(journal.FS) error) {
	if known == 0 || text == k.text {
		return
	}
	if err := in.keep(write); err != nil {
		in.logger.Warn().Err(err).Str("step", rememberStep).Int("known", known).Msg("what is known of the fleet was not kept")
		return
	}
	k.text = text
}

// keep saves to the folder of what is remembered.
func (in *Routed) keep(save func(journal.FS) error) error {
	folder, err := journal.NewDirFS(in.rememberedPath())
	if err != nil {
		return err
	}
	return save(folder)
}

// servingTargets returns the targets that don't leave.
func servingTargets(targets []*pb.TargetStatus) []*pb.TargetStatus {
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

// identities names the incarnation and address of each target.
func identities(targets []*pb.TargetStatus) string {
	var text strings.Builder
	for _, st := range targets {
		fmt.Fprintf(&text, "%s %d %s\n", st.Id, st.Incarnation, st.Addr)
	}
	return text.String()
}

func (in *Routed) rememberedPath() string { return filepath.Join(in.cfg.DataDir, rememberedDir) }
