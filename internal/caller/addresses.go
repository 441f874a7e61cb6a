// This file exists so that callers are told which entries to use, there being
// no balancer before them.

package caller

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/blackboard"
	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	// maximumAddresses bounds the addresses that a caller is given.
	maximumAddresses = 4
)

type (
	// ranked is an entry with its place in one caller's order.
	ranked struct {
		member membership.Member
		// key is random and grows with the entry's load.
		key float64
		// turn is the number of better entries of the same failure domain.
		turn int
	}
)

// Addresses returns entries that callers can use, the ones with less to do
// more often, and of different failure domains first. Left out are entries
// that stop, whose failure domain was taken out, or that control has removed
// from the view because their lease ran out; and this entry itself while it is
// fenced.
func Addresses(self string, maxAge time.Duration, board *blackboard.Board) caller.Addresses {
	addresses := caller.Addresses{Entries: []string{}, MaxAge: duration.Of(maxAge)}
	entries := rank(usable(self, board), board.Loads())
	for _, entry := range entries[:min(len(entries), maximumAddresses)] {
		addresses.Entries = append(addresses.Entries, entry.member.CallerAddress)
	}
	return addresses
}

func usable(self string, board *blackboard.Board) []membership.Member {
	tables, _ := board.InForce().Tables()
	view := board.Membership().View()
	selfUnusable := board.InForce().Fenced() || board.InForce().Stopping() && view.OthersServe(self)
	var found []membership.Member
	for _, member := range view.Serving() {
		if tables.Out(member.FailureDomain) || member.ID == self && selfUnusable {
			continue
		}
		found = append(found, *member)
	}
	return found
}

// rank orders entries at random, weighted by their loads: an exponential
// variate times the load makes the chance to come first inverse to the load.
func rank(members []membership.Member, loads *blackboard.Loads) []ranked {
	entries := make([]ranked, 0, len(members))
	for _, member := range members {
		entries = append(entries, ranked{member: member, key: rand.ExpFloat64() * float64(1+loads.Of(member.ID))})
	}
	slices.SortFunc(entries, func(a, b ranked) int { return cmp.Compare(a.key, b.key) })
	turns := map[string]int{}
	for index := range entries {
		failureDomain := entries[index].member.FailureDomain
		entries[index].turn = turns[failureDomain]
		turns[failureDomain]++
	}
	slices.SortStableFunc(entries, func(a, b ranked) int { return cmp.Compare(a.turn, b.turn) })
	return entries
}
