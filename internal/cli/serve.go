package cli

import (
	"context"
	"errors"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/internal/instance"
	"github.com/wigeonwood/wigeonwood/internal/settings"
)

func newServe() *cobra.Command {
	s := &settings.Serve{}
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one instance: a router, and a control replica if a data folder is set",
		Long:  "Run one instance. Each flag --x-y can be set by the variable WIGEONWOOD_X_Y instead. SIGTERM or Ctrl-C drains the instance: requests in flight are finished first.",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), s) },
	}
	s.AddFlags(cmd.Flags())
	return cmd
}

// memoryLimitRatio is the fraction of the memory of an instance that is set as the soft memory
// limit of the Go runtime. Without the limit, unused buffers of request bodies that are not yet
// collected may take as much memory as those in use.
const memoryLimitRatio = 0.75

// serve runs one instance until ctx ends or the instance fails.
func serve(ctx context.Context, s *settings.Serve) error {
	if err := s.Check(); err != nil {
		return withExitCode(ExitUsage, err)
	}
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(s.MemoryMB) * (1 << 20)))
	listeners, err := instance.Listen(s)
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	in, err := instance.Start(s, listeners, Version, s.Logger())
	if err != nil {
		return withExitCode(ExitFailed, err)
	}
	select {
	case err := <-in.Failed():
		in.Abort()
		return withExitCode(ExitFailed, err)
	case <-ctx.Done():
	}
	drainCtx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout)
	defer cancel()
	if err := in.Shutdown(drainCtx); err != nil {
		return withExitCode(ExitFailed, errors.Join(errors.New("the shutdown timeout expired while requests were in flight"), err))
	}
	return nil
}
