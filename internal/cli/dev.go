package cli

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/admin"
	"github.com/wigeonwood/wigeonwood/internal/instance"
	"github.com/wigeonwood/wigeonwood/internal/settings"
	"github.com/wigeonwood/wigeonwood/internal/standin"
)

// Fixed settings of the fleet that the dev command runs.
const (
	devCustomer   = "dev"
	devKey        = "dev-key"
	devModel      = "standin"
	devService    = "returns"
	devAdminToken = "dev-admin-token"
	devFleetToken = "dev-fleet-token"
	devDataCentre = "dc1"
	// devInstances includes the instance with the control replica.
	devInstances = 3
	// devStartStopTimeout bounds the wait until the fleet is ready, and the shutdown of
	// each instance.
	devStartStopTimeout = 20 * time.Second
	loopbackAnyPort     = "127.0.0.1:0"
)

// devFlags holds the flags of the dev command.
type devFlags struct {
	listen      string
	adminListen string
	peerListen  string
	dataDir     string
	logLevel    string
}

func newDev() *cobra.Command {
	f := &devFlags{}
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole fleet in one process, with a stand-in engine and service",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	fs := cmd.Flags()
	fs.StringVar(&f.listen, "listen", "127.0.0.1:8080", "IP:port for callers")
	fs.StringVar(&f.adminListen, "admin-listen", "127.0.0.1:8081", "IP:port for operators")
	fs.StringVar(&f.peerListen, "peer-listen", "127.0.0.1:8082", "IP:port of the control replica")
	fs.StringVar(&f.dataDir, "data-dir", "", "folder for contracts and ledger; by default they are lost when the process ends")
	fs.StringVar(&f.logLevel, "log-level", "warn", "lowest level logged: debug, info, warn or error")
	return cmd
}

func (f *devFlags) run(cmd *cobra.Command) error {
	dir := f.dataDir
	if dir == "" {
		tempDir, err := os.MkdirTemp("", "wigeonwood-dev-")
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		defer os.RemoveAll(tempDir)
		dir = tempDir
	}
	fleet := &devFleet{out: cmd.OutOrStdout()}
	defer fleet.stop()
	if err := fleet.startInstances(f, dir); err != nil {
		return err
	}
	if err := fleet.startTargets(cmd.Context()); err != nil {
		return err
	}
	if err := fleet.waitReady(cmd.Context()); err != nil {
		if cmd.Context().Err() != nil {
			return nil
		}
		return err
	}
	fleet.printInstructions()
	select {
	case <-cmd.Context().Done():
		return nil
	case err := <-fleet.instances[0].Failed():
		return withExitCode(ExitFailed, err)
	}
}

// devFleet is a fleet that runs in one process.
type devFleet struct {
	out       io.Writer
	logger    *log.Logger
	settings  []*settings.Serve
	instances []*instance.Instance
	targetsWG sync.WaitGroup
}

// startInstances starts the instances in order. The first instance runs the only
// control replica, so every instance gets its peer address as the only founder.
func (d *devFleet) startInstances(f *devFlags, dir string) error {
	for i := range devInstances {
		s := f.instanceSettings(i, dir)
		if i > 0 {
			s.Founders = []string{d.settings[0].PeerListen}
		}
		listeners, err := instance.Listen(s)
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		if i == 0 {
			s.Founders = []string{s.PeerListen}
		}
		if err := s.Check(); err != nil {
			listeners.Close()
			return withExitCode(ExitUsage, err)
		}
		d.logger = s.Logger()
		in, err := instance.Start(s, listeners, Version, d.logger)
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		d.settings = append(d.settings, s)
		d.instances = append(d.instances, in)
	}
	return nil
}

// instanceSettings returns the settings of instance i. The first instance runs
// the control replica and listens at the addresses of the flags; the others
// listen at any free port.
func (f *devFlags) instanceSettings(i int, dir string) *settings.Serve {
	s := settings.DefaultServe()
	s.ID = fmt.Sprintf("dev%d", i+1)
	s.DataCentre = devDataCentre
	s.PeerToken, s.TargetToken, s.AdminToken = devFleetToken, devFleetToken, devAdminToken
	s.LogLevel = f.logLevel
	s.EntryTTL = time.Second
	s.Listen, s.AdminListen, s.PeerListen, s.TargetListen = loopbackAnyPort, loopbackAnyPort, loopbackAnyPort, loopbackAnyPort
	if i == 0 {
		s.Listen, s.AdminListen, s.PeerListen = f.listen, f.adminListen, f.peerListen
		s.DataDir = dir
	}
	return s
}

// startTargets starts a stand-in engine and a stand-in service. They run until ctx ends.
func (d *devFleet) startTargets(ctx context.Context) error {
	engine := standin.NewEngine(standin.EngineConfig{
		ID: "engine1", Models: []string{devModel}, Capacity: 8, CacheChats: 1000,
		PrefillDelay: 50 * time.Millisecond, TokenDelay: 5 * time.Millisecond, ChecksFencing: true,
	})
	service := standin.NewService(standin.ServiceConfig{ID: "service1"})
	targets := []*standin.Target{
		{ID: "engine1", Handler: engine.Handler(), FillStatus: engine.FillStatus},
		{ID: "service1", Handler: service.Handler(), FillStatus: service.StatusFunc(devService)},
	}
	for _, t := range targets {
		listener, err := net.Listen("tcp", loopbackAnyPort)
		if err != nil {
			return withExitCode(ExitFailed, err)
		}
		t.Listener = listener
		t.DataCentre = devDataCentre
		t.Token = devFleetToken
		t.Logger = d.logger
		for _, s := range d.settings {
			t.Routers = append(t.Routers, s.TargetListen)
		}
		d.targetsWG.Go(func() {
			if err := t.Run(ctx); err != nil {
				d.logger.Warn().Err(err).Str("step", "stand-in").Str("target", t.ID).Msg("the stand-in target failed")
			}
		})
	}
	return nil
}

// stop shuts the instances down and waits for the stand-ins. The stand-ins end with the
// context of the command, so after an error stop waits until the user ends the command.
func (d *devFleet) stop() {
	var shutdowns sync.WaitGroup
	for _, in := range d.instances {
		shutdowns.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), devStartStopTimeout)
			defer cancel()
			_ = in.Shutdown(ctx)
		})
	}
	shutdowns.Wait()
	d.targetsWG.Wait()
}

// waitReady retries applyContractAndSendChat until a chat is answered, which requires
// that the contract is in force and the first instance knows the engine.
func (d *devFleet) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, devStartStopTimeout)
	defer cancel()
	client := &admin.Client{Addr: d.settings[0].AdminListen, Token: devAdminToken, HTTP: newDevHTTPClient()}
	sum := sha256.Sum256([]byte(devKey))
	var err error
	for ctx.Err() == nil {
		if err = d.applyContractAndSendChat(ctx, client, sum[:]); err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(devRetryDelay):
		}
	}
	return withExitCode(ExitFailed, fmt.Errorf("the fleet is not ready: %w", errors.Join(err, ctx.Err())))
}
