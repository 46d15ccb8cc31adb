package routing

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func init() { testseed.Fix(1, 0) }

func testTable() *Table {
	route := func(name, host, prefix, service string) *Route {
		return &Route{Name: name, Host: host, Prefix: prefix, Kind: Idempotent, Timeout: time.Second, Services: []WeightedService{{Service: service, Weight: 1}}}
	}
	return &Table{
		Number:   3,
		Routes:   []*Route{route("a", "one.example", "/a/", "s"), route("ab", "one.example", "/a/b/", "s"), route("other", "two.example", "/a/", "s")},
		Services: []*Service{{Name: "s"}},
		Teams:    []*Team{{Name: "red", Keys: []string{"k1", "k2"}}, {Name: "blue", Keys: []string{"k3"}}},
	}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	x := NewIndex(testTable())
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/a/x", "a"},
		{"ONE.example:8080", "/a/x", "a"},
		{"one.example", "/a/b/x", "ab"},
		{"one.example", "/a/b", "a"},
		{"one.example", "/a", ""},
		{"one.example", "/b/a/", ""},
		{"two.example", "/a/b/", "other"},
		{"three.example", "/a/x", ""},
	} {
		got := ""
		if r := x.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestTeamOfAKey(t *testing.T) {
	x := NewIndex(testTable())
	if got := x.Team("k2"); got == nil || got.Name != "red" {
		t.Errorf("team of k2: %v", got)
	}
	if got := x.Team("k4"); got != nil {
		t.Errorf("team of an unknown key: %v", got)
	}
	if got := x.Team(""); got != nil {
		t.Errorf("team of no key: %v", got)
	}
}

func TestCheckNamesEachFault(t *testing.T) {
	if err := testTable().Check(); err != nil {
		t.Fatalf("a valid table: %v", err)
	}
	for name, c := range map[string]struct {
		change func(*Table)
		want   string
	}{
		"unknown service": {func(b *Table) { b.Routes[0].Services[0].Service = "none" }, `service "none" is unknown`},
		// Two routes with the same host and prefix.
		"equal place":       {func(b *Table) { b.Routes[1].Prefix = "/a/" }, "share host"},
		"equal place, case": {func(b *Table) { b.Routes[2].Host = "ONE.Example" }, "share host"},
		"equal place, port": {func(b *Table) { b.Routes[2].Host = "one.example:8080" }, "share host"},
		"no weight":         {func(b *Table) { b.Routes[0].Services[0].Weight = 0 }, "add up to 0"},
		"negative weight":   {func(b *Table) { b.Routes[0].Services[0].Weight = -1 }, "negative"},
		"no timeout":        {func(b *Table) { b.Routes[0].Timeout = 0 }, "timeout"},
		"no kind":           {func(b *Table) { b.Routes[0].Kind = 0 }, "kind"},
		"prefix":            {func(b *Table) { b.Routes[0].Prefix = "/a" }, "slash"},
		"shared key":        {func(b *Table) { b.Teams[1].Keys[0] = "k1" }, "share a key"},
		"shared key, name":  {func(b *Table) { b.Teams[1].Name, b.Teams[1].Keys[0] = "red", "k1" }, "share a key"},
		"team without name": {func(b *Table) { b.Teams[1].Name = "" }, "no name"},
	} {
		b := testTable()
		c.change(b)
		if err := b.Check(); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want a fault with %q", name, err, c.want)
		}
	}
}

// Tables can arrive in any order. The active table must always be the table with
// the highest number received so far.
func TestNumberNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h Holder
		highest := uint64(0)
		for _, n := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "numbers") {
			applied := h.Apply(&Table{Number: n})
			if applied != (n > highest) {
				t.Fatalf("table %d after %d: applied %t", n, highest, applied)
			}
			highest = max(highest, n)
			if h.Number() != highest {
				t.Fatalf("number %d, want %d", h.Number(), highest)
			}
		}
	})
}

func TestChooseFollowsTheWeights(t *testing.T) {
	r := &Route{Services: []WeightedService{{"a", 90}, {"b", 10}, {"c", 0}}}
	counts := make(map[string]int)
	for draw := range uint64(1000) {
		counts[r.SelectService(draw)]++
	}
	if counts["a"] != 900 || counts["b"] != 100 || counts["c"] != 0 {
		t.Errorf("counts %v", counts)
	}
}

// TestRoutesOfOnePlace guards against routes that Check takes for different ones and Match for
// one: of two routes for the same place the first one would get all requests.
func TestRoutesOfOnePlace(t *testing.T) {
	hosts := []string{"a.example", "A.example", "a.EXAMPLE", "a.example:80", "b.example", "a.example.", "[::1]", "[::1]:80", "::1", "\u212a.example", "k.example", ""}
	for _, one := range hosts {
		for _, other := range hosts {
			b := testTable()
			b.Routes[0].Host, b.Routes[1].Host = one, other
			b.Routes[1].Prefix = b.Routes[0].Prefix
			refused := b.Check() != nil
			selected := NewIndex(b).Match(other, b.Routes[1].Prefix)
			if same := selected != b.Routes[1]; refused != same {
				t.Errorf("hosts %q and %q: refused %t, but the same place for requests: %t", one, other, refused, same)
			}
		}
	}
}
