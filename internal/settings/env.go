// Package settings holds the settings of a process: flags, and for each flag
// --x-y the environment variable WIGEONWOOD_X_Y. A flag given on the command
// line goes before its variable.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"
)

// EnvPrefix starts the name of each environment variable that is read.
const EnvPrefix = "WIGEONWOOD_"

// EnvName returns the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnv sets each flag of fs that the command line left alone from its
// environment variable. An empty variable counts as absent. The error joins one
// line for each bad variable.
func ApplyEnv(fs *pflag.FlagSet) error {
	var faults []error
	fs.VisitAll(func(f *pflag.Flag) {
		name := EnvName(f.Name)
		value, ok := os.LookupEnv(name)
		if !ok || value == "" || f.Changed {
			return
		}
		if err := fs.Set(f.Name, value); err != nil {
			faults = append(faults, fmt.Errorf("%s (--%s): %q is not valid: %w", name, f.Name, value, err))
		}
	})
	return errors.Join(faults...)
}

// FlagError returns a fault that names a flag and its variable.
func FlagError(flag, format string, args ...any) error {
	return fmt.Errorf("--%s (%s): %s", flag, EnvName(flag), fmt.Sprintf(format, args...))
}
