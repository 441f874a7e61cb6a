// Choice of the entries that serve callers, where there are many. The load that it answers: 80 entries send three requests
// a second each to 36 shards, so that each asks a target less than once a second. What one of them has learned of a slow
// target is old before it is used again, and none may open enough connections to the others.

package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// activeConnections is the number of connections that an entry should be able to open to a target: one for each
	// of a few concurrent queries, so that those that avoid a paused target find one elsewhere.
	activeConnections = 4
	// minimumActiveEntries is the number of entries that serve the callers of a failure domain at least, so that
	// these have another address when one fails.
	minimumActiveEntries = 2
)

type (
	// EntryPlace is an entry and its failure domain.
	EntryPlace struct {
		ID            string
		FailureDomain string
	}
)

// ActiveEntries returns the IDs of the entries that callers are directed to. Connections is the least number that a
// target of a gathered pool accepts from all entries together; 0 means no limit, which needs no choice. The entries of
// a failure domain are taken in an order that doesn't depend on the others, so that one that leaves is replaced by one
// other.
func ActiveEntries(entries []EntryPlace, connections int) map[string]bool {
	byDomain := map[string][]EntryPlace{}
	for _, entry := range entries {
		byDomain[entry.FailureDomain] = append(byDomain[entry.FailureDomain], entry)
	}
	limit := activeEntriesPerDomain(len(entries), len(byDomain), connections)
	active := make(map[string]bool, len(entries))
	for _, inDomain := range byDomain {
		slices.SortFunc(inDomain, func(left, right EntryPlace) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(left.ID), xxhash.Sum64String(right.ID)), cmp.Compare(left.ID, right.ID))
		})
		for _, entry := range inDomain[:min(limit, len(inDomain))] {
			active[entry.ID] = true
		}
	}
	return active
}

// activeEntriesPerDomain returns the number of entries of a failure domain that serve callers.
func activeEntriesPerDomain(entries, domains, connections int) int {
	wanted := int(connectionShare * float64(connections) / activeConnections)
	if connections <= 0 || entries <= wanted || domains == 0 {
		return entries
	}
	return max(minimumActiveEntries, (wanted+domains-1)/domains)
}
