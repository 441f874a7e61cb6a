// History of placements, each of which assigns the targets to their homes under
// one view, that is one numbered version of the list of entries. If a home
// received no release of a target, the history shows how many earlier homes of
// the target may have been lost recently.

package target

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// leaseMargin exceeds both the time between two entries learning of a view
	// and the time between a view and the end of the leases that it terminates.
	leaseMargin = 5 * time.Second
	// lostHomeDuration is how long a lost home's connections count as open and
	// its runs as in progress.
	lostHomeDuration = max(unconfirmedCloseDuration, caller.MaximumTimeout) + leaseMargin
	// historyDuration exceeds lostHomeDuration as measured by any other entry.
	historyDuration = lostHomeDuration + leaseMargin
	// maximumPlacements limits the number of placements that are kept.
	maximumPlacements = 64
	// unknownLostHomes is the minimum number of lost homes that is assumed if
	// the history doesn't cover historyDuration.
	unknownLostHomes = 2
)

type (
	// placementHistory holds the placements received within historyDuration and
	// the one before them. The zero value is an empty history.
	placementHistory struct {
		lock       sync.Mutex
		placements []receivedPlacement
		// unusedBefore states that no target was used before the first
		// placement.
		unusedBefore bool
	}

	receivedPlacement struct {
		placement  *membership.Placement
		receivedAt time.Time
	}
)

// record adds the newest placement. A gap in the view numbers discards the
// history.
func (placementHistory *placementHistory) record(placement *membership.Placement) {
	placementHistory.lock.Lock()
	defer placementHistory.lock.Unlock()
	number := placement.View().Number
	last := len(placementHistory.placements) - 1
	if last >= 0 {
		newest := placementHistory.placements[last].placement.View().Number
		if number <= newest {
			return
		}
		if number > newest+1 {
			placementHistory.placements, placementHistory.unusedBefore = nil, false
		}
	}
	placementHistory.placements = append(placementHistory.placements, receivedPlacement{placement: placement, receivedAt: time.Now()})
	placementHistory.prune()
}

// prune drops placements that are no longer needed to cover the last
// historyDuration. The lock is held.
func (placementHistory *placementHistory) prune() {
	for len(placementHistory.placements) > 1 && (time.Since(placementHistory.placements[1].receivedAt) > historyDuration || len(placementHistory.placements) > maximumPlacements) {
		placementHistory.unusedBefore = placementHistory.unusedBefore && time.Since(placementHistory.placements[1].receivedAt) > historyDuration
		placementHistory.placements = placementHistory.placements[1:]
	}
}

// recordNoTargetUsed records that no entry has used any target so far, and drops
// all placements except the newest.
func (placementHistory *placementHistory) recordNoTargetUsed() {
	placementHistory.lock.Lock()
	defer placementHistory.lock.Unlock()
	placementHistory.placements = placementHistory.placements[max(0, len(placementHistory.placements)-1):]
	placementHistory.unusedBefore = true
}

// lostHomes returns how many homes of a target may have been lost with their
// connections open, and until when these connections count as open. Each change
// of home within historyDuration counts as a lost home. If the history is shorter
// and targets may have been used before it, it counts as one more lost home, and
// the result is at least unknownLostHomes.
func (placementHistory *placementHistory) lostHomes(announcement *target.Announcement) (count int, until time.Time) {
	placementHistory.lock.Lock()
	defer placementHistory.lock.Unlock()
	if len(placementHistory.placements) == 0 {
		return unknownLostHomes, time.Now().Add(lostHomeDuration)
	}
	for index := 1; index < len(placementHistory.placements); index++ {
		received := placementHistory.placements[index]
		if time.Since(received.receivedAt) < historyDuration && !sameHome(announcement, placementHistory.placements[index-1].placement, received.placement) {
			count, until = count+1, received.receivedAt.Add(lostHomeDuration)
		}
	}
	firstReceivedAt := placementHistory.placements[0].receivedAt
	if placementHistory.unusedBefore || time.Since(firstReceivedAt) >= historyDuration {
		return count, until
	}
	if count == 0 {
		until = firstReceivedAt.Add(lostHomeDuration)
	}
	return max(unknownLostHomes, count+1), until
}

// sameHome reports whether a target has the same home, in the same incarnation,
// under both placements.
func sameHome(announcement *target.Announcement, left, right *membership.Placement) bool {
	before, foundBefore := left.Home(announcement.ID, announcement.FailureDomain)
	after, foundAfter := right.Home(announcement.ID, announcement.FailureDomain)
	return foundBefore && foundAfter && before.ID == after.ID && before.Incarnation == after.Incarnation
}

// RecordNoTargetUsed records that no entry has used any target so far, because
// there are no tables yet.
func (home *Home) RecordNoTargetUsed() {
	home.history.record(home.board.Membership().Placement())
	home.history.recordNoTargetUsed()
}

// tally returns the tally of a target's connections, initialized with what
// earlier homes may have left open. It also deletes the empty tallies of all
// targets. The lock is held.
func (home *Home) tally(announcement *target.Announcement) *connectionTally {
	for id, existing := range home.tallies {
		if existing.isEmpty() {
			delete(home.tallies, id)
		}
	}
	found, existing := home.tallies[announcement.ID]
	if !existing {
		found = new(connectionTally)
		home.tallies[announcement.ID] = found
	}
	if found.isInitialized() {
		return found
	}
	if received, released := home.received[announcement.ID]; released {
		found.applyHandover(received.ConnectionHandover, received.receivedAt)
		return found
	}
	home.history.record(home.board.Membership().Placement())
	found.assumeLostHomes(home.history.lostHomes(announcement))
	return found
}
