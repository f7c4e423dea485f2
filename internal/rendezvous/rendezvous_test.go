package rendezvous

import (
	"fmt"
	"testing"
)

// Guards against remapping keys of other nodes when a node leaves, which would lose cache reuse.
func TestLeavingNodeMovesOnlyItsKeys(t *testing.T) {
	nodes := []string{"a", "b", "c", "d", "e"}
	rest := nodes[:4]
	for i := range 1000 {
		key := fmt.Sprint("chat-", i)
		before, _ := First(key, nodes)
		after, _ := First(key, rest)
		if before != "e" && after != before {
			t.Fatalf("key %s moved from %s to %s when e left", key, before, after)
		}
	}
}

// Guards against First and Order disagreeing on the first choice.
func TestOrderStartsWithFirst(t *testing.T) {
	nodes := []string{"a", "b", "c"}
	for i := range 200 {
		key := fmt.Sprint(i)
		first, _ := First(key, nodes)
		if order := Order(key, nodes); order[0] != first {
			t.Fatalf("key %s: Order starts with %s, First is %s", key, order[0], first)
		}
	}
}

// Guards against weights that have no effect on the distribution.
func TestWeightedScoreFollowsWeight(t *testing.T) {
	heavy := 0
	const keys = 20000
	for i := range keys {
		key := Hash(fmt.Sprint(i))
		if WeightedScore(key, Hash("a"), 3) > WeightedScore(key, Hash("b"), 1) {
			heavy++
		}
	}
	share := float64(heavy) / keys
	if share < 0.73 || share > 0.77 {
		t.Fatalf("share of the node with weight 3 of 4 is %.3f", share)
	}
}
