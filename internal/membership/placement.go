// A placement is precomputed for each view that an entry still uses, so that the
// home of a target is found fast.

package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Placement assigns each target its home under one view. It depends only
	// on the view and on the target's ID and failure domain, so that all
	// entries that have the view agree, whatever tables and announcements each
	// has received. The zero value has no homes.
	Placement struct {
		view View
		// byDomain holds the candidates of each failure domain. The field all holds
		// those of all domains.
		byDomain map[string][]candidate
		all      []candidate
		// exceptions maps IDs of targets to the entries that are their homes
		// in place of those by rendezvous hashing.
		exceptions map[string]string
	}

	// candidate is a member that may be a home, with the hash of its ID.
	candidate struct {
		hash   uint64
		member *Member
	}
)

// NewPlacement returns the placement of a view. The view's members must not be
// modified afterwards.
func NewPlacement(view View) *Placement {
	placement := &Placement{view: view, byDomain: map[string][]candidate{}, exceptions: map[string]string{}}
	if !slices.ContainsFunc(view.Members, func(member Member) bool { return !member.SupportsExceptions }) {
		for _, exception := range view.Exceptions {
			placement.exceptions[exception.Target] = exception.Entry
		}
	}
	for _, member := range view.Serving() {
		added := candidate{hash: xxhash.Sum64String(member.ID), member: member}
		placement.all = append(placement.all, added)
		placement.byDomain[member.FailureDomain] = append(placement.byDomain[member.FailureDomain], added)
	}
	return placement
}

// View returns the view. Its members must not be modified.
func (placement *Placement) View() View {
	return placement.view
}

// Home returns the entry that is home to a target. The candidates are the
// serving members in the target's failure domain, or all serving members if that
// domain has none. The home is the candidate that an exception of the view names
// for the target, or else the one that rendezvous hashing selects. Home returns
// false if there is no candidate. View.Serving defines which members serve.
func (placement *Placement) Home(targetID, failureDomain string) (Member, bool) {
	if homeID, found := placement.exceptions[targetID]; found {
		for _, candidate := range placement.candidates(failureDomain) {
			if candidate.member.ID == homeID {
				return *candidate.member, true
			}
		}
	}
	return placement.rendezvousHome(targetID, failureDomain)
}

// candidates returns the members that may be home to a failure domain's
// targets.
func (placement *Placement) candidates(failureDomain string) []candidate {
	if candidates := placement.byDomain[failureDomain]; len(candidates) > 0 {
		return candidates
	}
	return placement.all
}

// rendezvousHome returns the home by rendezvous hashing, without exceptions.
func (placement *Placement) rendezvousHome(targetID, failureDomain string) (Member, bool) {
	candidates := placement.candidates(failureDomain)
	if len(candidates) == 0 {
		return Member{}, false
	}
	targetHash := xxhash.Sum64String(targetID)
	best, bestWeight := candidates[0], uint64(0)
	for index, candidate := range candidates {
		weight := mix(targetHash, candidate.hash)
		if index == 0 || weight > bestWeight || weight == bestWeight && candidate.member.ID < best.member.ID {
			best, bestWeight = candidate, weight
		}
	}
	return *best.member, true
}

// mix combines two hashes into one whose bits depend on all bits of both. The
// constants are those of the splitmix64 generator and its finalizer.
func mix(left, right uint64) uint64 {
	mixed := left ^ (right + 0x9e3779b97f4a7c15 + left<<6 + left>>2)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
