package cli

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/pb"
	"github.com/wigeonwood/wigeonwood/internal/settings"
	"github.com/wigeonwood/wigeonwood/internal/standin"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a stand-in target, to try the fleet out"}
	cmd.AddCommand(newStandinEngine(), newStandinService())
	return cmd
}

// standinFlags are the flags that both kinds of stand-in share.
type standinFlags struct {
	id         string
	dataCentre string
	listen     string
	routers    []string
	token      string
}

func (f *standinFlags) addFlags(cmd *cobra.Command, id string) {
	fs := cmd.Flags()
	fs.StringVar(&f.id, "id", id, "name of the target, unique in the fleet")
	fs.StringVar(&f.dataCentre, "data-centre", "dc1", "data centre of the target")
	fs.StringVar(&f.listen, "listen", "127.0.0.1:0", "IP:port to serve at")
	fs.StringSliceVar(&f.routers, "routers", []string{"127.0.0.1:8083"}, "target addresses of some instances")
	fs.StringVar(&f.token, "target-token", "", "secret that targets announce with (required)")
}

func (f *standinFlags) run(ctx context.Context, handler http.Handler, status func(*pb.TargetStatus)) error {
	for _, addr := range append([]string{f.listen}, f.routers...) {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return usageError("%q is not IP:port", addr)
		}
	}
	if f.token == "" {
		return withExitCode(ExitUsage, settings.FlagError("target-token", "the targets' secret is needed"))
	}
	listener, err := net.Listen("tcp", f.listen)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	logger := &log.Logger{
		Level:   log.InfoLevel,
		Writer:  &log.IOWriter{Writer: os.Stderr},
		Context: log.NewContext(nil).Str("target", f.id).Value(),
	}
	logger.Info().Str("step", "start").Str("listen", listener.Addr().String()).Msg("the stand-in serves")
	target := &standin.Target{
		ID:         f.id,
		FillStatus: status,
		Handler:    handler,
		DataCentre: f.dataCentre,
		Listener:   listener,
		Routers:    f.routers,
		Token:      f.token,
		Logger:     logger,
	}
	if err := target.Run(ctx); err != nil {
		return withExitCode(ExitFailed, err)
	}
	return nil
}

func newStandinEngine() *cobra.Command {
	flags := &standinFlags{}
	cfg := standin.EngineConfig{}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a stand-in model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.ID = flags.id
			engine := standin.NewEngine(cfg)
			return flags.run(cmd.Context(), engine.Handler(), engine.FillStatus)
		},
	}
	flags.addFlags(cmd, "engine1")
	addEngineFlags(cmd, &cfg)
	return cmd
}

func addEngineFlags(cmd *cobra.Command, cfg *standin.EngineConfig) {
	fs := cmd.Flags()
	fs.StringSliceVar(&cfg.Models, "models", []string{"standin"}, "models that the engine serves")
	fs.IntVar(&cfg.Capacity, "capacity", 8, "requests that run at once")
	fs.IntVar(&cfg.CacheChats, "cache-chats", 1000, "chats whose prefix is held")
	fs.DurationVar(&cfg.PrefillDelay, "prefill-delay", 50*time.Millisecond, "time to the first token of a prefix not held")
	fs.DurationVar(&cfg.TokenDelay, "token-delay", 5*time.Millisecond, "time between tokens")
	fs.BoolVar(&cfg.ChecksFencing, "checks-fencing", true, "refuse orders with an old fencing number")
}

func newStandinService() *cobra.Command {
	flags := &standinFlags{}
	cfg := standin.ServiceConfig{}
	name := ""
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in plain service with filings that must not repeat",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg.ID = flags.id
			service := standin.NewService(cfg)
			return flags.run(cmd.Context(), service.Handler(), service.StatusFunc(name))
		},
	}
	flags.addFlags(cmd, "service1")
	cmd.Flags().StringVar(&name, "service", "returns", "name of the service")
	cmd.Flags().DurationVar(&cfg.Delay, "delay", 0, "time that each filing takes")
	return cmd
}
