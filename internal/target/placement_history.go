// History of placements, each of which assigns the targets to their homes under
// one view. If a home received no release of a target, the history shows how many
// earlier homes of the target may have been lost recently.

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
	// history holds the placements of the last historyDuration and the one
	// before them. The zero value is an empty history.
	history struct {
		lock     sync.Mutex
		received []receivedPlacement
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
func (history *history) record(placement *membership.Placement) {
	history.lock.Lock()
	defer history.lock.Unlock()
	number := placement.View().Number
	last := len(history.received) - 1
	if last >= 0 {
		newest := history.received[last].placement.View().Number
		if number <= newest {
			return
		}
		if number > newest+1 {
			history.received, history.unusedBefore = nil, false
		}
	}
	history.received = append(history.received, receivedPlacement{placement: placement, receivedAt: time.Now()})
	history.prune()
}

// prune drops placements that are no longer needed to cover the last
// historyDuration. The lock is held.
func (history *history) prune() {
	for len(history.received) > 1 && (time.Since(history.received[1].receivedAt) > historyDuration || len(history.received) > maximumPlacements) {
		history.unusedBefore = history.unusedBefore && time.Since(history.received[1].receivedAt) > historyDuration
		history.received = history.received[1:]
	}
}

// recordNeverUsed records that no entry has used any target so far.
func (history *history) recordNeverUsed() {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.received = history.received[max(0, len(history.received)-1):]
	history.unusedBefore = true
}

// lostHomes returns how many homes of a target may have been lost with their
// connections open, and until when these connections count as open.
func (history *history) lostHomes(announcement *target.Announcement) (count int, until time.Time) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if len(history.received) == 0 {
		return unknownLostHomes, time.Now().Add(lostHomeDuration)
	}
	for index := 1; index < len(history.received); index++ {
		received := history.received[index]
		if time.Since(received.receivedAt) < historyDuration && !sameHome(announcement, history.received[index-1].placement, received.placement) {
			count, until = count+1, received.receivedAt.Add(lostHomeDuration)
		}
	}
	first := history.received[0].receivedAt
	if history.unusedBefore || time.Since(first) >= historyDuration {
		return count, until
	}
	if count == 0 {
		until = first.Add(lostHomeDuration)
	}
	return max(unknownLostHomes, count+1), until
}

func sameHome(announcement *target.Announcement, left, right *membership.Placement) bool {
	before, foundBefore := left.Home(announcement.ID, announcement.FailureDomain)
	after, foundAfter := right.Home(announcement.ID, announcement.FailureDomain)
	return foundBefore && foundAfter && before.ID == after.ID && before.Incarnation == after.Incarnation
}

// RecordNoTargetUsed records that no entry has used any target so far, because
// there are no tables yet.
func (home *Home) RecordNoTargetUsed() {
	home.history.record(home.board.Membership().Placement())
	home.history.recordNeverUsed()
}

// tally returns the tally of a target's connections, initialized with what
// earlier homes may have left open. The lock is held.
func (home *Home) tally(announcement *target.Announcement) *tally {
	for id, existing := range home.tallies {
		if existing.isEmpty() {
			delete(home.tallies, id)
		}
	}
	found, existing := home.tallies[announcement.ID]
	if !existing {
		found = new(tally)
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
