// Package rendezvous ranks nodes for a key by highest-random-weight hashing.
//
// Every process that knows the same nodes computes the same order, and a node that joins or leaves
// moves only the keys that it gains or loses.
package rendezvous

import (
	"iter"
	"math"
	"math/bits"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Hash returns the hash of a name, for use with Score.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// multiplier is an odd 64-bit constant that spreads the bits of a node's hash.
const multiplier = 0x9e3779b97f4a7c15

// Score returns the score of a node for a key; the node with the highest score is the first choice. Both arguments must
// be hashes already: only then does the folded 128-bit product, which costs one multiplication, mix well.
func Score(key, node uint64) uint64 {
	high, low := bits.Mul64(key^node, node^multiplier)
	return high ^ low
}

// WeightedScore returns a score whose chance of being the highest is proportional to weight.
func WeightedScore(key, node uint64, weight float64) float64 {
	return Weighted(Score(key, node), weight)
}

// Weighted converts a score from Score to weighted rendezvous hashing.
func Weighted(score uint64, weight float64) float64 {
	unit := (float64(score>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// First returns the node with the highest score for the key, and false when there are no nodes.
func First(key string, nodes []string) (string, bool) {
	return FirstOf(key, slices.Values(nodes))
}

// FirstOf is like First for a sequence of nodes.
func FirstOf(key string, nodes iter.Seq[string]) (best string, found bool) {
	k := Hash(key)
	var score uint64
	for node := range nodes {
		s := Score(k, Hash(node))
		if !found || s > score || (s == score && node < best) {
			best, score, found = node, s, true
		}
	}
	return best, found
}

// Order returns the nodes in descending order of score for the key.
func Order(key string, nodes []string) []string {
	type scored struct {
		node  string
		score uint64
	}
	k := Hash(key)
	ranked := make([]scored, len(nodes))
	for i, node := range nodes {
		ranked[i] = scored{node, Score(k, Hash(node))}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return strings.Compare(a.node, b.node)
	})
	order := make([]string, len(nodes))
	for i := range ranked {
		order[i] = ranked[i].node
	}
	return order
}
