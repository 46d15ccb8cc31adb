package fleet

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of node for key in rendezvous hashing. The node with the
// highest score owns the key.
func Score(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// Rank returns a new slice with the nodes ordered by Score for key, highest first.
// Nodes with equal scores are ordered by name, so that all routers compute the same
// order.
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

// Owner returns the first node of Rank: the node with the highest score for key.
// It returns an empty string if there are no nodes.
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
