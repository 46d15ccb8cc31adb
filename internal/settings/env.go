// Package settings defines and checks the settings of one instance. Each setting
// is a flag --x-y that can also be given as the environment variable
// WIGEONWOOD_X_Y; the flag takes precedence. The package does not read settings
// files.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/pflag"
)

// EnvPrefix is the prefix of all environment variables that hold settings.
const EnvPrefix = "WIGEONWOOD_"

// EnvName returns the name of the environment variable of a flag.
func EnvName(flag string) string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// ApplyEnv sets each flag of fs that was not given on the command line from its
// environment variable. An empty variable counts as absent. The returned error
// joins one error for each invalid variable.
func ApplyEnv(fs *pflag.FlagSet) error {
	var errs []error
	fs.VisitAll(func(f *pflag.Flag) {
		name := EnvName(f.Name)
		value, ok := os.LookupEnv(name)
		if !ok || value == "" || f.Changed {
			return
		}
		if err := fs.Set(f.Name, value); err != nil {
			errs = append(errs, fmt.Errorf("%s (--%s): %q is not valid: %w", name, f.Name, value, err))
		}
	})
	return errors.Join(errs...)
}

// FlagError returns an error about the value of a flag. The text names the flag
// and its environment variable.
func FlagError(flag, format string, args ...any) error {
	return fmt.Errorf("--%s (%s): %s", flag, EnvName(flag), fmt.Sprintf(format, args...))
}
