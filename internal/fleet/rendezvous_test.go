package fleet

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wigeonwood/wigeonwood/internal/testseed"
)

func init() { testseed.Fix(1, 0) }

// TestHomeIsFirstOfRank checks that Owner (the home in its name) returns the first node
// of Rank.
func TestHomeIsFirstOfRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,8}`), 1, 20, rapid.ID[string]).Draw(t, "nodes")
		key := rapid.String().Draw(t, "key")
		if got, want := Owner(key, nodes), Rank(key, nodes)[0]; got != want {
			t.Fatalf("owner %q, first of rank %q", got, want)
		}
	})
}

func TestRemovalMovesOnlyTheRemovedNodesKeys(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	for i := range 1000 {
		key := fmt.Sprint("chat-", i)
		before := Owner(key, nodes)
		after := Owner(key, nodes[:4])
		if before != "e" && before != after {
			t.Fatalf("key %s moved from %s to %s although %s was not removed", key, before, after, before)
		}
	}
}
