// The list of entries that a caller can use. Callers choose from it themselves, because
// there is no load balancer in front of the entries.

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
	// maximumAddresses is the maximum number of addresses returned to a caller.
	maximumAddresses = 4
)

type (
	// rankedEntry is an entry with its rank in the list for one caller.
	rankedEntry struct {
		member membership.Member
		// sortKey is random and increases with the entry's load.
		sortKey float64
		// domainRank is the number of entries of the same failure domain with smaller sort keys.
		domainRank int
	}
)

// Addresses returns entries that callers can use, for at most maxAge. Entries of different
// failure domains come first, and an entry comes first more often the less load it has. It
// omits an entry if its failure domain is taken out, if it is stopping and another entry
// serves, or if control has removed it from the view, the list of entries, because its lease
// expired. It also omits this entry, whose ID is self, while it is fenced, that is, holds no
// lease.
func Addresses(self string, maxAge time.Duration, board *blackboard.Board) caller.Addresses {
	addresses := caller.Addresses{Entries: []string{}, MaxAge: duration.Of(maxAge)}
	entries := rank(usableEntries(self, board), board.Loads())
	for _, entry := range entries[:min(len(entries), maximumAddresses)] {
		addresses.Entries = append(addresses.Entries, entry.member.CallerAddress)
	}
	return addresses
}

func usableEntries(self string, board *blackboard.Board) []membership.Member {
	tables, _ := board.InForce().Tables()
	view := board.Membership().View()
	selfUnusable := board.InForce().Fenced() || board.InForce().Stopping() && view.OthersServe(self)
	var usable []membership.Member
	for _, member := range view.Serving() {
		if tables.IsOut(member.FailureDomain) || member.ID == self && selfUnusable {
			continue
		}
		usable = append(usable, *member)
	}
	return usable
}

// rank orders entries at random, weighted by their loads: with an exponential variate times
// the load as the key, the probability of being first is inversely proportional to the
// load. The first entries of all failure domains then come before the second ones.
func rank(members []membership.Member, loads *blackboard.Loads) []rankedEntry {
	entries := make([]rankedEntry, 0, len(members))
	for _, member := range members {
		entries = append(entries, rankedEntry{member: member, sortKey: rand.ExpFloat64() * float64(1+loads.Of(member.ID))})
	}
	slices.SortFunc(entries, func(a, b rankedEntry) int { return cmp.Compare(a.sortKey, b.sortKey) })
	domainCounts := map[string]int{}
	for index := range entries {
		failureDomain := entries[index].member.FailureDomain
		entries[index].domainRank = domainCounts[failureDomain]
		domainCounts[failureDomain]++
	}
	slices.SortStableFunc(entries, func(a, b rankedEntry) int { return cmp.Compare(a.domainRank, b.domainRank) })
	return entries
}
