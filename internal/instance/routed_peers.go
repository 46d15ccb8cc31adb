package instance

import (
	"path/filepath"
	"slices"
	"time"

	"github.com/wigeonwood/wigeonwood/internal/journal"
	"github.com/wigeonwood/wigeonwood/internal/peerfile"
)

const (
	// peersDir is the folder, in a replica's data folder, of what it remembers of the
	// others.
	peersDir = "peers"
	// peersInterval is the time between two looks for changes of them. The first comes
	// after a start of the fleet is over.
	peersInterval = 10 * time.Second
	// peersStep names this work in logs.
	peersStep = "remember peers"
)

// rememberedPeers returns the peer addresses that this replica knew before its start;
// none at an instance without a data folder. Without them it joins by the seeds.
func (in *Routed) rememberedPeers() []string {
	if in.cfg.DataDir == "" {
		return nil
	}
	addrs, damaged, err := peerfile.Load(in.peersPath())
	if err != nil || damaged > 0 {
		in.logger.Warn().Err(err).Str("step", peersStep).Int("known", len(addrs)).Int("damaged", damaged).
			Msg("some addresses of other instances are lost; the seeds stand in for them")
	}
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == in.cfg.PeerListen })
}

// rememberPeers keeps the peer addresses of the others until the instance ends.
func (in *Routed) rememberPeers() {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	var kept []string
	for {
		select {
		case <-in.ctx.Done():
			return
		case <-ticker.C:
		}
		// The membership lists routers by id, so equal views give equal lists.
		addrs := in.peerAddrs(in.members.Routers())
		if len(addrs) == 0 || slices.Equal(addrs, kept) {
			continue
		}
		if err := in.keepPeers(addrs); err != nil {
			in.logger.Warn().Err(err).Str("step", peersStep).Int("known", len(addrs)).
				Msg("the addresses of other instances were not kept")
			continue
		}
		kept = addrs
	}
}

func (in *Routed) keepPeers(addrs []string) error {
	folder, err := journal.NewDirFS(in.peersPath())
	if err != nil {
		return err
	}
	return peerfile.Save(folder, addrs)
}

func (in *Routed) peersPath() string { return filepath.Join(in.cfg.DataDir, peersDir) }
