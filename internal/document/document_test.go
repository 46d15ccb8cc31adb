package document

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

// Rapid runs with seed 1 and its default number of inputs.
func init() { testseed.Fix(1, 0) }

// TestPatchUndoesDiff checks that Patch restores a text from its base and the delta that
// Diff returned.
func TestPatchUndoesDiff(t *testing.T) {
	text := rapid.Custom(func(t *rapid.T) string {
		return strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"{a}", "{bb}", "ccc", "}", "{d:1}", ""})).Draw(t, "parts"), "")
	})
	rapid.Check(t, func(t *rapid.T) {
		base, next := []byte(text.Draw(t, "base")), []byte(text.Draw(t, "next"))
		got, err := Patch(base, Diff(base, next))
		if err != nil || !bytes.Equal(got, next) {
			t.Fatalf("got %q, %v, want %q", got, err, next)
		}
	})
}

// TestDiffOfALargeTableIsSmall changes two of 1,000 routes, removes one and adds
// one. The bound on the size of the delta lets a leader with an uplink of 3 Mbit/s send
// the delta to eight replicas in well under 0.1 s.
func TestDiffOfALargeTableIsSmall(t *testing.T) {
	var base, next strings.Builder
	for i := range 1000 {
		route := fmt.Sprintf(`{"name":"r-%d","host":"h%d.example","pathPrefix":"/p%d/","timeoutMs":1000},`, i, i%3, i*7919)
		base.WriteString(route)
		switch i {
		case 10, 700:
			route = strings.Replace(route, "1000", "1500", 1)
		case 500:
			route = ""
		case 900:
			route += `{"name":"new","host":"h.example","pathPrefix":"/new/","timeoutMs":9},`
		}
		next.WriteString(route)
	}
	delta := Diff([]byte(base.String()), []byte(next.String()))
	if len(delta) > 1000 {
		t.Errorf("the delta has %d bytes", len(delta))
	}
	got, err := Patch([]byte(base.String()), delta)
	if err != nil || string(got) != next.String() {
		t.Errorf("Patch did not reconstruct the document: %v", err)
	}
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte("{a}{b}"), Diff([]byte("{a}{b}"), []byte("{b}{c}")))
	f.Fuzz(func(t *testing.T, base, delta []byte) {
		_, _ = Patch(base, delta)
	})
}

func FuzzUnpack(f *testing.F) {
	packed, _ := Pack([]byte("some text"))
	f.Add(packed)
	f.Fuzz(func(t *testing.T, data []byte) { _, _ = Unpack(data) })
}
