package cli

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/wigeonwood/wigeonwood/platform"
)

// maxPort is the highest TCP port.
const maxPort = 65535

func newPlatform() *cobra.Command {
	var o platform.Options
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run one instance by the platform's settings file",
		Long:  "Run one instance by the settings file that " + platform.SettingsVariable + " names. SIGTERM drains the instance, SIGHUP has the file read again.",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runPlatform(cmd.Context(), o) },
	}
	fs := cmd.Flags()
	fs.StringVar(&o.SettingsFile, "settings", "", "path of the settings file; "+platform.SettingsVariable+" if not given")
	fs.StringVar(&o.PeerToken, "peer-token", "", "secret shared by the fleet's instances (required)")
	fs.StringVar(&o.LogLevel, "log-level", "info", "lowest level logged: debug, info, warn or error")
	fs.StringVar(&o.AdminToken, "admin-token", "", "secret that operators bear to read reports on the metrics port; none are served without one")
	fs.IntVar(&o.MetricsPort, "metrics-port", 0, "port that serves the metrics at /metrics; 0 for none")
	cmd.AddCommand(newPlatformCheck())
	return cmd
}

func newPlatformCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file or, with the ending .json, a configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := platform.CheckFile(args[0]); err != nil {
				return withExitCode(ExitUsage, err)
			}
			cmd.Println("the file is valid")
			return nil
		},
	}
}

func runPlatform(ctx context.Context, o platform.Options) error {
	if o.SettingsFile == "" {
		o.SettingsFile = os.Getenv(platform.SettingsVariable)
	}
	switch {
	case o.SettingsFile == "":
		return usageError("%s names no settings file", platform.SettingsVariable)
	case len(o.PeerToken) < minPeerTokenLength:
		return usageError("--peer-token: a secret of at least %d characters is needed", minPeerTokenLength)
	case o.AdminToken != "" && len(o.AdminToken) < minAdminTokenLength:
		return usageError("--admin-token: a secret of at least %d characters is needed", minAdminTokenLength)
	case o.MetricsPort < 0 || o.MetricsPort > maxPort:
		return usageError("--metrics-port: %d is not a port", o.MetricsPort)
	}
	if err := platform.Serve(ctx, o); err != nil {
		return withExitCode(ExitFailed, err)
	}
	return nil
}

// Least lengths of the secrets, in characters.
const (
	minPeerTokenLength  = 8
	minAdminTokenLength = 8
)
