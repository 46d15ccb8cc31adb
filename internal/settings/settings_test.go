package settings

import (
	"strings"
	"testing"

	"github.com/spf13/pflag"
)

func validSettings(t *testing.T) *Serve {
	s := &Serve{}
	fs := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	s.AddFlags(fs)
	err := fs.Parse([]string{
		"--id=r1", "--data-centre=a", "--founders=127.0.0.1:9",
		"--peer-token=secret-peer", "--target-token=secret-target", "--admin-token=secret-admin",
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestCheckNamesEveryFaultAtOnce checks that the error of Serve.Check names the flags of all
// invalid settings.
func TestCheckNamesEveryFaultAtOnce(t *testing.T) {
	if err := validSettings(t).Check(); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	s := validSettings(t)
	s.ID = "no spaces"
	s.Listen = "localhost:80"
	s.PeerListen = "0.0.0.0:80"
	s.AdminToken = "short"
	s.LoadBound = 0.5
	s.Founders = []string{"127.0.0.1:1", "127.0.0.1:2"}
	err := s.Check()
	if err == nil {
		t.Fatal("invalid settings were accepted")
	}
	for _, flag := range []string{"id", "listen", "peer-listen", "admin-token", "load-bound", "founders"} {
		if !strings.Contains(err.Error(), "--"+flag+" ("+EnvName(flag)+")") {
			t.Errorf("no error names --%s in:\n%v", flag, err)
		}
	}
}

func TestFlagGoesBeforeVariable(t *testing.T) {
	t.Setenv("WIGEONWOOD_ID", "from-env")
	t.Setenv("WIGEONWOOD_DATA_CENTRE", "from-env")
	t.Setenv("WIGEONWOOD_LOAD_BOUND", "much")
	s := &Serve{}
	fs := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	s.AddFlags(fs)
	if err := fs.Parse([]string{"--id=from-flag"}); err != nil {
		t.Fatal(err)
	}
	err := ApplyEnv(fs)
	if s.ID != "from-flag" || s.DataCentre != "from-env" {
		t.Fatalf("id %q, data centre %q", s.ID, s.DataCentre)
	}
	if err == nil || !strings.Contains(err.Error(), "WIGEONWOOD_LOAD_BOUND (--load-bound)") {
		t.Fatalf("the error does not name the invalid variable: %v", err)
	}
}
