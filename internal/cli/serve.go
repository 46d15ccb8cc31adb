package cli

import (
	"context"
	"errors"

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

func serve(ctx context.Context, s *settings.Serve) error {
	if err := s.Check(); err != nil {
		return withExitCode(ExitUsage, err)
	}
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
		return withExitCode(ExitFailed, errors.Join(errors.New("the shutdown timeout cut requests off"), err))
	}
	return nil
}
