package testkit

import (
	"os"
	"testing"
)

// OtherBuildEnv is the environment variable with the path of the program of another build,
// such as the one that an upgrade replaces.
const OtherBuildEnv = "TEST_WIGEONWOOD_OTHER_BUILD"

// RunUpgrades runs an upgrade test in both directions between this build and the one of
// OtherBuildEnv. It passes the paths of the programs to start with and to change to; empty
// stands for this build. It skips the test if the variable is not set.
func RunUpgrades(t *testing.T, test func(t *testing.T, from, to string)) {
	t.Helper()
	other := os.Getenv(OtherBuildEnv)
	if other == "" {
		t.Skipf("%s names no other build", OtherBuildEnv)
	}
	t.Run("other build to this one", func(t *testing.T) { test(t, other, "") })
	t.Run("this build to the other one", func(t *testing.T) { test(t, "", other) })
}
