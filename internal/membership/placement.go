// This file exists so that the home of a target is found fast under every view
// that an entry must still heed.

package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Placement gives each target its one home under one view. It depends on
	// the view and on the target's ID and failure domain alone, so that all
	// entries that hold the view agree, whatever tables and announcements
	// each has by then. The zero value has no homes.
	Placement struct {
		view     View
		byDomain map[string][]candidate
		all      []candidate
		// exceptions are the homes that differ from rendezvous hashing.
		exceptions map[string]string
	}

	candidate struct {
		hash   uint64
		member *Member
	}
)

// NewPlacement returns the placement of a view, whose members must not be
// changed any more.
func NewPlacement(view View) *Placement {
	placement := &Placement{view: view, byDomain: map[string][]candidate{}, exceptions: map[string]string{}}
	if !slices.ContainsFunc(view.Members, func(member Member) bool { return !member.Heeds }) {
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

// View returns the view. Its members must not be changed.
func (placement *Placement) View() View {
	return placement.view
}

// Home returns the one entry that is home to a target: the one that the view's
// exceptions name where it may be, or else by rendezvous hashing, among the
// members in the target's failure domain, or among all members where that
// domain has none. Members that stop are left out as long as another one serves.
func (placement *Placement) Home(targetID, failureDomain string) (Member, bool) {
	if exception, found := placement.exceptions[targetID]; found {
		for _, candidate := range placement.candidates(failureDomain) {
			if candidate.member.ID == exception {
				return *candidate.member, true
			}
		}
	}
	return placement.plain(targetID, failureDomain)
}

// candidates returns the members that may be home to a failure domain's
// targets.
func (placement *Placement) candidates(failureDomain string) []candidate {
	if candidates := placement.byDomain[failureDomain]; len(candidates) > 0 {
		return candidates
	}
	return placement.all
}

// plain is rendezvous hashing alone.
func (placement *Placement) plain(targetID, failureDomain string) (Member, bool) {
	candidates := placement.candidates(failureDomain)
	if len(candidates) == 0 {
		return Member{}, false
	}
	target := xxhash.Sum64String(targetID)
	best, bestWeight := candidates[0], uint64(0)
	for index, candidate := range candidates {
		weight := mix(target, candidate.hash)
		if index == 0 || weight > bestWeight || weight == bestWeight && candidate.member.ID < best.member.ID {
			best, bestWeight = candidate, weight
		}
	}
	return *best.member, true
}

// mix joins two hashes to one whose bits depend on all bits of both. The
// constants are those of the finalizer of splitmix64.
func mix(left, right uint64) uint64 {
	mixed := left ^ (right + 0x9e3779b97f4a7c15 + left<<6 + left>>2)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}
