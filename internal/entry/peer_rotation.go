// Rotation over the other entries for directory comparisons, so that an entry
// is compared with each of the others within a bounded time. Peers drawn at
// random each time could leave some out for long.

package entry

import (
	"math/rand/v2"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

type (
	// peerRotation selects each member once per round, in a random order that
	// differs between rounds. The zero value starts a round.
	peerRotation struct {
		// visited holds the IDs of the members that were selected in this round.
		visited map[string]bool
	}
)

// next selects one of the members, of which there must be at least one.
func (peerRotation *peerRotation) next(members []membership.Member) *membership.Member {
	unvisited := peerRotation.unvisited(members)
	if peerRotation.visited == nil || len(unvisited) == 0 {
		peerRotation.visited = map[string]bool{}
		unvisited = peerRotation.unvisited(members)
	}
	chosen := &members[unvisited[rand.IntN(len(unvisited))]]
	peerRotation.visited[chosen.ID] = true
	return chosen
}

// unvisited returns the indexes of the members that were not selected in this
// round.
func (peerRotation *peerRotation) unvisited(members []membership.Member) []int {
	var unvisited []int
	for index := range members {
		if !peerRotation.visited[members[index].ID] {
			unvisited = append(unvisited, index)
		}
	}
	return unvisited
}
