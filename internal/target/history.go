// This file exists so that a home that got no word from the one before it
// knows how many homes of a target may have been lost a short while ago.

package target

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// leaseMargin is more than what lies between the times at which two
	// entries learn of a view, and between a view and the end of the leases
	// that it ends.
	leaseMargin = 5 * time.Second
	// lostSpan is how long the connections of a lost home count as open, and
	// its runs as going on.
	lostSpan = max(silentSpan, caller.MaximumTimeout) + leaseMargin
	// historySpan is longer than lostSpan at any other entry.
	historySpan = lostSpan + leaseMargin
	// maximumHistory bounds the views that are kept.
	maximumHistory = 64
	// unknownLevel is the least level that is supposed without a history.
	unknownLevel = 2
)

type (
	// history holds the placements of the last historySpan, and the one
	// before them. The zero value knows nothing.
	history struct {
		lock sync.Mutex
		seen []sighting
		// unused states that no target was used before the first placement.
		unused bool
	}

	sighting struct {
		placement *membership.Placement
		at        time.Time
	}
)

// note records the newest placement.
func (history *history) note(placement *membership.Placement) {
	history.lock.Lock()
	defer history.lock.Unlock()
	number := placement.View().Number
	last := len(history.seen) - 1
	if last >= 0 {
		known := history.seen[last].placement.View().Number
		if number <= known {
			return
		}
		if number > known+1 {
			history.seen, history.unused = nil, false
		}
	}
	history.seen = append(history.seen, sighting{placement: placement, at: time.Now()})
	history.prune()
}

// prune drops placements that the newest historySpan doesn't need. The lock
// is held.
func (history *history) prune() {
	for len(history.seen) > 1 && (time.Since(history.seen[1].at) > historySpan || len(history.seen) > maximumHistory) {
		history.unused = history.unused && time.Since(history.seen[1].at) > historySpan
		history.seen = history.seen[1:]
	}
}

// neverUsed records that no entry has used any target so far.
func (history *history) neverUsed() {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.seen = history.seen[max(0, len(history.seen)-1):]
	history.unused = true
}

// lost returns how many homes of a target may have been lost with their
// connections open, and until when those count as open.
func (history *history) lost(announcement *target.Announcement) (level int, until time.Time) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if len(history.seen) == 0 {
		return unknownLevel, time.Now().Add(lostSpan)
	}
	for index := 1; index < len(history.seen); index++ {
		seen := history.seen[index]
		if time.Since(seen.at) < historySpan && !sameHome(announcement, history.seen[index-1].placement, seen.placement) {
			level, until = level+1, seen.at.Add(lostSpan)
		}
	}
	first := history.seen[0].at
	if history.unused || time.Since(first) >= historySpan {
		return level, until
	}
	if level == 0 {
		until = first.Add(lostSpan)
	}
	return max(unknownLevel, level+1), until
}

func sameHome(announcement *target.Announcement, left, right *membership.Placement) bool {
	before, foundBefore := left.Home(announcement.ID, announcement.FailureDomain)
	after, foundAfter := right.Home(announcement.ID, announcement.FailureDomain)
	return foundBefore && foundAfter && before.ID == after.ID && before.Incarnation == after.Incarnation
}

// NeverUsed records that no entry has used any target so far, because there
// are no tables yet.
func (home *Home) NeverUsed() {
	home.history.note(home.board.Membership().Placement())
	home.history.neverUsed()
}

// tally returns the count of a target's connections, with what earlier homes
// left. The lock is held.
func (home *Home) tally(announcement *target.Announcement) *tally {
	for id, known := range home.tallies {
		if known.isEmpty() {
			delete(home.tallies, id)
		}
	}
	found, known := home.tallies[announcement.ID]
	if !known {
		found = new(tally)
		home.tallies[announcement.ID] = found
	}
	if found.isInherited() {
		return found
	}
	if expected, told := home.expected[announcement.ID]; told {
		found.inherit(expected.Inheritance, expected.at)
		return found
	}
	home.history.note(home.board.Membership().Placement())
	found.suppose(home.history.lost(announcement))
	return found
}
