// Package cli is the command line of wigeonwood: it starts instances and
// operates a running fleet through the admin interface.
package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wigeonwood/wigeonwood/internal/errs"
	"github.com/wigeonwood/wigeonwood/internal/settings"
	"github.com/wigeonwood/wigeonwood/platform"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitConflict    = 3
	ExitUnreachable = 4
	// ExitNotInForce means that a change was accepted, but not yet in force
	// everywhere when the wait ended.
	ExitNotInForce = 5
	ExitNotFound   = 6
)

// Version is the program's version; builds may set it by -ldflags -X.
var Version = "0.1.0-dev"

// exitError carries the exit code of a failure.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func withExitCode(code int, err error) error {
	return &exitError{code: code, err: err}
}

func usageError(format string, args ...any) error {
	return withExitCode(ExitUsage, fmt.Errorf(format, args...))
}

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "wigeonwood:", errorText(err))
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitUsage
}

// checkEnvironment refuses variables with our prefix that set no flag of any
// command, since a misspelt one would be passed over in silence.
func checkEnvironment(root *cobra.Command) error {
	known := map[string]bool{platform.SettingsVariable: true}
	collectVariables(root, known)
	var faults []error
	for _, pair := range os.Environ() {
		name, value, _ := strings.Cut(pair, "=")
		if value != "" && strings.HasPrefix(name, settings.EnvPrefix) && !known[name] {
			faults = append(faults, fmt.Errorf("%s is not the variable of any flag", name))
		}
	}
	return errors.Join(faults...)
}

func collectVariables(cmd *cobra.Command, known map[string]bool) {
	add := func(f *pflag.Flag) { known[settings.EnvName(f.Name)] = true }
	cmd.Flags().VisitAll(add)
	cmd.PersistentFlags().VisitAll(add)
	for _, child := range cmd.Commands() {
		collectVariables(child, known)
	}
}

// errorText adds the step and the peer at which an error arose to its text.
func errorText(err error) string {
	text := err.Error()
	if step := errs.Step(err); step != "" {
		text += " [step " + step
		if peer := errs.Peer(err); peer != "" {
			text += ", peer " + peer
		}
		text += "]"
	}
	return text
}

// newRoot builds the whole command tree. Errors without a code of their own
// come from cobra's parsing and count as wrong usage.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "wigeonwood",
		Short:         "A fleet of routers for returning chats",
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(cmd *cobra.Command, _ []string) error {
			err := errors.Join(checkEnvironment(cmd.Root()), settings.ApplyEnv(cmd.Flags()))
			if err != nil {
				return withExitCode(ExitUsage, err)
			}
			return nil
		},
	}
	root.AddCommand(
		newServe(),
		newPlatform(),
		newDev(),
		newStandin(),
		newContract(),
		newTarget(),
		newReplica(),
		newStatus(),
		newExplain(),
		newReport(),
		newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), Version) },
	}
}
