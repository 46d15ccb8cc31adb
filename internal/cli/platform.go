package cli

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/platform"
)

func newPlatform() *cobra.Command {
	var token, level string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run one instance by the platform's settings file",
		Long:  "Run one instance by the settings file that " + platform.SettingsVariable + " names. SIGTERM drains the instance.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runPlatform(cmd.Context(), token, level)
		},
	}
	cmd.Flags().StringVar(&token, "peer-token", "", "secret shared by the fleet's instances (required)")
	cmd.Flags().StringVar(&level, "log-level", "info", "lowest level logged: debug, info, warn or error")
	return cmd
}

func runPlatform(ctx context.Context, token, level string) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return usageError("%s names no settings file", platform.SettingsVariable)
	}
	if token == "" {
		return usageError("--peer-token is needed")
	}
	if err := platform.Serve(ctx, path, token, level); err != nil {
		return withCode(ExitFailed, err)
	}
	return nil
}
