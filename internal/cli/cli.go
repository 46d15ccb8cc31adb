// Package cli implements the command line of wigeonwood. Its commands start
// instances and operate a running fleet through the admin interface. The package
// parses flags and prints results; other packages do the work.
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
	ExitOK     = 0
	ExitFailed = 1
	// ExitUsage means that the command line, an input file or the content of a change
	// is invalid.
	ExitUsage = 2
	// ExitConflict means that a change replaces an outdated revision or reuses the
	// operation id of a different change.
	ExitConflict = 3
	// ExitUnreachable means that the instance did not answer.
	ExitUnreachable = 4
	// ExitNotInForce means that a change was accepted, but was not yet in force
	// on all routers when the wait ended.
	ExitNotInForce = 5
	ExitNotFound   = 6
)

// Version is the program's version. Builds may set it with -ldflags -X.
var Version = "0.1.0-dev"

// exitError is an error with the exit code that Main returns for it.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExitCode attaches an exit code to err.
func withExitCode(code int, err error) error {
	return &exitError{code: code, err: err}
}

// usageError returns an error with the exit code for wrong usage.
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

// checkEnvironment rejects environment variables that have the prefix of the
// settings but belong to no flag of any command. A misspelt variable would
// otherwise be ignored without notice.
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

// collectVariables adds the variables of all flags of cmd and its subcommands
// to known.
func collectVariables(cmd *cobra.Command, known map[string]bool) {
	add := func(f *pflag.Flag) { known[settings.EnvName(f.Name)] = true }
	cmd.Flags().VisitAll(add)
	cmd.PersistentFlags().VisitAll(add)
	for _, child := range cmd.Commands() {
		collectVariables(child, known)
	}
}

// errorText returns the text of err followed by the step at which the error occurred
// and the peer that it concerns, if known.
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

// newRoot builds the command tree. Main treats errors without an exit code as wrong
// usage: those of cobra's parsing, of input files that cannot be read, and of output
// that cannot be written.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use: "wigeonwood",
		// Returning chats are multi-turn chats.
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
		newEvacuation(),
		newQuarantine(),
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
