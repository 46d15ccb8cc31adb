package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score is the rendezvous weight of node for key; the highest wins.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Rank orders nodes by rendezvous score for key, best first. It returns a new
// slice; equal scores are ordered by name so that all routers agree.
func Rank(key string, nodes []string) []string {
	ranked := slices.Clone(nodes)
	scores := make(map[string]uint64, len(nodes))
	for _, n := range nodes {
		scores[n] = Score(key, n)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		if c := cmp.Compare(scores[b], scores[a]); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ranked
}

// Owner returns the node with the highest score for key, or "" without nodes.
func Owner(key string, nodes []string) string {
	best, bestScore := "", uint64(0)
	for _, n := range nodes {
		s := Score(key, n)
		if best == "" || s > bestScore || (s == bestScore && n < best) {
			best, bestScore = n, s
		}
	}
	return best
}
