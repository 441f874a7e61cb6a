// History of placements. A placement assigns the targets to their homes under one
// view, that is one numbered version of the list of entries. A home that stops
// using a target sends the next home a release, with the state that it needs. If
// no release arrived, earlier homes may have been lost, for example in a crash,
// and their connections and runs may still exist at the target. The history then
// shows how many homes of the target may have been lost recently.

package target

import (
	"sync"
	"time"

	"gitlab.com/comfreythread/comfreythread/internal/membership"
	"gitlab.com/comfreythread/comfreythread/pkg/caller"
	"gitlab.com/comfreythread/comfreythread/pkg/target"
)

const (
	// leaseMargin is longer than the time from when the first of two entries
	// learns of a view until the second does. It is also longer than the time
	// from a view until the end of the leases that this view terminates.
	leaseMargin = 5 * time.Second
	// lostHomeDuration is how long a lost home's connections count as open and
	// its runs as in progress.
	lostHomeDuration = max(unconfirmedCloseDuration, caller.MaximumTimeout) + leaseMargin
	// historyDuration is how long a change of home stays in the history. It is
	// longer than lostHomeDuration by leaseMargin, because other entries may
	// learn of the same view later and so measure lostHomeDuration from then.
	historyDuration = lostHomeDuration + leaseMargin
	// maximumPlacements limits the number of placements in the history.
	maximumPlacements = 64
	// assumedLostHomeCount is the minimum number of lost homes that is assumed if
	// the history doesn't cover historyDuration.
	assumedLostHomeCount = 2
)

type (
	// placementHistory holds the placements received within historyDuration and
	// the one before them, but at most maximumPlacements. The zero value is an
	// empty history.
	placementHistory struct {
		lock       sync.Mutex
		placements []receivedPlacement
		// unusedBefore is true if no target was used before the first
		// placement, except under placements that were replaced more than
		// historyDuration ago.
		unusedBefore bool
	}

	receivedPlacement struct {
		placement  *membership.Placement
		receivedAt time.Time
	}
)

// record adds a placement if its view is newer than that of the newest placement
// in the history. After a gap in the view numbers, it first discards the history.
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

// prune drops the oldest placements: those that aren't needed to cover the last
// historyDuration, and those beyond maximumPlacements. The latter may still be
// needed, so unusedBefore becomes false. The lock must be held.
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
// and targets may have been used before it began, one more lost home is counted
// for the time before it, and the result is at least assumedLostHomeCount.
func (placementHistory *placementHistory) lostHomes(announcement *target.Announcement) (count int, until time.Time) {
	placementHistory.lock.Lock()
	defer placementHistory.lock.Unlock()
	if len(placementHistory.placements) == 0 {
		return assumedLostHomeCount, time.Now().Add(lostHomeDuration)
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
	return max(assumedLostHomeCount, count+1), until
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
// targets. The lock must be held.
func (home *Home) tally(announcement *target.Announcement) *connectionTally {
	for id, existing := range home.tallies {
		if existing.isEmpty() {
			delete(home.tallies, id)
		}
	}
	tally, found := home.tallies[announcement.ID]
	if !found {
		tally = new(connectionTally)
		home.tallies[announcement.ID] = tally
	}
	if tally.isInitialized() {
		return tally
	}
	if received, released := home.received[announcement.ID]; released {
		tally.applyHandover(received.ConnectionHandover, received.receivedAt)
		return tally
	}
	home.history.record(home.board.Membership().Placement())
	tally.assumeLostHomes(home.history.lostHomes(announcement))
	return tally
}
