package filter

import (
	"testing"

	"github.com/wigeonwood/wigeonwood/internal/routing"
)

// TestFingerprint checks that all attempts at the same request have the same fingerprint, and
// that requests that differ in what targets see of them have different ones.
func TestFingerprint(t *testing.T) {
	base := func() *Exchange {
		return &Exchange{ID: "1", Host: "a.example", Method: "POST", URI: "/x?y", Team: &routing.Team{Name: "red"}, Body: []byte("body")}
	}
	again := base()
	again.ID, again.Tries = "2", 3
	if got, want := again.Fingerprint(), base().Fingerprint(); got != want {
		t.Errorf("another attempt has the fingerprint %s, want %s", got, want)
	}
	seen := map[string]string{base().Fingerprint(): "base"}
	for name, change := range map[string]func(x *Exchange){
		"host":          func(x *Exchange) { x.Host = "b.example" },
		"method":        func(x *Exchange) { x.Method = "PUT" },
		"query":         func(x *Exchange) { x.URI = "/x?z" },
		"team":          func(x *Exchange) { x.Team = &routing.Team{Name: "blue"} },
		"no team":       func(x *Exchange) { x.Team = nil },
		"body":          func(x *Exchange) { x.Body = []byte("bodx") },
		"other borders": func(x *Exchange) { x.URI, x.Team = "/x?yr", &routing.Team{Name: "ed"} },
		"into the body": func(x *Exchange) { x.Team, x.Body = nil, []byte("redbody") },
	} {
		x := base()
		change(x)
		if other := seen[x.Fingerprint()]; other != "" {
			t.Errorf("%s: the fingerprint is that of %s", name, other)
		}
		seen[x.Fingerprint()] = name
	}
}
