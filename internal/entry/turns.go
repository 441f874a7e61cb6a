// This file exists so that an entry compares itself with each other entry
// within a bounded time. Partners drawn anew each time leave one out for long.

package entry

import (
	"math/rand/v2"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
)

type (
	// turns gives each member its turn once before any has a second one, in an
	// order that differs between rounds. The zero value begins a round.
	turns struct {
		// taken holds the IDs of the members that had their turn in the round.
		taken map[string]bool
	}
)

// next returns one of the members, of which there must be one at least.
func (turns *turns) next(members []membership.Member) *membership.Member {
	waiting := turns.waiting(members)
	if turns.taken == nil || len(waiting) == 0 {
		turns.taken = map[string]bool{}
		waiting = turns.waiting(members)
	}
	chosen := &members[waiting[rand.IntN(len(waiting))]]
	turns.taken[chosen.ID] = true
	return chosen
}

// waiting returns the indexes of the members that had no turn in the round.
func (turns *turns) waiting(members []membership.Member) []int {
	var waiting []int
	for index := range members {
		if !turns.taken[members[index].ID] {
			waiting = append(waiting, index)
		}
	}
	return waiting
}
