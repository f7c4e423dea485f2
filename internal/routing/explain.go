package routing

import (
	"cmp"
	"slices"

	"github.com/amaranthlb/amaranthlb/internal/rendezvous"
)

func (d Distance) String() string {
	return [...]string{SameZone: "same_zone", SameRegion: "same_region", OtherRegion: "other_region"}[d]
}

// Rank returns the positions of all candidates, open or not, in the order of their rank for a chat.
func (p *Pool) Rank(chat uint64) []int {
	positions := make([]int, len(p.Candidates))
	scores := make([]float64, len(p.Candidates))
	for i := range p.Candidates {
		candidate := &p.Candidates[i]
		positions[i] = i
		scores[i] = rendezvous.WeightedScore(chat, candidate.Hash, p.weights[candidate.Distance])
	}
	slices.SortFunc(positions, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return positions
}
