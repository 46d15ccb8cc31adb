// Package cli is the command line of wigeonwood.
package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the command line.
const (
	ExitOK = iota
	ExitFailed
	ExitUsage
)

// Main runs the command line and returns the exit code.
func Main() int {
	root := &cobra.Command{Use: "wigeonwood", SilenceUsage: true, SilenceErrors: true}
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wigeonwood:", err)
		return ExitFailed
	}
	return ExitOK
}
